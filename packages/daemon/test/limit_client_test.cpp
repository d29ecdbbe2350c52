#include <basilreach/daemon/limit_client.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include <basilreach/daemon/view_builder.hpp>

using namespace basilreach;
using namespace basilreach::daemon;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};

// Later than all first reports are due.
constexpr instant later = start + 10s;

control::control_state state_with_workspace()
{
    control::control_state out(make_rules_parser());
    out.apply(
        1, {{},
            "test",
            control::offer_rules{
                1, "workspace w rate=10 burst=10  # asked by the test: w\n"}});
    return out;
}

control::control_state state_with_servers()
{
    auto out = state_with_workspace();
    std::uint64_t index = 1;
    for (auto const* name : {"s1", "s2", "s3"})
    {
        control::announce_server it;
        it.server = server_name(name);
        it.group = group_name("g");
        it.data_centre = data_centre_name("a");
        it.address = "127.0.0.1:1";
        it.sequence = 1;
        out.apply(++index, {{}, "test", it});
    }
    return out;
}

} // namespace

// Guards against daemons that send a slow leader the same requests again, and
// each new one in a message of its own.
TEST_CASE("a daemon sends no further requests before the leader has answered")
{
    daemon_context context;
    context.settings.name = daemon_name("d");
    std::vector<messages::limit_requests> sent;
    limit_client it(
        context, 1,
        [&sent](messages::message const& m)
        { sent.push_back(std::get<messages::limit_requests>(m)); },
        start);
    auto const state = state_with_servers();
    it.configure(state, start);
    it.set_contact(true);
    it.tick(later);
    REQUIRE(sent.size() == 1);
    auto const use = [&](char const* server, instant now)
    {
        it.receive(traffic::connections_used{server_name(server), 0, 1}, now);
        it.tick(now);
    };
    for (auto ms = 1ms; ms != 500ms; ++ms)
        use(ms.count() % 2 == 0 ? "s1" : "s2", later + ms);
    CHECK(sent.size() == 1);
    // The daemon does not wake up for what it must not send.
    CHECK(it.next_deadline() >= later + 1s);
    messages::limit_grants answer{daemon_name("d"),    1, later, {}, {}, {},
                                  sent.front().number, {}};
    it.receive(answer, later + 500ms);
    it.tick(later + 500ms);
    REQUIRE(sent.size() == 2);
    auto const& shares = sent.back().shares;
    CHECK(std::count_if(shares.begin(), shares.end(),
                        [](auto const& share)
                        { return share.wanted == 1; }) == 2);
    // An answer to an earlier batch does not count for a later one.
    it.receive(answer, later + 501ms);
    use("s3", later + 502ms);
    CHECK(sent.size() == 2);
    // A lost batch does not keep the daemon from sending for ever.
    it.tick(later + 1500ms);
    CHECK(sent.size() == 3);
    // Nor does one to a host that is no longer the leader.
    it.change_allocator(later + 1501ms);
    use("s1", later + 1600ms);
    CHECK(sent.size() == 4);
}

// Guards against daemons that send all their requests to control hosts of which
// none leads, and keep them from electing a leader.
TEST_CASE("a daemon requests tokens only from a leader that has answered")
{
    daemon_context context;
    context.settings.name = daemon_name("d");
    std::vector<messages::message> sent;
    limit_client it(
        context, 1, [&sent](messages::message const& m) { sent.push_back(m); },
        start);
    it.configure(state_with_workspace(), start);
    it.tick(later);
    CHECK(sent.empty());
    // The daemon does not wake up for what it must not send.
    CHECK(it.next_deadline() > later);
    it.set_contact(true);
    CHECK(it.next_deadline() <= later);
    it.tick(later);
    REQUIRE(sent.size() == 1);
    CHECK(std::holds_alternative<messages::limit_requests>(sent.front()));
    it.set_contact(false);
    it.change_allocator(later);
    it.tick(later + 1s);
    CHECK(sent.size() == 1);
}
