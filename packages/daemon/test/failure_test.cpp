#include "deployment.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <vector>

namespace basilreach::daemon
{

namespace
{

// Inserts rows until it is stopped, and records the keys of those that were
// acknowledged.
class writer
{
public:
    writer(deployment const& it, std::size_t n, std::string prefix)
        : prefix_(std::move(prefix)), client_(it.connect(n, "intake")),
          thread_([this] { run_writes(); })
    {
    }
    writer(writer const&) = delete;
    writer& operator=(writer const&) = delete;
    ~writer()
    {
        stop();
    }

    std::vector<std::string> const& stop()
    {
        stopping_ = true;
        if (thread_.joinable())
            thread_.join();
        return acknowledged_;
    }

    [[nodiscard]] std::size_t count() const
    {
        return count_;
    }

private:
    void run_writes()
    {
        for (int n = 0; !stopping_ && n != 100'000; ++n)
        {
            auto const key = prefix_ + std::to_string(n);
            if (run(client_, insert(key)) != "INSERT 0 1")
                continue;
            acknowledged_.push_back(key);
            ++count_;
        }
    }

    std::string prefix_;
    client_ptr client_;
    std::vector<std::string> acknowledged_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> count_ = 0;
    std::thread thread_;
};

// Checks that every acknowledged write can be read through an entry host.
void check_writes(deployment const& it,
                  std::size_t n,
                  std::vector<std::string> const& keys)
{
    auto const c = it.connect(n, "intake");
    std::size_t missing = 0;
    for (auto const& key : keys)
        missing += run(c, select_value(key)) == "v" ? 0 : 1;
    CHECK(missing == 0);
}

std::string fail_over(deployment& it, std::size_t n)
{
    auto const old = it.wait_for_primary(n, "cases");
    CHECK(it.verdict(n, old, "DOWN").starts_with("accepted"));
    return it.wait_for_primary(n, "cases", old);
}

} // namespace

// Guards against an isolated primary that still acknowledges writes after it
// has been superseded, and against acknowledged writes that are lost with it.
TEST_CASE("no acknowledged write is lost when the primary is isolated")
{
    deployment it;
    auto const old = it.wait_for_primary(0, "cases");
    writer first(it, 0, "first");
    writer second(it, 1, "second");
    CHECK(eventually([&] { return first.count() > 5 && second.count() > 5; }));
    CHECK(it.cases->control("ISOLATE " + old) == "SET");
    auto const stalled = it.connect(2, "intake");
    CHECK(run(stalled, insert("isolated")) == "08007");
    auto const next = fail_over(it, 2);
    auto const before = first.count();
    CHECK(eventually([&] { return first.count() > before + 5; }));
    // A second change of primary directly after the first. The isolated server
    // has been reported up again by then.
    CHECK(it.cases->control("HEAL " + old) == "SET");
    CHECK(it.verdict(1, old, "UP").starts_with("accepted"));
    CHECK(fail_over(it, 0) != next);
    auto const after = second.count();
    CHECK(eventually([&] { return second.count() > after + 5; }));
    auto keys = first.stop();
    keys.insert(keys.end(), second.stop().begin(), second.stop().end());
    check_writes(it, 2, keys);
    CHECK(run(it.connect(0, "intake"), select_value("isolated")).empty());
}

// Guards against the promotion of a server that lacks the last acknowledged
// write.
TEST_CASE("no write is lost when the primary stops right after acknowledging")
{
    deployment it;
    auto const old = it.wait_for_primary(0, "cases");
    CHECK(it.cases->control("SET LAG cases-b 300") == "SET");
    auto const c = it.connect(0, "intake");
    CHECK(run(c, insert("k")) == "INSERT 0 1");
    CHECK(it.cases->control("STOP " + old) == "SET");
    fail_over(it, 1);
    CHECK(run(it.connect(2, "intake"), select_value("k")) == "v");
    CHECK(run(it.connect(0, "intake"), insert("next")) == "INSERT 0 1");
}

// Guards against a transaction that stays open at the server, or is committed,
// after its entry host has ended.
TEST_CASE("the end of an entry host rolls back its open transactions")
{
    deployment it;
    auto const c = it.connect(0, "intake");
    CHECK(run(c, insert("k")) == "INSERT 0 1");
    CHECK(run_all(c, {"BEGIN", increment("k"), insert("open")}) ==
          "INSERT 0 1");
    auto const committing = it.connect(0, "intake");
    CHECK(run_all(committing, {"BEGIN", insert("commit")}) == "INSERT 0 1");
    // With replication paused, no majority can confirm the commit.
    for (auto const* server : {"cases-b", "cases-c"})
        CHECK(it.cases->control(std::string("PAUSE ") + server) == "SET");
    CHECK(PQsendQuery(committing.get(), "COMMIT") == 1);
    it.daemons[0]->stop_traffic_threads();
    CHECK(run(c, "COMMIT") == "no answer");
    CHECK(finish(committing) == "no answer");
    for (auto const* server : {"cases-b", "cases-c"})
        CHECK(it.cases->control(std::string("RESUME ") + server) == "SET");
    auto const other = it.connect(1, "intake");
    CHECK(run(other, select_value("open")).empty());
    CHECK(run(other, increment("k")) == "UPDATE 1");
    CHECK(run(other, "SELECT amount FROM item WHERE key = 'k'") == "1");
}

// Guards against statements that wait on a silent connection beyond their
// deadline, and against a proxy that reports their server down.
TEST_CASE("silent connections are closed at the deadline")
{
    deployment it;
    auto const c = it.connect(0, "intake");
    CHECK(run(c, insert("k")) == "INSERT 0 1");
    auto const reader =
        it.connect(0, "lookup", client_key,
                   "-c basilreach.token=" + run(c, "SHOW basilreach.token"));
    CHECK(run(reader, select_value("k")) == "v");
    for (auto const* server : {"cases-a", "cases-b", "cases-c"})
        CHECK(it.cases->control(std::string("SILENCE ") + server) == "SET");
    CHECK(run(reader, select_value("k")) == "v");
    CHECK(run(c, increment("k")) == "08007");
    CHECK(run(c, increment("k")) == "UPDATE 1");
    for (auto const* server : {"cases-a", "cases-b", "cases-c"})
        CHECK(it.status(0, "server", server, "verdict") == "none");
    // Metrics are published once a second.
    CHECK(eventually(
        [&]
        {
            auto const text = run(it.console(0), "SHOW METRICS");
            return text.find("silent_connections_total ") !=
                       std::string::npos &&
                   text.find("silent_connections_total  0") ==
                       std::string::npos;
        }));
}

// Guards against a second execution of a request that the client repeats.
TEST_CASE("a request that is repeated with its request id runs once")
{
    deployment it;
    CHECK(run(it.connect(0, "intake"), insert("k")) == "INSERT 0 1");
    std::string const id = "SET basilreach.request_id = 'request-1'";
    CHECK(run_all(it.connect(0, "intake"), {id, increment("k")}) == "UPDATE 1");
    CHECK(run_all(it.connect(1, "intake"), {id, increment("k")}) == "23505");
    fail_over(it, 2);
    CHECK(run_all(it.connect(2, "intake"), {id, increment("k")}) == "23505");
    CHECK(run(it.connect(0, "intake"),
              "SELECT amount FROM item WHERE key = 'k'") == "1");
}

// Guards against control states that differ after control hosts restart.
TEST_CASE("control hosts that restart agree with the others")
{
    deployment it;
    auto const digests_agree = [&it]
    {
        auto const digest = it.status(0, "control", "state", "digest");
        return !digest.empty() &&
               it.status(1, "control", "state", "digest") == digest &&
               it.status(2, "control", "state", "digest") == digest;
    };
    // The verdict must not replace the primary, and any server can have become
    // the first one.
    auto const primary = it.wait_for_primary(0, "cases");
    REQUIRE_FALSE(primary.empty());
    std::string const replica = primary == "cases-b" ? "cases-a" : "cases-b";
    it.daemons[1].reset();
    CHECK(it.verdict(0, replica, "DOWN").starts_with("accepted"));
    CHECK(it.verdict(2, replica, "UP").starts_with("accepted"));
    CHECK(run(it.connect(0, "intake"), insert("k")) == "INSERT 0 1");
    it.start(1);
    CHECK(eventually(digests_agree));
    CHECK(eventually(
        [&]
        { return run(it.connect(1, "lookup"), select_value("k")) == "v"; }));
    auto const digest = it.status(0, "control", "state", "digest");
    for (auto& daemon : it.daemons)
        daemon->request_stop();
    for (auto& daemon : it.daemons)
        daemon.reset();
    for (std::size_t n = 0; n != it.daemons.size(); ++n)
        it.start(n);
    CHECK(eventually(digests_agree));
    CHECK(it.status(0, "control", "state", "digest") == digest);
    // The previous processes may still have connections to the servers, so no
    // connection is opened before their lease and the hold time have expired.
    // Until then a write is refused as "not run" and gets no other error.
    std::string outcome;
    CHECK(eventually(
        [&]
        {
            outcome = run(it.connect(2, "intake"), insert("after"));
            return outcome != "57P03";
        }));
    CHECK(outcome == "INSERT 0 1");
}

// Guards against a definite refusal by rules that no leader has confirmed: the
// route and the key may have been added since.
TEST_CASE("a daemon that restarts without a leader refuses no client for good")
{
    deployment it;
    CHECK(run(it.connect(0, "intake"), insert("k")) == "INSERT 0 1");
    for (auto& daemon : it.daemons)
        daemon.reset();
    it.start(0);
    auto const c = it.connect(0, "intake");
    CHECK(std::string(PQerrorMessage(c.get()))
              .find("the control state cannot be confirmed") !=
          std::string::npos);
}

// Guards against a daemon that without a control lease still serves routes that
// need a key, or no longer serves open routes.
TEST_CASE("a daemon without control hosts serves only open routes")
{
    deployment it;
    auto const keyed = it.connect(0, "lookup");
    auto const writing = it.connect(0, "intake");
    auto const open = it.connect(0, "open");
    CHECK(run(writing, insert("k")) == "INSERT 0 1");
    auto const token = run(writing, "SHOW basilreach.token");
    CHECK(run(open, "SET basilreach.token = '" + token + "'") == "SET");
    CHECK(run(open, select_value("k")) == "v");
    it.daemons[1].reset();
    it.daemons[2].reset();
    CHECK(eventually([&] { return run(keyed, select_value("k")) == "57P03"; }));
    CHECK(run(writing, insert("late")) == "57P03");
    CHECK(run(open, select_value("k")) == "v");
    it.start(1);
    CHECK(
        eventually([&] { return run(writing, insert("k2")) == "INSERT 0 1"; }));
    CHECK(run(writing, select_value("late")).empty());
}

} // namespace basilreach::daemon
