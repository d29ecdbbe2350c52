#include <basilreach/pgwire/decoder.hpp>
#include <basilreach/pgwire/encoder.hpp>
#include <basilreach/stand_in/server_loop.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <libpq-fe.h>
#include <poll.h>

using namespace std::chrono_literals;

namespace basilreach::stand_in
{

namespace
{

using connection = std::unique_ptr<PGconn, decltype(&PQfinish)>;
using pq_result = std::unique_ptr<PGresult, decltype(&PQclear)>;

// A group of the servers a, b and c that runs in a thread of its own.
class running_group
{
public:
    explicit running_group(group_settings settings = {},
                           announcement announce = {})
    {
        settings.servers = {server_name{"a"}, server_name{"b"},
                            server_name{"c"}};
        settings.user = "proxy";
        settings.password = "secret";
        auto opened =
            server_loop::open(settings, {0, 0, 0}, std::move(announce));
        REQUIRE(opened.has_value());
        loop_ = std::move(opened).value();
        thread_ = std::thread([this] { loop_->run(); });
        control_ = connect(0, "dbname=stand_in");
    }

    running_group(running_group const&) = delete;
    running_group& operator=(running_group const&) = delete;

    ~running_group()
    {
        loop_->stop();
        thread_.join();
    }

    [[nodiscard]] connection
    connect(std::size_t server, std::string const& extra_options = "") const
    {
        auto const text =
            "host=127.0.0.1 port=" + std::to_string(loop_->ports()[server]) +
            " user=proxy password=secret dbname=item " + extra_options;
        return {PQconnectdb(text.c_str()), PQfinish};
    }

