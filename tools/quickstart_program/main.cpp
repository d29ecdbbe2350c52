// The caller's side of tools/quickstart: runs sessions against a deployment on
// loopback and prints a line for each outcome.
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
DEFINE_string(entries, "", "ports of three entry hosts, separated by commas");
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

// Binds sockets to port 0 and prints the ports that the system chose.
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

// Runs a statement and returns its first value, its command tag or its error.
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
    std::vector<std::string> entries;

    [[nodiscard]] connection_ptr console(std::size_t n) const
    {
        return connect(entries[n], "basilreach", FLAGS_operator_key);
    }

    // Returns one property of SHOW STATUS.
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

void wait_for_groups(deployment const& it)
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
    report(is_up, "three groups have a primary", "");
}

// Writes through the first entry host and reads through the second one.
std::string write_and_roam(deployment const& it)
{
    auto const writer = connect(it.entries[0], "recall-intake", FLAGS_key,
                                "-c basilreach.session=owner-17");
    auto const tag =
        run(writer.get(),
            "INSERT INTO item (key, value) VALUES ('kypara', 'open')");
    report(tag == "INSERT 0 1", "a session writes through entry host 1", tag);
    auto token = run(writer.get(), "SHOW basilreach.token");
    auto const reader =
        connect(it.entries[1], "serial-lookup", FLAGS_key,
                "-c basilreach.session=owner-17 -c basilreach.token=" + token);
    auto const value =
        run(reader.get(), "SELECT value FROM item WHERE key = 'kypara'");
    report(value == "open", "it reads its write through entry host 2", value);
    auto const other = connect(it.entries[2], "serial-lookup", FLAGS_key);
    auto const fresh =
        run(other.get(), "SELECT value FROM item WHERE key = 'kypara'");
    report(fresh == "open", "a session without a token is not stale", fresh);
    return token;
}

void use_extended_protocol(deployment const& it)
{
    auto const c = connect(it.entries[2], "recall-intake", FLAGS_key);
    auto const tag =
        run_parameters(c.get(), "INSERT INTO item (key, value) VALUES ($1, $2)",
                       {"shell", "cracked"});
    report(tag == "INSERT 0 1", "a driver's extended protocol writes", tag);
    auto const value = run_parameters(
        c.get(), "SELECT value FROM item WHERE key = $1", {"shell"});
    report(value == "cracked", "and reads", value);
}

void use_transaction(deployment const& it)
{
    auto const c = connect(it.entries[1], "refund-ledger", FLAGS_key);
    run(c.get(), "INSERT INTO item (key, value) VALUES ('shop', 'refund')");
    std::string last;
    for (auto const* text :
         {"BEGIN", "UPDATE item SET amount = amount + 1 WHERE key = 'shop'",
          "COMMIT"})
        last = run(c.get(), text);
    report(last == "COMMIT", "a transaction commits", last);
    run(c.get(), "BEGIN");
    run(c.get(), "UPDATE item SET amount = amount + 1 WHERE key = 'shop'");
    last = run(c.get(), "ROLLBACK");
    auto const amount =
        run(c.get(), "SELECT amount FROM item WHERE key = 'shop'");
    report(last == "ROLLBACK" && amount == "1",
           "another one rolls back without a trace", amount);
}

void run_once(deployment const& it)
{
    std::string const text =
        "UPDATE item SET amount = amount + 1 WHERE key = 'shop'";
    std::string outcomes;
    for (std::size_t n = 0; n != 2; ++n)
    {
        auto const c = connect(it.entries[n], "refund-ledger", FLAGS_key);
        run(c.get(), "SET basilreach.request_id = 'refund-4711'");
        outcomes += run(c.get(), text) + (n == 0 ? ", then " : "");
    }
    auto const c = connect(it.entries[2], "refund-ledger", FLAGS_key);
    auto const amount =
        run(c.get(), "SELECT amount FROM item WHERE key = 'shop'");
    report(amount == "2",
           "a request that is sent again through another entry host runs once",
           outcomes);
}

void change_primary(deployment const& it, std::string const& token)
{
    auto const old = it.status("group", "cases", "primary");
    auto const writer = connect(it.entries[0], "recall-intake", FLAGS_key);
    auto const console = it.console(0);
    auto const started = clock_type::now();
    auto const verdict =
        run(console.get(), "VERDICT " + old + " DOWN SEQUENCE 1");
    std::string now;
    bool const is_changed = wait_until(
        [&]
        {
            now = it.status("group", "cases", "primary");
            return now != old &&
                   it.status("group", "cases", "phase") == "serving";
        });
    auto const gap = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_type::now() - started);
    auto const tag =
        run(writer.get(),
            "INSERT INTO item (key, value) VALUES ('after', 'change')");
    report(verdict == "accepted" && is_changed && tag == "INSERT 0 1",
           "the primary changes from " + old + " to " + now +
               " and writes go on",
           "seen after " + std::to_string(gap.count()) + " ms");
    auto const reader =
        connect(it.entries[2], "serial-lookup", FLAGS_key,
                "-c basilreach.session=owner-17 -c basilreach.token=" + token);
    auto const value =
        run(reader.get(), "SELECT value FROM item WHERE key = 'kypara'");
    report(value == "open", "the session still reads its write", value);
}

void refuse_keys(deployment const& it, std::string const& digest)
{
    auto const wrong = connect(it.entries[0], "recall-intake", "wrong-key");
    report(PQstatus(wrong.get()) != CONNECTION_OK, "a wrong key is refused",
           "");
    auto const caller = connect(it.entries[1], "recall-intake", FLAGS_key);
    auto const console = it.console(2);
    auto const withdrawn = run(console.get(), "WITHDRAW KEY '" + digest + "'");
    bool const is_cut = wait_until(
        [&caller]
        {
            result_ptr const answer(PQexec(
                caller.get(), "SELECT value FROM item WHERE key = 'kypara'"));
            return PQresultStatus(answer.get()) != PGRES_TUPLES_OK;
        });
    report(withdrawn == "accepted" && is_cut,
           "a withdrawn key ends the session of a connected caller", withdrawn);
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
    wait_for_groups(it);
    auto const token = write_and_roam(it);
    use_extended_protocol(it);
    use_transaction(it);
    run_once(it);
    change_primary(it, token);
    refuse_keys(it, FLAGS_key_digest);
    return failures == 0 ? 0 : 1;
}
