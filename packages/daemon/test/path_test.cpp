#include "deployment.hpp"

#include <doctest/doctest.h>

#include <array>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <basilreach/rules/digest.hpp>

namespace basilreach::daemon
{

namespace
{

// A client connection that sends arbitrary bytes.
class raw_client
{
public:
    explicit raw_client(std::size_t n)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(6432);
        inet_pton(AF_INET, deployment::ip_of(n).c_str(), &address.sin_addr);
        REQUIRE(::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0);
    }
    raw_client(raw_client const&) = delete;
    raw_client& operator=(raw_client const&) = delete;
    ~raw_client()
    {
        ::close(socket_);
    }

    void send(std::string const& bytes) const
    {
        CHECK(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(bytes.size()));
    }

    // Sends the bytes repeatedly until the peer accepts no more for 200 ms, or
    // until the limit is reached. Returns the number of bytes accepted.
    std::size_t flood(std::string const& bytes, std::size_t limit) const
    {
        std::size_t taken = 0;
        pollfd entry{socket_, POLLOUT, 0};
        while (taken < limit && poll(&entry, 1, 200) == 1)
        {
            auto const n = ::send(socket_, bytes.data(), bytes.size(),
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n <= 0)
                break;
            taken += static_cast<std::size_t>(n);
        }
        return taken;
    }

