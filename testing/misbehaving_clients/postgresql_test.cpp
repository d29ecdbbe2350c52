#include <chrono>
#include <string>

#include <doctest/doctest.h>

#include "console.hpp"
#include "crowd.hpp"
#include "deployment.hpp"

namespace basilreach::misbehaving_clients
{

namespace
{

using namespace std::chrono_literals;

// Memory of an entry host.
constexpr double host_bytes = 160e6;

// Once a crowd has left, the process may keep half of the host's memory, so
// that the host has room for the next crowd.
constexpr double host_bytes_afterwards = host_bytes / 2;

// Clients of a crowd that is not to meet the limit of descriptors, and the
// descriptors that the process uses itself.
constexpr std::size_t descriptors_max = 256;

// A lowered limit, with which 64 clients exceed the memory of the host.
constexpr std::size_t message_limit = std::size_t{4} << 20U;
constexpr auto message_limit_field = static_cast<std::uint32_t>(message_limit);
constexpr char lowered_message_limit[] =
    R"("limits": {"message_bytes": 4194304}, )";

constexpr std::size_t pipelining_clients = 13;

// The answers to a client's statements are about 35 MB, of which the system
// buffers less than 10 MB.
constexpr std::size_t value_bytes = 60000;
constexpr std::size_t pipelined_reads = 600;
constexpr std::size_t variable_bytes = 2000;
constexpr std::size_t pipelined_shows = 16000;

constexpr std::size_t whole = std::size_t{1} << 20U;

constexpr char rules_text[] =
    "route read group=main class=read  # asked by developers: test\n"
    "route write group=main  # asked by developers: test\n"
    "server_limit main connections=25 slots=25  # asked by developers: test\n";

constexpr char ordinary_request[] =
    "SELECT value FROM item WHERE key = 'measure'";

// A control and entry host with one group, whose clients are the subject of a
// test.
class served_group
{
public:
    explicit served_group(measure::host_options options)
        : hosts_(1, R"(["entry", "control"])", rules_text, std::move(options))
    {
        (void)hosts_.wait_for_leader();
        (void)hosts_.start_group("main");
        measure::wait_until(
            [&]
            {
                return request_is_answered(
                    "write", "INSERT INTO item (key, value) VALUES "
                             "('measure', '" +
                                 std::string(value_bytes, 'v') + "')");
            },
            20s, 100ms);
        REQUIRE(serves());
    }

    [[nodiscard]] measure::wire_target target(std::string const& route) const
    {
        return {hosts_.client_port(0), route, measure::client_key};
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return hosts_.client_port(0);
    }

    // Whether an ordinary request is answered, perhaps at a repetition.
    [[nodiscard]] bool serves() const
    {
        return measure::wait_until(
            [&] { return request_is_answered("read", ordinary_request); }, 40s,
            200ms);
    }

    // Waits until the process has handled what the system buffered for it: its
    // memory stays the same for a while.
    void settle()
    {
        constexpr int unchanged_polls = 8;
        int unchanged = 0;
        double last = 0;
        measure::wait_until(
            [&]
            {
                auto const now = hosts_.host(0).resident_bytes();
                unchanged = now == last ? unchanged + 1 : 0;
                last = now;
                return unchanged == unchanged_polls;
            },
            15s, 150ms);
    }

    void check_bounds()
    {
        settle();
        auto const& host = hosts_.host(0);
        MESSAGE("peak ", host.peak_resident_bytes() / 1e6, " MB, now ",
                host.resident_bytes() / 1e6, " MB, descriptors ",
                host.open_descriptors());
        CHECK(host.resident_bytes() > 0);
        CHECK(host.peak_resident_bytes() < host_bytes);
        CHECK(host.open_descriptors() < descriptors_max);
        CHECK(serves());
    }

    void check_bounds_afterwards()
    {
        auto const& host = hosts_.host(0);
        CHECK(measure::wait_until(
            [&] { return host.resident_bytes() < host_bytes_afterwards; }, 20s,
            200ms));
        MESSAGE("afterwards ", host.resident_bytes() / 1e6, " MB");
        CHECK(host.resident_bytes() > 0);
        CHECK(serves());
    }

    [[nodiscard]] std::size_t open_descriptors()
    {
        return hosts_.host(0).open_descriptors();
    }

private:
    [[nodiscard]] bool request_is_answered(std::string const& route,
                                           std::string const& statement) const
    {
        measure::wire_client client;
        return client.open(target(route)) && client.run(statement);
    }

