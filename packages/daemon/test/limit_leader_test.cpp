// The floor holders that a leader computes from the control state.
#include <basilreach/daemon/limit_leader.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <variant>

#include <basilreach/daemon/view_builder.hpp>

using namespace basilreach;
using namespace basilreach::daemon;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};
constexpr std::size_t daemon_count = 12;
constexpr std::size_t data_centre_count = 3;
workspace_name const workspace("w");

daemon_name name_of(std::size_t n)
{
    return daemon_name("daemon-" + std::to_string(n));
}

data_centre_name data_centre_of(std::size_t n)
{
    return data_centre_name("dc-" + std::to_string(n % data_centre_count));
}

// A group with fewer connections than there are daemons.
struct fixture
{
    fixture() : state(make_rules_parser())
    {
        apply(control::offer_rules{
            1,
            "server_limit g connections=5 slots=3  # asked by the test: limit\n"
            "workspace w rate=10 burst=20  # asked by the test: limit\n"});
        for (std::size_t n = 0; n != daemon_count; ++n)
            apply(control::register_daemon{name_of(n), data_centre_of(n),
                                           "127.0.0.1:1"});
        control::announce_server it;
        it.server = server_name("s");
        it.group = group_name("g");
        it.data_centre = data_centre_of(0);
        it.address = "127.0.0.1:1";
        it.sequence = 1;
        apply(it);
        settings.limits.floor_rate = 1;
        settings.limits.floor_burst = 0.4;
    }

    void apply(control::command_body const& body)
    {
        state.apply(++index, {{}, "test", body});
    }

    // Returns the daemons that a new leader asks for a report of the workspace,
    // with which they get a part of its floor.
    std::set<daemon_name> asked_daemons()
    {
        std::set<daemon_name> out;
        limit_leader leader(
            settings, 1, true,
            [&](daemon_name const& to, messages::message const& it)
            {
                auto const& contact =
                    std::get<messages::limit_grants>(it).contact;
                if (contact && !contact->unreported.empty())
                    out.insert(to);
            },
            start);
        leader.configure(state, start);
        for (std::size_t n = 0; n != daemon_count; ++n)
        {
            messages::limit_requests batch;
            batch.holder = name_of(n);
            batch.incarnation = 1;
            batch.sent = start;
            batch.contact = limits::contact_report{};
            batch.contact->holder = name_of(n);
            batch.contact->incarnation = 1;
            leader.receive(batch, start);
        }
        leader.tick(never, start);
        return out;
    }

    control::control_state state;
    settings::daemon_settings settings;
    std::uint64_t index = 0;
};

} // namespace

// Guards against a leader that keeps the floor for other daemons than those
// that run the statements of the workspace: they had no tokens when their data
// centre was cut off.
TEST_CASE("the floor of a workspace is kept for its holders")
{
    fixture f;
    dispatch::member_map members;
    for (std::size_t n = 0; n != daemon_count; ++n)
        members[name_of(n)] = {data_centre_of(n), "127.0.0.1:1"};
    auto const holders =
        dispatch::first_holders(members, workspace, 20, {group_name("g")});
    REQUIRE(holders.size() == data_centre_count);
    CHECK(f.asked_daemons() == holders);

    auto const lost = *holders.begin();
    f.apply(control::remove_daemon{lost});
    members.erase(lost);
    auto const next =
        dispatch::first_holders(members, workspace, 20, {group_name("g")});
    CHECK(next != holders);
    CHECK(f.asked_daemons() == next);
}

// Guards against floors at a few holders in a deployment whose servers accept a
// connection of each daemon: every daemon runs the statements itself.
TEST_CASE("the floor of a workspace without holders is kept for all daemons")
{
    fixture f;
    f.apply(control::offer_rules{
        2, "server_limit g connections=50 slots=3  # asked by the test: limit\n"
           "workspace w rate=100 burst=100  # asked by the test: limit\n"});
    CHECK(f.asked_daemons().size() == daemon_count);
}
