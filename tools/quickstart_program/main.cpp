// The client of tools/quickstart. Runs sessions against a deployment on
// loopback and prints a line for each check: ok or FAILED, what was checked,
// and details.
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <libpq-fe.h>
#include <sys/socket.h>
#include <unistd.h>

DEFINE_uint32(free_ports, 0, "print this many free ports and exit");
DEFINE_string(entries,
              "",
              "client ports of the three daemons, separated by commas");
DEFINE_string(key, "", "key of the workspace");
DEFINE_string(operator_key, "", "key of the admin console");

namespace
{

using clock_type = std::chrono::steady_clock;

struct connection_deleter
{
    void operator()(PGconn* it) const
    {
        PQfinish(it);
    }
};

struct result_deleter
{
    void operator()(PGresult* it) const
    {
        PQclear(it);
    }
};

using connection_ptr = std::unique_ptr<PGconn, connection_deleter>;
using result_ptr = std::unique_ptr<PGresult, result_deleter>;

int failures = 0;

void report(bool is_ok, std::string const& what, std::string const& detail)
{
    failures += is_ok ? 0 : 1;
    std::cout << (is_ok ? "ok      " : "FAILED  ") << what;
    if (!detail.empty())
        std::cout << ": " << detail;
    std::cout << std::endl;
}

// Prints free ports, which the system chose for sockets bound to port 0.
int print_free_ports(unsigned n)
{
    std::vector<int> sockets;
    for (unsigned it = 0; it != n; ++it)
    {
        int const s = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        if (bind(s, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            getsockname(s, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            return 1;
        std::cout << ntohs(address.sin_port) << '\n';
        sockets.push_back(s);
    }
    for (int const s : sockets)
        close(s);
    return 0;
}

connection_ptr connect(std::string const& port,
                       std::string const& database,
                       std::string const& key,
                       std::string const& options = {})
{
    auto const text = "hostaddr=127.0.0.1 port=" + port +
                      " dbname=" + database + " user=caller password=" + key +
                      " sslmode=disable options='" + options + "'";
    return connection_ptr(PQconnectdb(text.c_str()));
}

std::string error_of(PGresult const* it)
{
    auto const* state = PQresultErrorField(it, PG_DIAG_SQLSTATE);
    auto const* text = PQresultErrorField(it, PG_DIAG_MESSAGE_PRIMARY);
    return std::string(state == nullptr ? "" : state) + " " +
           (text == nullptr ? "" : text);
}

// Runs a statement. Returns the first value of its answer, its command tag, or
// its error.
std::string run(PGconn* c, std::string const& text)
{
    result_ptr const it(PQexec(c, text.c_str()));
    if (PQresultStatus(it.get()) == PGRES_TUPLES_OK)
        return PQntuples(it.get()) == 0 ? "no row" : PQgetvalue(it.get(), 0, 0);
    if (PQresultStatus(it.get()) == PGRES_COMMAND_OK)
        return PQcmdStatus(it.get());
    return error_of(it.get());
}

std::string run_parameters(PGconn* c,
                           std::string const& text,
                           std::vector<char const*> const& values)
{
    result_ptr const it(PQexecParams(c, text.c_str(),
                                     static_cast<int>(values.size()), nullptr,
                                     values.data(), nullptr, nullptr, 0));
    if (PQresultStatus(it.get()) == PGRES_TUPLES_OK)
        return PQntuples(it.get()) == 0 ? "no row" : PQgetvalue(it.get(), 0, 0);
    if (PQresultStatus(it.get()) == PGRES_COMMAND_OK)
        return PQcmdStatus(it.get());
    return error_of(it.get());
}

bool wait_until(std::function<bool()> const& condition)
{
    auto const deadline = clock_type::now() + std::chrono::seconds(20);
    while (clock_type::now() < deadline)
    {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

struct deployment
{
    std::vector<std::string> client_ports;

    [[nodiscard]] connection_ptr console(std::size_t n) const
    {
        return connect(client_ports[n], "basilreach", FLAGS_operator_key);
    }

    // Returns one property of SHOW STATUS, or an empty text.
    [[nodiscard]] std::string status(std::string const& subject,
                                     std::string const& name,
                                     std::string const& property) const
    {
        auto const c = console(0);
        result_ptr const it(PQexec(c.get(), "SHOW STATUS"));
        for (int n = 0; n < PQntuples(it.get()); ++n)
            if (PQgetvalue(it.get(), n, 0) == subject &&
                PQgetvalue(it.get(), n, 1) == name &&
                PQgetvalue(it.get(), n, 2) == property)
                return PQgetvalue(it.get(), n, 3);
        return {};
    }
};

void check_groups(deployment const& it)
{
    bool const is_up = wait_until(
        [&it]
        {
            for (auto const* group : {"cases", "ledger", "refunds"})
                if (it.status("group", group, "phase") != "serving" ||
                    it.status("group", group, "primary").empty())
                    return false;
            return true;
        });
    report(is_up, "each of the three groups has a primary", "");
}

// Writes through the first daemon and reads through the others. Returns the
// session token of the write.
std::string write_and_read_elsewhere(deployment const& it)
{
    auto const writer = connect(it.client_ports[0], "recall-intake", FLAGS_key,
                                "-c basilreach.session=owner-17");
    auto const tag =
        run(writer.get(),
            "INSERT INTO item (key, value) VALUES ('kypara', 'open')");
    report(tag == "INSERT 0 1", "a session writes through daemon 1", tag);
    auto session_token = run(writer.get(), "SHOW basilreach.token");
    auto const reader = connect(
        it.client_ports[1], "serial-lookup", FLAGS_key,
        "-c basilreach.session=owner-17 -c basilreach.token=" + session_token);
    auto const value =
        run(reader.get(), "SELECT value FROM item WHERE key = 'kypara'");
    report(value == "open", "the same session reads its write through daemon 2",
           value);
    auto const other = connect(it.client_ports[2], "serial-lookup", FLAGS_key);
    auto const latest =
        run(other.get(), "SELECT value FROM item WHERE key = 'kypara'");
    report(latest == "open", "a session without a token reads the latest write",
           latest);
    return session_token;
}

void check_extended_protocol(deployment const& it)
{
    auto const c = connect(it.client_ports[2], "recall-intake", FLAGS_key);
    auto const tag =
        run_parameters(c.get(), "INSERT INTO item (key, value) VALUES ($1, $2)",
                       {"shell", "cracked"});
    report(tag == "INSERT 0 1", "the extended query protocol writes", tag);
    auto const value = run_parameters(
        c.get(), "SELECT value FROM item WHERE key = $1", {"shell"});
    report(value == "cracked", "the extended query protocol reads", value);
}

void check_transactions(deployment const& it)
{
    auto const c = connect(it.client_ports[1], "refund-ledger", FLAGS_key);
    run(c.get(), "INSERT INTO item (key, value) VALUES ('shop', 'refund')");
    std::string last_outcome;
    for (auto const* text :
         {"BEGIN", "UPDATE item SET amount = amount + 1 WHERE key = 'shop'",
          "COMMIT"})
        last_outcome = run(c.get(), text);
    report(last_outcome == "COMMIT", "a transaction commits", last_outcome);
    run(c.get(), "BEGIN");
    run(c.get(), "UPDATE item SET amount = amount + 1 WHERE key = 'shop'");
    last_outcome = run(c.get(), "ROLLBACK");
    auto const amount =
        run(c.get(), "SELECT amount FROM item WHERE key = 'shop'");
    report(last_outcome == "ROLLBACK" && amount == "1",
           "a rolled back transaction changes nothing", amount);
}

void check_request_id(deployment const& it)
{
    std::string const text =
        "UPDATE item SET amount = amount + 1 WHERE key = 'shop'";
    std::string outcomes;
    for (std::size_t n = 0; n != 2; ++n)
    {
        auto const c = connect(it.client_ports[n], "refund-ledger", FLAGS_key);
        run(c.get(), "SET basilreach.request_id = 'refund-4711'");
        outcomes += run(c.get(), text) + (n == 0 ? ", then " : "");
    }
    auto const c = connect(it.client_ports[2], "refund-ledger", FLAGS_key);
    auto const amount =
        run(c.get(), "SELECT amount FROM item WHERE key = 'shop'");
    report(amount == "2",
           "a request that is repeated through another daemon runs once",
           outcomes);
}

void check_failover(deployment const& it, std::string const& session_token)
{
    auto const old_primary = it.status("group", "cases", "primary");
    auto const writer = connect(it.client_ports[0], "recall-intake", FLAGS_key);
    auto const console = it.console(0);
    auto const started = clock_type::now();
    auto const verdict =
        run(console.get(), "VERDICT " + old_primary + " DOWN SEQUENCE 1");
    std::string new_primary;
    bool const is_changed = wait_until(
        [&]
        {
            new_primary = it.status("group", "cases", "primary");
            return new_primary != old_primary &&
                   it.status("group", "cases", "phase") == "serving";
        });
    auto const elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_type::now() - started);
    auto const tag =
        run(writer.get(),
            "INSERT INTO item (key, value) VALUES ('after', 'change')");
    report(verdict == "accepted" && is_changed && tag == "INSERT 0 1",
           "the primary changes from " + old_primary + " to " + new_primary +
               " and writes succeed again",
           "seen after " + std::to_string(elapsed.count()) + " ms");
    auto const reader = connect(
        it.client_ports[2], "serial-lookup", FLAGS_key,
        "-c basilreach.session=owner-17 -c basilreach.token=" + session_token);
    auto const value =
        run(reader.get(), "SELECT value FROM item WHERE key = 'kypara'");
    report(value == "open",
           "the session still reads its write after the change", value);
}

void check_keys(deployment const& it, std::string const& digest)
{
    auto const wrong =
        connect(it.client_ports[0], "recall-intake", "wrong-key");
    report(PQstatus(wrong.get()) != CONNECTION_OK, "a wrong key is refused",
           "");
    auto const client = connect(it.client_ports[1], "recall-intake", FLAGS_key);
    auto const console = it.console(2);
    auto const withdrawn = run(console.get(), "WITHDRAW KEY '" + digest + "'");
    bool const is_disconnected = wait_until(
        [&client]
        {
            result_ptr const answer(PQexec(
                client.get(), "SELECT value FROM item WHERE key = 'kypara'"));
            return PQresultStatus(answer.get()) != PGRES_TUPLES_OK;
        });
    report(withdrawn == "accepted" && is_disconnected,
           "withdrawing a key ends the session of a connected client",
           withdrawn);
}

std::vector<std::string> split(std::string const& text)
{
    std::vector<std::string> parts;
    std::size_t at = 0;
    while (at <= text.size())
    {
        auto const end = std::min(text.find(',', at), text.size());
        parts.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    return parts;
}

} // namespace

DEFINE_string(key_digest, "", "digest of the workspace's key");

int main(int argc, char* argv[])
{
    gflags::SetUsageMessage("runs the sessions of tools/quickstart");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_free_ports != 0)
        return print_free_ports(FLAGS_free_ports);
    deployment const it{split(FLAGS_entries)};
    check_groups(it);
    auto const session_token = write_and_read_elsewhere(it);
    check_extended_protocol(it);
    check_transactions(it);
    check_request_id(it);
    check_failover(it, session_token);
    check_keys(it, FLAGS_key_digest);
    return failures == 0 ? 0 : 1;
}