    // Reads until the text has arrived, or the connection has ended. An empty
    // text never arrives.
    std::string read_until(std::string const& text) const
    {
        std::string all;
        std::array<char, 4096> buf{};
        while (text.empty() || all.find(text) == std::string::npos)
        {
            pollfd entry{socket_, POLLIN, 0};
            if (poll(&entry, 1, 5000) != 1)
                return all + " (timeout)";
            auto const n = recv(socket_, buf.data(), buf.size(), 0);
            if (n <= 0)
                return all;
            all.append(buf.data(), static_cast<std::size_t>(n));
        }
        return all;
    }

private:
    int socket_;
};

std::string number(std::uint32_t it)
{
    it = htonl(it);
    return {reinterpret_cast<char const*>(&it), sizeof(it)};
}

// Returns a protocol message: type, length and body. Startup messages have no
// type.
std::string message(std::string const& type, std::string const& body)
{
    return type + number(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

constexpr std::uint32_t protocol = 3U << 16U;
constexpr std::uint32_t cancel_code = 80877102;
constexpr std::uint32_t ssl_code = 80877103;
constexpr std::uint32_t gss_code = 80877104;

std::string startup(std::string const& database)
{
    using namespace std::string_literals;
    return message("", number(protocol) + "user\0client\0database\0"s +
                           database + "\0\0"s);
}

std::string startup_error(client_ptr const& c)
{
    CHECK(PQstatus(c.get()) == CONNECTION_BAD);
    return PQerrorMessage(c.get());
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

// Returns the paths of the files below a directory that contain a text.
std::vector<std::string>
files_containing(std::filesystem::path const& directory,
                 std::string const& text)
{
    std::vector<std::string> found;
    for (auto const& it :
         std::filesystem::recursive_directory_iterator(directory))
    {
        if (!it.is_regular_file())
            continue;
        std::ifstream file(it.path(), std::ios::binary);
        std::ostringstream bytes;
        bytes << file.rdbuf();
        if (contains(bytes.str(), text))
            found.push_back(it.path().string());
    }
    return found;
}

} // namespace

// Guards against stale reads when a session continues at another entry host,
// and against answers of the extended protocol that drivers do not accept.
TEST_CASE("sessions, transactions and the extended protocol work end to end")
{
    deployment it;
    auto const writer = it.connect(0, "intake");
    REQUIRE(PQstatus(writer.get()) == CONNECTION_OK);
    for (int n = 0; n != 20; ++n)
    {
        auto const key = "k" + std::to_string(n);
        CHECK(run(writer, insert(key)) == "INSERT 0 1");
        auto const token = run(writer, "SHOW basilreach.token");
        auto const reader =
            it.connect(1 + static_cast<std::size_t>(n % 2), "lookup",
                       client_key, "-c basilreach.token=" + token);
        CHECK(run(reader, select_value(key)) == "v");
        CHECK(run(it.connect(2, "lookup"), select_value(key)) == "v");
    }
    CHECK(run_all(writer, {"BEGIN", increment("k0"), "COMMIT"}) == "COMMIT");
    CHECK(run_all(writer, {"BEGIN", increment("k0"), "ROLLBACK"}) ==
          "ROLLBACK");
    CHECK(run(writer, "SELECT amount FROM item WHERE key = 'k0'") == "1");
    CHECK(run_all(writer, {"BEGIN", "nonsense"}) == "42601");
    CHECK(PQtransactionStatus(writer.get()) == PQTRANS_INERROR);
    CHECK(run(writer, "COMMIT") == "ROLLBACK");
    CHECK(run_all(writer, {"BEGIN READ ONLY", insert("y")}) == "25006");
    CHECK(run(writer, "ROLLBACK") == "ROLLBACK");

    auto const outcome_of = [](PGresult* answer)
    {
        return outcome(answer_ptr(answer, PQclear).get());
    };
    auto* const c = writer.get();
    std::array const values = {"k1"};
    CHECK(outcome_of(PQprepare(c, "s", "SELECT value FROM item WHERE key = $1",
                               1, nullptr)) == "");
    answer_ptr const described(PQdescribePrepared(c, "s"), PQclear);
    CHECK(PQnparams(described.get()) == 1);
    CHECK(PQnfields(described.get()) == 1);
    CHECK(outcome_of(PQexecPrepared(c, "s", 1, values.data(), nullptr, nullptr,
                                    0)) == "v");
    CHECK(outcome_of(PQexecPrepared(c, "none", 0, nullptr, nullptr, nullptr,
                                    0)) == "26000");
    CHECK(outcome_of(PQprepare(c, "s", "BEGIN", 0, nullptr)) == "42P05");
    CHECK(run(writer, select_value("k1")) == "v");
}

// Guards against a write that is declared as a read and is therefore
// acknowledged before a majority has it.
TEST_CASE("a write on a read route fails at the primary too")
{
    deployment it;
    auto const options = std::string("-c default_transaction_read_only=on");
    for (auto const* route : {"lookup", "intake"})
    {
        auto const c =
            it.connect(1, route, client_key,
                       route == std::string("intake") ? options : "");
        CHECK(run(c, insert("x")) == "25006");
        CHECK(PQtransactionStatus(c.get()) == PQTRANS_IDLE);
        CHECK(run(c, select_value("x")).empty());
        CHECK(run(c, "nonsense") == "42601");
        CHECK(run(c, select_value("x")).empty());
        CHECK(run_all(c, {"BEGIN;", insert("x")}) == "25006");
        CHECK(run(c, "ROLLBACK") == "ROLLBACK");
    }
    CHECK(run(it.connect(0, "intake"), insert("x")) == "INSERT 0 1");
}

// Guards against a client that violates the protocol and thereby breaks other
// connections or is never disconnected.
TEST_CASE("startup negotiation, malformed messages and refused statements")
{
    deployment it;
    auto const other = it.connect(0, "intake");
    raw_client const negotiating(0);
    negotiating.send(message("", number(ssl_code)));
    CHECK(negotiating.read_until("N") == "N");
    negotiating.send(message("", number(gss_code)));
    CHECK(negotiating.read_until("N") == "N");
    negotiating.send(startup("intake"));
    CHECK(negotiating.read_until("R").substr(0, 1) == "R");
    raw_client const cancelling(0);
    cancelling.send(message("", number(cancel_code) + number(1) + number(2)));
    CHECK(cancelling.read_until("").empty());

    for (auto const& bytes :
         {message("", number(1)), message("Q", "no startup"),
          startup("open") + message("p", "unexpected"),
          startup("open") + "Q" + number(0x7fffffff),
          startup("open") + "Q" + number(2), startup("open") + "?" + number(4),
          startup("open") + message("B", "cut off")})
    {
        raw_client const bad(0);
        bad.send(bytes);
        auto const answer = bad.read_until("");
        CHECK(contains(answer, "C08P01"));
        CHECK_FALSE(contains(answer, "timeout"));
    }
    CHECK(contains(startup_error(it.connect(0, "nowhere")),
                   "the route does not exist"));
    CHECK(contains(startup_error(it.connect(0, "intake", "wrong")),
                   "the key is not valid"));
    CHECK(contains(startup_error(it.connect(0, "basilreach", client_key)),
                   "the key is not valid"));
    raw_client const unknown(0);
    unknown.send(startup("nowhere"));
    CHECK(contains(unknown.read_until(""), "C3D000"));
    raw_client const wrong(0);
    wrong.send(startup("intake"));
    wrong.read_until("R");
    wrong.send(message("p", std::string("wrong\0", 6)));
    CHECK(contains(wrong.read_until(""), "C28P01"));

    for (std::string const text : {"SET search_path = x", "LISTEN x", "RESET x",
                                   "PREPARE s AS SELECT 1", "DISCARD ALL"})
    {
        INFO(text);
        CHECK(run(other, text) == "0A000");
    }
    CHECK(run(other, insert("after")) == "INSERT 0 1");
    CHECK(run(it.connect(0, "open", ""), select_value("after")) == "v");
}

// Guards against a driver that waits forever for the columns of a portal that
// it describes without executing it.
TEST_CASE("a portal that is described without being run gets its columns")
{
    using namespace std::string_literals;
    deployment const it;
    raw_client const client(0);
    client.send(startup("open"));
    CHECK(contains(client.read_until("server_version"), "server_version"));
    client.send(
        message("P", "\0SELECT value FROM item WHERE key = 'k'\0\0\0"s) +
        message("B", "\0\0\0\0\0\0\0\0"s) + message("D", "P\0"s) +
        message("S", ""));
    CHECK(contains(client.read_until("value"), "value"));
    client.send(message("Q", "SHOW basilreach.token\0"s));
    CHECK(contains(client.read_until("SHOW"), "SHOW"));
}

// Guards against a client that exhausts the memory by sending while its
// statement is in progress. The kernel's buffers on both sides accept up to 10
// MiB of it.
TEST_CASE("a client that sends during a statement is not read without limit")
{
    deployment const it;
    raw_client const client(0);
    client.send(startup("open"));
    CHECK(contains(client.read_until("server_version"), "server_version"));
    client.send(message("Q", std::string("SELECT pg_sleep(0.8)") + '\0'));
    constexpr std::size_t limit = std::size_t{64} << 20U;
    std::string const padding(64000, ' ');
    CHECK(client.flood(message("Q", padding + '\0'), limit) < limit / 2);
}

// Guards against a client's key in anything that leaves the daemon's memory.
TEST_CASE("a client's key appears in no server, console output or file")
{
    deployment it;
    for (std::size_t n = 0; n != it.daemons.size(); ++n)
    {
        auto const c = it.connect(n, "intake");
        CHECK(run(c, insert("k" + std::to_string(n))) == "INSERT 0 1");
        CHECK(run(it.connect(n, "lookup"), select_value("k0")) == "v");
        CHECK(run_all(c, {"BEGIN", "nonsense", "ROLLBACK"}) == "ROLLBACK");
        CHECK(PQstatus(it.connect(n, "nowhere").get()) == CONNECTION_BAD);
    }
    // Any server can have become the first primary.
    auto const primary = it.wait_for_primary(0, "cases");
    REQUIRE_FALSE(primary.empty());
    CHECK(it.cases->control("SILENCE " + primary) == "SET");
    CHECK(run(it.connect(0, "intake"), insert("silent")) == "08007");
    std::string const key = client_key;
    CHECK(it.cases->control("SHOW RECEIVED 'INSERT INTO item'") != "0");
    CHECK(it.cases->control("SHOW RECEIVED '" + key + "'") == "0");
    CHECK(it.ledger->control("SHOW RECEIVED '" + key + "'") == "0");
    for (std::size_t n = 0; n != it.daemons.size(); ++n)
        for (auto const* text : {"SHOW STATUS", "SHOW METRICS", "SHOW RULES"})
        {
            auto const answer = run(it.console(n), text);
            CHECK(answer.size() > 10);
            CHECK_FALSE(contains(answer, key));
        }
    for (auto& daemon : it.daemons)
        daemon.reset();
    CHECK_FALSE(files_containing(it.directory(), "decision=").empty());
    CHECK(files_containing(it.directory(), key).empty());
}

// Guards against clients that stay connected with a withdrawn key.
TEST_CASE("clients with a withdrawn key are disconnected at every daemon")
{
    deployment it;
    std::vector<client_ptr> clients;
    for (std::size_t n = 0; n != it.daemons.size(); ++n)
    {
        clients.push_back(it.connect(n, "intake"));
        CHECK(run(clients.back(), insert("k" + std::to_string(n))) ==
              "INSERT 0 1");
    }
    auto const unaffected = it.connect(0, "intake", other_key);
    auto const digest = rules::print_digest(rules::digest_of_key(client_key));
    CHECK(run(it.console(2), "WITHDRAW KEY '" + digest + "'")
              .starts_with("accepted"));
    for (auto const& c : clients)
        CHECK(eventually(
            [&]
            {
                return run(c, select_value("k0")) != "v" &&
                       PQstatus(c.get()) == CONNECTION_BAD;
            }));
    for (std::size_t n = 0; n != it.daemons.size(); ++n)
        CHECK(PQstatus(it.connect(n, "intake").get()) == CONNECTION_BAD);
    CHECK(run(unaffected, select_value("k0")) == "v");
}

} // namespace basilreach::daemon