    [[nodiscard]] PGconn* control() const
    {
        return control_.get();
    }

private:
    std::unique_ptr<server_loop> loop_;
    std::thread thread_;
    connection control_{nullptr, PQfinish};
};

// Returns the values of all rows joined by blanks, the command tag of a
// statement without rows, the SQLSTATE of an error, or "no answer".
std::string outcome(PGresult* answer)
{
    if (PQresultStatus(answer) == PGRES_COMMAND_OK)
        return PQcmdStatus(answer);
    if (PQresultStatus(answer) != PGRES_TUPLES_OK)
    {
        auto const* const sqlstate = PQresultErrorField(answer, 'C');
        return sqlstate != nullptr ? sqlstate : "no answer";
    }
    std::string text;
    for (int row = 0; row != PQntuples(answer); ++row)
        for (int n = 0; n != PQnfields(answer); ++n)
            text += (text.empty() ? "" : " ") +
                    std::string{PQgetvalue(answer, row, n)};
    return text;
}

std::string run(PGconn* it, std::string const& statement)
{
    pq_result const answer{PQexec(it, statement.c_str()), PQclear};
    return outcome(answer.get());
}

// Repeats a statement until it has the expected outcome, for at most five
// seconds. Returns the last outcome.
std::string
run_until(PGconn* it, std::string const& statement, std::string const& expected)
{
    auto const limit = std::chrono::steady_clock::now() + 5s;
    auto seen = run(it, statement);
    while (seen != expected && std::chrono::steady_clock::now() < limit)
        seen = run(it, statement);
    return seen;
}

// Returns whether data arrives on the connection within the timeout.
bool is_readable(PGconn* it, std::chrono::milliseconds limit)
{
    pollfd entry{PQsocket(it), POLLIN, 0};
    return poll(&entry, 1, static_cast<int>(limit.count())) == 1;
}

constexpr auto select_k = "SELECT value FROM item WHERE key = 'k'";
constexpr auto insert_k = "INSERT INTO item (key, value) VALUES ('k', 'v')";
constexpr auto increment_k =
    "UPDATE item SET amount = amount + 1 WHERE key = 'k'";
constexpr auto select_amount_k = "SELECT amount FROM item WHERE key = 'k'";
constexpr auto select_position =
    "SELECT term, position FROM basilreach.position()";

} // namespace

TEST_CASE(
    "writes reach replicas after the lag and only the primary accepts them")
{
    running_group group;
    auto const primary = group.connect(0);
    auto const replica = group.connect(1);
    CHECK(run(group.control(), "SET LAG b 600000") == "SET");
    CHECK(run(primary.get(), insert_k) == "INSERT 0 1");
    CHECK(run(primary.get(), insert_k) == "23505");
    CHECK(run(primary.get(), select_position) == "1 1");
    CHECK(run(replica.get(), select_k).empty());
    CHECK(run(replica.get(), select_position) == "1 0");
    CHECK(run(group.control(), "SET LAG b 0") == "SET");
    CHECK(run_until(replica.get(), select_k, "v") == "v");
    CHECK(run(replica.get(), increment_k) == "25006");
    auto const reader =
        group.connect(0, "options='-c default_transaction_read_only=on'");
    CHECK(run(reader.get(), increment_k) == "25006");
    CHECK(run(reader.get(), select_k) == "v");
    CHECK(run(primary.get(), "SELECT 1") == "42601");
    CHECK(run(group.control(), "SHOW RECEIVED 'amount + 1'") == "2");
    CHECK(run(group.control(), "SHOW RECEIVED 'never sent'") == "0");
    auto const wrong = group.connect(0, "password=wrong");
    CHECK(PQstatus(wrong.get()) == CONNECTION_BAD);
}

// Guards against changes that remain from a failed transaction, implicit or
// explicit.
TEST_CASE("a transaction is atomic")
{
    running_group group;
    auto const it = group.connect(0);
    CHECK(run(it.get(), std::string{insert_k} + "; SELECT 1") == "42601");
    CHECK(run(it.get(), select_k).empty());
    CHECK(run(it.get(), "BEGIN") == "BEGIN");
    CHECK(run(it.get(), insert_k) == "INSERT 0 1");
    CHECK(run(it.get(), select_k) == "v");
    CHECK(run(it.get(), "nonsense") == "42601");
    CHECK(PQtransactionStatus(it.get()) == PQTRANS_INERROR);
    CHECK(run(it.get(), select_k) == "25P02");
    CHECK(run(it.get(), "COMMIT") == "ROLLBACK");
    CHECK(run(it.get(), select_k).empty());
    CHECK(run(it.get(), "BEGIN READ ONLY") == "BEGIN");
    CHECK(run(it.get(), insert_k) == "25006");
    CHECK(run(it.get(), "ROLLBACK") == "ROLLBACK");

    // A second writer of the same key waits for the first.
    CHECK(run(it.get(), std::string{insert_k} + "; BEGIN; " + increment_k) ==
          "UPDATE 1");
    auto const other = group.connect(0);
    REQUIRE(PQsendQuery(other.get(), increment_k) == 1);
    CHECK_FALSE(is_readable(other.get(), 20ms));
    CHECK(run(it.get(), "COMMIT") == "COMMIT");
    pq_result const answer{PQgetResult(other.get()), PQclear};
    CHECK(outcome(answer.get()) == "UPDATE 1");
    CHECK(run(it.get(), select_amount_k) == "2");
}

// Guards against a Sync that ends the wrong transaction when several pipelined
// transactions arrive in one network write.
TEST_CASE("each sync of a pipeline ends its own implicit transaction")
{
    running_group group;
    auto const it = group.connect(0);
    auto const send = [&](char const* text, std::vector<char const*> values)
    {
        REQUIRE(PQsendQueryParams(it.get(), text,
                                  static_cast<int>(values.size()), nullptr,
                                  values.data(), nullptr, nullptr, 0) == 1);
    };
    auto const claim = "SELECT basilreach.claim_request($1, $2)";
    REQUIRE(PQenterPipelineMode(it.get()) == 1);
    send(claim, {"w", "1"});
    send("INSERT INTO item (key, value) VALUES ($1, $2)", {"k", "v"});
    REQUIRE(PQpipelineSync(it.get()) == 1);
    send(increment_k, {});
    send(claim, {"w", "1"});
    send(increment_k, {});
    REQUIRE(PQpipelineSync(it.get()) == 1);
    send(select_amount_k, {});
    send(select_position, {});
    REQUIRE(PQpipelineSync(it.get()) == 1);
    std::vector<std::string> seen;
    for (int syncs = 0; syncs != 3;)
    {
        pq_result const answer{PQgetResult(it.get()), PQclear};
        if (!answer)
            continue;
        if (PQresultStatus(answer.get()) == PGRES_PIPELINE_SYNC)
            ++syncs;
        else
            seen.push_back(outcome(answer.get()));
    }
    CHECK(seen == std::vector<std::string>{"t", "INSERT 0 1", "UPDATE 1",
                                           "23505", "no answer", "0", "1 1"});
}

// Guards against a prepared statement that cannot be executed again after an
// error.
TEST_CASE("a prepared statement is described and runs with its parameters")
{
    running_group group;
    auto const it = group.connect(0);
    CHECK(run(it.get(), insert_k) == "INSERT 0 1");
    pq_result const prepared{PQprepare(it.get(), "s",
                                       "SELECT amount FROM item WHERE key = $1",
                                       1, nullptr),
                             PQclear};
    CHECK(PQresultStatus(prepared.get()) == PGRES_COMMAND_OK);
    pq_result const described{PQdescribePrepared(it.get(), "s"), PQclear};
    CHECK(PQnparams(described.get()) == 1);
    CHECK(PQftype(described.get(), 0) == pgwire::int8_type);
    auto const with = [&](char const* key, int format)
    {
        pq_result const answer{
            PQexecPrepared(it.get(), "s", 1, &key, nullptr, nullptr, format),
            PQclear};
        return outcome(answer.get());
    };
    CHECK(with("k", 0) == "0");
    CHECK(with("k", 1) == "0A000");
    CHECK(with(nullptr, 0) == "22004");
    CHECK(with("k", 0) == "0");
}

// Guards against two transactions that wait for each other's locks forever.
TEST_CASE("a deadlock aborts one of the transactions")
{
    running_group group;
    auto const first = group.connect(0);
    auto const second = group.connect(0);
    auto const add = [](std::string const& key)
    {
        return "UPDATE item SET amount = amount + 1 WHERE key = '" + key + "'";
    };
    CHECK(run(first.get(), "BEGIN; " + add("x")) == "UPDATE 0");
    CHECK(run(second.get(), "BEGIN; " + add("y")) == "UPDATE 0");
    REQUIRE(PQsendQuery(first.get(), add("y").c_str()) == 1);
    auto const sent = "SHOW RECEIVED 'key = ''y'";
    CHECK(run_until(group.control(), sent, "2") == "2");
    CHECK(run(second.get(), add("x")) == "40P01");
    pq_result const answer{PQgetResult(first.get()), PQclear};
    CHECK(outcome(answer.get()) == "UPDATE 0");
}

TEST_CASE("an isolated primary accepts writes until it learns of a later term")
{
    running_group group;
    auto const old_primary = group.connect(0);
    auto const promoted = group.connect(1);
    auto const third = group.connect(2);
    CHECK(run(old_primary.get(), insert_k) == "INSERT 0 1");
    CHECK(run_until(promoted.get(), select_k, "v") == "v");
    CHECK(run(group.control(), "ISOLATE a") == "SET");
    CHECK(run(old_primary.get(), increment_k) == "UPDATE 1");
    CHECK(run(promoted.get(), "SELECT basilreach.promote(2)") == "t");
    CHECK(run(promoted.get(), "SELECT basilreach.promote(2)") == "t");
    CHECK(run(old_primary.get(), increment_k) == "UPDATE 1");
    CHECK(run(old_primary.get(), "SELECT basilreach.promote(1)") == "t");
    CHECK(run_until(third.get(), select_position, "2 2") == "2 2");
    CHECK(run(third.get(), "SELECT basilreach.promote(1)") == "55000");
    CHECK(run(old_primary.get(), "BEGIN; " + std::string{increment_k}) ==
          "UPDATE 1");
    CHECK(run(group.control(), "HEAL a") == "SET");
    auto const reader = group.connect(0);
    CHECK(run_until(reader.get(), select_position, "2 2") == "2 2");
    CHECK(run(old_primary.get(), "COMMIT") == "40001");
    CHECK(run(old_primary.get(), increment_k) == "25006");
    CHECK(run(group.control(), "SHOW VALUE k") == "a v 0 b v 0 c v 0");
    CHECK(run(group.control(), "SHOW STATE") ==
          "a replica 2 2 2 2 2 b primary 2 2 1 1 2 c replica 2 2 1 1 2");
}

TEST_CASE("SILENCE affects open connections only and PAUSE ends with RESUME")
{
    running_group group;
    auto const silent = group.connect(0);
    CHECK(run(silent.get(), insert_k) == "INSERT 0 1");
    CHECK(run(group.control(), "SILENCE a") == "SET");
    REQUIRE(PQsendQuery(silent.get(), select_k) == 1);
    auto const fresh = group.connect(0);
    CHECK(run(fresh.get(), select_k) == "v");
    CHECK_FALSE(is_readable(silent.get(), 20ms));

    CHECK(run(group.control(), "PAUSE a") == "SET");
    REQUIRE(PQsendQuery(fresh.get(), select_k) == 1);
    CHECK_FALSE(is_readable(fresh.get(), 20ms));
    CHECK(run(group.control(), "RESUME a") == "SET");
    pq_result const answer{PQgetResult(fresh.get()), PQclear};
    CHECK(outcome(answer.get()) == "v");
}

TEST_CASE("a stopped server refuses connections and keeps its data")
{
    running_group group;
    auto const it = group.connect(0);
    CHECK(run(it.get(), insert_k) == "INSERT 0 1");
    CHECK(run(group.control(), "STOP a") == "SET");
    CHECK(run(it.get(), select_k) == "no answer");
    CHECK(PQstatus(group.connect(0).get()) == CONNECTION_BAD);
    CHECK(run(group.control(), "START a") == "SET");
    auto const again = group.connect(0);
    CHECK(run(again.get(), select_k) == "v");
}

TEST_CASE("connections over the limit are refused")
{
    group_settings settings;
    settings.connection_limit = 2;
    settings.connection_cost = 1ms;
    running_group group{settings};
    auto const first = group.connect(0);
    auto second = group.connect(0);
    CHECK(PQstatus(second.get()) == CONNECTION_OK);
    auto const third = group.connect(0);
    CHECK(PQstatus(third.get()) == CONNECTION_BAD);
    CHECK(std::string{PQerrorMessage(third.get())}.find("too many") !=
          std::string::npos);
    second.reset();
    auto const state = "SHOW STATE";
    auto const free = "a primary 1 0 1 2 1 b replica 1 0 0 0 1 "
                      "c replica 1 0 0 0 1";
    CHECK(run_until(group.control(), state, free) == free);
    CHECK(PQstatus(group.connect(0).get()) == CONNECTION_OK);
}

// Guards against more concurrent statements than slots, and against a waiting
// statement that never gets a slot.
TEST_CASE("a statement waits until a slot is free")
{
    group_settings settings;
    settings.slots = 1;
    running_group group{settings};
    auto const first = group.connect(0);
    auto const second = group.connect(0);
    REQUIRE(PQsendQuery(first.get(), "SELECT pg_sleep(600)") == 1);
    CHECK(run_until(group.control(), "SHOW RECEIVED 'pg_sleep'", "1") == "1");
    REQUIRE(PQsendQuery(second.get(), select_k) == 1);
    CHECK_FALSE(is_readable(second.get(), 20ms));
    std::unique_ptr<PGcancel, decltype(&PQfreeCancel)> const cancel{
        PQgetCancel(first.get()), PQfreeCancel};
    std::string buf(256, '\0');
    CHECK(PQcancel(cancel.get(), buf.data(), 256) == 1);
    pq_result const cancelled{PQgetResult(first.get()), PQclear};
    CHECK(outcome(cancelled.get()) == "57014");
    pq_result const answer{PQgetResult(second.get()), PQclear};
    CHECK(outcome(answer.get()).empty());
}

namespace
{

// An admin console that refuses the first query and accepts the later ones.
class fake_console
{
public:
    fake_console()
    {
        REQUIRE(acceptor_.open(
                    ACE_INET_Addr{std::uint16_t{0}, INADDR_LOOPBACK}) == 0);
        thread_ = std::jthread([this] { serve(); });
    }

