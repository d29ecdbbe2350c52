#include <algorithm>

#include <doctest/doctest.h>

#include "simulation.hpp"

namespace basilreach::control::test
{

namespace
{

instant at(int ms)
{
    return instant{milliseconds{ms}};
}

lease_holder make_holder(std::size_t threads = 1)
{
    return {daemon_name{"d1"}, data_centre_name{"a"}, 1, threads, {}, at(0)};
}

grant_lease grant_for(int echo, std::uint64_t incarnation = 1)
{
    return {daemon_name{"d1"}, incarnation, at(echo), std::chrono::seconds{3},
            0};
}

} // namespace

// Guards against a lease that is extended by a late, reordered or repeated
// grant or by a grant for another incarnation.
TEST_CASE("a lease is counted from the send time of its renewal")
{
    auto holder = make_holder();
    holder.tick(at(0));
    holder.tick(at(100));
    holder.tick(at(200));
    struct row
    {
        grant_lease grant;
        instant valid_until;
    };
    grant_lease none = grant_for(200);
    none.lease = {};
    row const rows[] = {
        {grant_for(150), instant::min()},    // answers no renewal
        {grant_for(100, 2), instant::min()}, // of another incarnation
        {grant_for(100), at(3100)},
        {grant_for(0), at(3100)},   // reordered
        {grant_for(100), at(3100)}, // repeated
        {none, at(3100)},           // no lease granted
    };
    for (auto const& it : rows)
    {
        holder.receive(it.grant);
        holder.tick(at(250));
        CHECK(holder.valid_until() == it.valid_until);
    }
    // The renewal was sent longer ago than the duration of a lease.
    holder.tick(at(700));
    holder.tick(at(3800));
    holder.receive(grant_for(700));
    holder.tick(at(3801));
    CHECK(holder.valid_until() == at(3100));
}

// Guards against a daemon that learns of a new leader, and asks it for nothing
// before its next regular renewal.
TEST_CASE("a daemon renews its lease soon after a change of leader")
{
    auto const is_renewed = [](std::vector<holder_output> const& it)
    {
        return std::any_of(
            it.begin(), it.end(),
            [](holder_output const& out)
            { return std::holds_alternative<lease_renewal>(out); });
    };
    auto holder = make_holder();
    CHECK(is_renewed(holder.tick(at(0))));
    holder.receive(grant_for(0));
    holder.tick(at(5));
    CHECK(is_renewed(holder.tick(at(100))));
    holder.receive(grant_for(100));
    holder.tick(at(105));
    CHECK(holder.next_deadline() == at(600));
    holder.receive(leader_changed{});
    holder.tick(at(110));
    CHECK(holder.next_deadline() == at(120));
    CHECK(is_renewed(holder.tick(at(120))));
    // The lease is valid, but this control host has not answered yet.
    CHECK(holder.next_deadline() == at(220));
    holder.receive(grant_for(120));
    CHECK(is_renewed(holder.tick(at(220))));
    CHECK(holder.next_deadline() == at(720));
}

// Guards against a daemon that returns to an older state, and against a
// confirmation before all traffic threads have adopted the state.
TEST_CASE("a revision is confirmed once all threads have adopted it")
{
    auto holder = make_holder(2);
    holder.tick(at(0));
    holder.receive(state_offered{5});
    CHECK(holder.tick(at(1)) == std::vector<holder_output>{adopt_state{5}});
    holder.receive(state_offered{4});
    CHECK(holder.tick(at(2)) ==
          std::vector<holder_output>{state_refused{4, 5}});
    holder.receive(state_adopted{0, 5});
    holder.receive(state_adopted{1, 3});
    holder.tick(at(3));
    CHECK(holder.confirmed_revision() == 3);
    holder.receive(write_acknowledged{group_name{"g"}, {1, 9}});
    holder.receive(write_acknowledged{group_name{"g"}, {1, 7}});
    holder.receive(state_adopted{1, 5});
    auto const outputs = holder.tick(at(4));
    REQUIRE(outputs.size() == 1);
    auto const& renewal = std::get<lease_renewal>(outputs.front());
    CHECK(renewal.confirmed_revision == 5);
    CHECK(renewal.acknowledged.at(group_name{"g"}) == log_position{1, 9});
    holder.receive(state_adopted{0, 4});
    holder.receive(state_adopted{7, 9});
    holder.tick(at(5));
    CHECK(holder.confirmed_revision() == 5);
}

// Guards against a lease that is still valid after a stop, and against a grant
// that extends it afterwards.
TEST_CASE("a stopped holder releases its lease")
{
    auto holder = make_holder();
    holder.tick(at(0));
    holder.receive(grant_for(0));
    holder.tick(at(1));
    CHECK(holder.next_deadline() == at(100));
    holder.tick(at(100));
    CHECK(holder.next_deadline() == at(600));
    holder.receive(stop_requested{});
    CHECK(holder.next_deadline() == instant::min());
    CHECK(holder.tick(at(101)).size() == 2);
    holder.receive(grant_for(100));
    CHECK(holder.tick(at(2000)).empty());
    CHECK(holder.valid_until() == instant::min());
    CHECK(holder.next_deadline() == never);
}

// Guards against reordered renewals that lower the confirmed revision, a new
// leader that does not wait for the end of leases granted by the earlier one,
// and leases for removed daemons.
TEST_CASE("a renewal neither lowers a confirmation nor shortens a lease")
{
    control_state state(parse_rules);
    daemon_name const d1{"d1"};
    data_centre_name const a{"a"};
    state.apply(1, {{}, "test", register_daemon{d1, a}});
    leader current_leader(state, {}, at(0));
    command const removal{{}, "test", remove_daemon{d1}};
    current_leader.receive(lease_renewal{d1, a, 1, at(0), 1, {}});
    current_leader.tick(at(1));
    CHECK(current_leader.next_deadline() == at(3636));
    current_leader.receive(committed{2, removal, state.apply(2, removal)});
    current_leader.receive(lease_renewal{d1, a, 1, at(2), 2, {}});
    current_leader.receive(lease_renewal{d1, a, 1, at(1), 1, {}});
    auto const outputs = current_leader.tick(at(3));
    CHECK(current_leader.revision_in_force() == 2);
    CHECK(std::find(outputs.begin(), outputs.end(),
                    leader_output{change_in_force{2, milliseconds{0}}}) !=
          outputs.end());
    for (auto const& it : outputs)
        if (auto const* const grant = std::get_if<grant_lease>(&it))
            CHECK(grant->lease == duration{});
}

// Guards against a daemon that loses its lease although it is never far behind:
// changes came faster than it confirmed them.
TEST_CASE("a daemon that lags behind changes keeps a lease of bounded length")
{
    constexpr int change_interval_ms = 300;
    constexpr int lag_ms = 700;
    control_state state(parse_rules);
    daemon_name const d1{"d1"};
    daemon_name const d2{"d2"};
    data_centre_name const a{"a"};
    state.apply(1, {{}, "test", register_daemon{d1, a}});
    state.apply(2, {{}, "test", register_daemon{d2, a}});
    leader current_leader(state, {}, at(0));
    // Each change of the rules raises the revision by one.
    auto const revision_at = [](int ms)
    {
        return static_cast<std::uint64_t>(2 +
                                          std::max(ms, 0) / change_interval_ms);
    };
    instant lagging_until{};
    instant stuck_until{};
    for (int ms = 0; ms != 12'000; ms += 100)
    {
        if (auto const revision = revision_at(ms); revision > state.revision())
        {
            command const it{
                {}, "test", offer_rules{revision, std::to_string(revision)}};
            current_leader.receive(
                committed{revision, it, state.apply(revision, it)});
        }
        current_leader.receive(
            lease_renewal{d1, a, 1, at(ms), revision_at(ms - lag_ms), {}});
        current_leader.receive(lease_renewal{d2, a, 1, at(ms), 2, {}});
        for (auto const& it : current_leader.tick(at(ms)))
            if (auto const* const grant = std::get_if<grant_lease>(&it))
            {
                auto& until = grant->daemon == d1 ? lagging_until : stuck_until;
                if (grant->lease > duration{})
                    until = std::max(until, grant->echo + grant->lease);
            }
        // Whoever keeps up with the changes to within a lease is served.
        CHECK(lagging_until > at(ms));
    }
    // The daemon that confirms no change is bounded as before: its lease ends
    // within the confirmation timeout and one lease after the first change.
    CHECK(stuck_until <= at(change_interval_ms + 250 + 3000));
    CHECK(current_leader.revision_in_force() > 2);
}

// Guards against a daemon that others look for at an earlier address, and
// against a removed daemon that registers itself again.
TEST_CASE("a daemon is registered again when its address changes")
{
    daemon_name const d1{"d1"};
    data_centre_name const a{"a"};
    control_state state(parse_rules);
    state.apply(1, {{}, "test", register_daemon{d1, a, "127.0.0.1:1"}});
    leader current_leader(state, {}, at(0));
    auto const registrations = [&](std::string const& address, int ms)
    {
        current_leader.receive(lease_renewal{d1, a, 1, at(ms), 1, {}, address});
        std::vector<register_daemon> out;
        for (auto const& it : current_leader.tick(at(ms)))
            if (auto const* const proposed = std::get_if<propose>(&it))
                if (auto const* const body =
                        std::get_if<register_daemon>(&proposed->entry.body))
                    out.push_back(*body);
        return out;
    };
    CHECK(registrations("127.0.0.1:1", 1).empty());
    CHECK(registrations("127.0.0.1:2", 2) ==
          std::vector{register_daemon{d1, a, "127.0.0.1:2"}});
    state.apply(2, {{}, "test", remove_daemon{d1}});
    CHECK(registrations("127.0.0.1:2", 5000).empty());
}

TEST_CASE("a renewal carries the address of the daemon")
{
    lease_holder holder{
        daemon_name{"d1"}, data_centre_name{"a"}, 1, 1, {}, at(0),
        "127.0.0.1:1"};
    auto const outputs = holder.tick(at(0));
    REQUIRE(outputs.size() == 1);
    CHECK(std::get<lease_renewal>(outputs.front()).address == "127.0.0.1:1");
}

// Guards against a tick whose cost grows with the number of daemons.
TEST_CASE("a tick visits only the rows that are due")
{
    auto const visits = [](int daemons)
    {
        control_state state(parse_rules);
        for (int n = 1; n <= daemons; ++n)
            state.apply(static_cast<std::uint64_t>(n),
                        {{},
                         "test",
                         register_daemon{daemon_name{std::to_string(n)},
                                         data_centre_name{"a"}}});
        leader current_leader(state, {}, at(0));
        current_leader.tick(at(1));
        auto const before = current_leader.rows_visited();
        for (int ms = 2; ms != 102; ++ms)
        {
            current_leader.receive(lease_renewal{daemon_name{"1"},
                                                 data_centre_name{"a"},
                                                 1,
                                                 at(ms),
                                                 state.revision(),
                                                 {}});
            current_leader.tick(at(ms));
        }
        return current_leader.rows_visited() - before;
    };
    CHECK(visits(10) == visits(5'000));
}

} // namespace basilreach::control::test