    measure::deployment hosts_;
};

// The first 15 of 16 parts of a statement of the maximum size.
std::string most_of_a_statement()
{
    std::string out = 'Q' + make_length(message_limit_field);
    return out + std::string(message_limit / 16 * 15, 'a');
}

} // namespace

// Guards against buffers for incomplete messages without a common limit.
TEST_CASE("clients that send most of a large statement and stop")
{
    served_group group({lowered_message_limit});
    {
        crowd clients(64, group.target("read"));
        REQUIRE(clients.size() == 64);
        clients.send(most_of_a_statement(), whole);
        group.check_bounds();
    }
    group.check_bounds_afterwards();
}

// Guards against statements that are buffered again, without a limit, for the
// servers that run them.
TEST_CASE("clients that send whole large statements at the same time")
{
    served_group group({lowered_message_limit});
    {
        crowd clients(64, group.target("read"));
        REQUIRE(clients.size() == 64);
        std::string const text(message_limit - 100, 'a');
        clients.send(make_message('Q', "SELECT " + text + '\0'), whole);
        group.check_bounds();
    }
    group.check_bounds_afterwards();
}

// A large statement in small pieces, with which a buffer grows in many steps.
TEST_CASE("clients that send a large statement in small pieces")
{
    served_group group({lowered_message_limit});
    {
        crowd clients(64, group.target("read"));
        REQUIRE(clients.size() == 64);
        clients.send(most_of_a_statement(), 4000);
        group.check_bounds();
    }
    group.check_bounds_afterwards();
}

// Guards against answers of servers that are buffered without a limit.
TEST_CASE("clients that pipeline statements and read no answer")
{
    served_group group({lowered_message_limit});
    {
        crowd clients(pipelining_clients, group.target("read"));
        REQUIRE(clients.size() == pipelining_clients);
        auto const one =
            make_message('Q', std::string(ordinary_request) + '\0');
        clients.send(repeat(one, pipelined_reads), whole);
        group.check_bounds();
    }
    group.check_bounds_afterwards();
}

// Guards against answers of the daemon itself that are buffered without a
// limit: it answers SHOW at once.
TEST_CASE("clients that pipeline statements about a variable")
{
    served_group group({lowered_message_limit});
    {
        crowd clients(pipelining_clients, group.target("read"));
        REQUIRE(clients.size() == pipelining_clients);
        clients.send(make_message('Q', "SET basilreach.request_id = '" +
                                           std::string(variable_bytes, 'v') +
                                           "'" + '\0'),
                     whole);
        auto const one =
            make_message('Q', std::string("SHOW basilreach.request_id") + '\0');
        clients.send(repeat(one, pipelined_shows), whole);
        group.check_bounds();
    }
    group.check_bounds_afterwards();
}

// Guards against prepared statements that are kept without a limit.
TEST_CASE("clients that prepare many large statements")
{
    served_group group({lowered_message_limit});
    {
        crowd clients(4, group.target("read"));
        REQUIRE(clients.size() == 4);
        std::string const text(message_limit / 2, 'a');
        for (int n = 0; n != 30; ++n)
            clients.send(make_message('P', 's' + std::to_string(n) + '\0' +
                                               text + '\0' + '\0' + '\0'),
                         whole);
        group.check_bounds();
    }
    group.check_bounds_afterwards();
}

// Guards against memory that is reserved by a message's length field.
TEST_CASE("messages that state a size far over the limit")
{
    served_group group({lowered_message_limit});
    {
        crowd clients(100, group.target("read"));
        REQUIRE(clients.size() == 100);
        clients.send('Q' + make_length(0x7fff'fff0U) + std::string(60000, 'a'),
                     whole);
        group.check_bounds();
    }
    group.check_bounds_afterwards();
}

// Guards against large messages of clients that nobody knows yet.
TEST_CASE("large passwords before the authentication")
{
    served_group group({lowered_message_limit});
    {
        std::string content = make_length(196'608);
        for (auto const* it : {"user", "basilreach", "database", "read"})
            content += std::string(it) + '\0';
        content += '\0';
        auto const startup =
            make_length(static_cast<std::uint32_t>(content.size() + 4)) +
            content;
        crowd clients(64, group.port(),
                      startup + 'p' + make_length(message_limit_field));
        clients.send(std::string(message_limit / 16 * 15, 'a'), whole);
        group.check_bounds();
    }
    group.check_bounds_afterwards();
}

// Guards against startups that take all descriptors, so that neither a client
// nor a server nor a control host can be connected. The clients are more than
// the process has descriptors for, and stay while the request is made.
TEST_CASE("a crowd with half a startup that stays")
{
    constexpr std::size_t descriptors = 512;
    // Connections to servers and control hosts, files and listeners.
    constexpr std::size_t reserve = 16;
    served_group group({"", descriptors});
    {
        auto const half = make_length(100) + make_length(196'608) + "user";
        crowd const clients(600, group.port(), half);
        // The time in which a host takes in the crowd.
        (void)measure::wait_until(
            [&] { return group.open_descriptors() >= descriptors - reserve; },
            3s, 50ms);
        CHECK(group.open_descriptors() < descriptors - reserve);
        CHECK(group.serves());
    }
    CHECK(group.serves());
}

} // namespace basilreach::misbehaving_clients