    [[nodiscard]] std::string address() const
    {
        ACE_INET_Addr local;
        acceptor_.get_local_addr(local);
        return "127.0.0.1:" + std::to_string(local.get_port_number());
    }

    // Waits until all expected queries have been received or accept has timed
    // out; returns the received ones.
    std::vector<std::string> queries()
    {
        thread_.join();
        return queries_;
    }

private:
    // One refused query and one accepted query for each of three servers.
    static constexpr std::size_t expected_queries = 4;

    void serve()
    {
        ACE_Time_Value limit{5};
        while (queries_.size() != expected_queries)
        {
            ACE_SOCK_Stream stream;
            if (acceptor_.accept(stream, nullptr, &limit) != 0)
                return;
            pgwire::decoder decoder;
            std::array<char, 1024> buf;
            for (ssize_t n = 0;
                 (n = stream.recv(buf.data(), buf.size(), &limit)) > 0;)
            {
                std::string_view input{buf.data(), static_cast<std::size_t>(n)};
                std::string out;
                while (auto const message = decoder.next(input).value())
                    answer(*message, out);
                stream.send_n(out.data(), out.size(), &limit);
            }
            stream.close();
        }
    }

    void answer(pgwire::frontend_message const& message, std::string& out)
    {
        if (std::holds_alternative<pgwire::ssl_request>(message))
            out.push_back(pgwire::encryption_refused);
        if (std::holds_alternative<pgwire::startup_message>(message))
            pgwire::append_authentication_cleartext_password(out);
        if (auto const* const it =
                std::get_if<pgwire::password_message>(&message))
        {
            if (it->password == "operator")
                pgwire::append_authentication_ok(out);
            pgwire::append_ready_for_query(out, pgwire::ready_status::idle);
        }
        if (auto const* const it = std::get_if<pgwire::query>(&message))
        {
            if (queries_.empty())
                pgwire::append_error_response(
                    out, {"ERROR", "57P03", "not run: no leader", "", ""});
            else
                pgwire::append_command_complete(out, "ANNOUNCE");
            pgwire::append_ready_for_query(out, pgwire::ready_status::idle);
            queries_.push_back(it->text.substr(0, it->text.find(" ADDRESS")));
        }
    }

    ACE_SOCK_Acceptor acceptor_;
    std::vector<std::string> queries_;
    std::jthread thread_;
};

} // namespace

// Guards against a server that stays unknown to the proxy because the first
// console is unreachable or refuses, and against announcements that block the
// group.
TEST_CASE("every server announces itself until a console accepts it")
{
    group_settings settings;
    settings.group = group_name{"g"};
    fake_console accepting;
    // Nothing listens on port 1.
    running_group group{settings,
                        {{"127.0.0.1:1", accepting.address()},
                         "operator",
                         {data_centre_name{"x"}, data_centre_name{"y"},
                          data_centre_name{"z"}}}};
    CHECK(run(group.control(), "SHOW VALUE k") == "a   b   c  ");
    auto seen = accepting.queries();
    std::sort(seen.begin(), seen.end());
    seen.erase(std::unique(seen.begin(), seen.end()), seen.end());
    CHECK(seen ==
          std::vector<std::string>{"ANNOUNCE SERVER a GROUP g DATA CENTRE x",
                                   "ANNOUNCE SERVER b GROUP g DATA CENTRE y",
                                   "ANNOUNCE SERVER c GROUP g DATA CENTRE z"});
}

} // namespace basilreach::stand_in
