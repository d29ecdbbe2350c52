#include "deployment.hpp"

#include <doctest/doctest.h>

#include <string>

namespace basilreach::daemon
{

namespace
{

// Records the SQLSTATE with which the daemon ends an idle session. libpq passes
// it to the notice receiver, because no statement is in progress.
class termination_observer
{
public:
    explicit termination_observer(client_ptr const& c) : client_(c.get())
    {
        PQsetNoticeReceiver(
            client_,
            [](void* to, PGresult const* it)
            { *static_cast<std::string*>(to) = outcome(it); },
            &sqlstate_);
    }
    termination_observer(termination_observer const&) = delete;
    termination_observer& operator=(termination_observer const&) = delete;

    std::string const& wait()
    {
        CHECK(eventually(
            [&]
            {
                PQconsumeInput(client_);
                (void)PQisBusy(client_);
                return PQstatus(client_) == CONNECTION_BAD;
            }));
        return sqlstate_;
    }

private:
    PGconn* client_;
    std::string sqlstate_ = "not terminated";
};

} // namespace

// Guards against a stop that interrupts statements or transactions, or that
// ends sessions before the load balancer can have noticed it.
TEST_CASE("a planned stop serves the drain period and lets transactions end")
{
    deployment it;
    auto const in_transaction = it.connect(0, "intake");
    auto const idle = it.connect(0, "intake");
    termination_observer transaction_termination(in_transaction);
    termination_observer idle_termination(idle);
    CHECK(run(in_transaction, insert("k")) == "INSERT 0 1");
    CHECK(run_all(in_transaction, {"BEGIN", increment("k")}) == "UPDATE 1");
    CHECK(run(idle, select_value("k")) == "v");
    SUBCASE("requested as by a signal")
    {
        it.daemons[0]->request_stop();
    }
    SUBCASE("requested at the admin console")
    {
        CHECK(run(it.console(0), "STOP").starts_with("accepted"));
    }
    auto const late = it.connect(0, "lookup");
    termination_observer late_termination(late);
    CHECK(run(late, select_value("k")) == "v");
    auto const busy = it.connect(0, "intake");
    termination_observer busy_termination(busy);
    CHECK(PQsendQuery(busy.get(), "SELECT pg_sleep(0.5)") == 1);
    CHECK(eventually(
        [&]
        { return PQstatus(it.connect(0, "intake").get()) == CONNECTION_BAD; }));
    CHECK(run(in_transaction, increment("k")) == "UPDATE 1");
    CHECK(run(in_transaction, "COMMIT") == "COMMIT");
    CHECK(finish(busy) == "");
    for (auto* termination : {&transaction_termination, &idle_termination,
                              &late_termination, &busy_termination})
        CHECK(termination->wait() == "57P01");
    CHECK(it.daemons[0]->wait() == daemon_error::none);
    CHECK(run(it.connect(1, "lookup"),
              "SELECT amount FROM item WHERE key = 'k'") == "2");
}

} // namespace basilreach::daemon
