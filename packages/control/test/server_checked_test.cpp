// Tests of server-checked groups: their servers check terms and report
// themselves.
#include <doctest/doctest.h>

#include <basilreach/control/leader.hpp>
#include <basilreach/control/server_monitor.hpp>

using namespace std::chrono_literals;

namespace basilreach::control::test
{

namespace
{

result<rules::rule_set, rules_errors> parse(std::string_view text)
{
    if (text == "bad")
        return rules_errors{{"1:1"}};
    rules::rule_set out;
    rules::server_limit_rule limit;
    limit.checked_by = rules::position_check::server;
    limit.sync_replicas = text == "synchronous" ? 1 : 0;
    out.server_limits.emplace(group_name{"g"}, limit);
    return out;
}

server_report report_of(char const* server,
                        server_role role,
                        std::uint64_t sequence,
                        std::uint64_t incarnation = 1)
{
    return {server_name{server},
            group_name{"g"},
            data_centre_name{"a"},
            "127.0.0.1:1",
            incarnation,
            sequence,
            role,
            false};
}

struct fixture
{
    explicit fixture(char const* rules = "{}")
    {
        apply(offer_rules{3, rules});
        report("s1", server_role::primary);
        report("s2", server_role::replica);
        report("s3", server_role::replica);
    }

    command_answer apply(command_body body)
    {
        command const it{{}, "test", std::move(body)};
        auto answer = state.apply(++index, it);
        if (leader)
            leader->receive(committed{index, it, answer});
        return answer;
    }

    // Passes a report to the monitor and commits the resulting command, as the
    // control leader does.
    void report(char const* server, server_role role, bool is_leaving = false)
    {
        auto message = report_of(server, role, ++sequence);
        message.is_leaving = is_leaving;
        if (auto it = monitor.receive(message, now))
            apply(std::move(*it));
    }

    // The daemon has adopted this revision.
    void confirm(char const* daemon, std::uint64_t revision)
    {
        leader->receive(lease_renewal{
            daemon_name{daemon}, data_centre_name{"a"}, 1, now, revision, {}});
        run();
    }

    group_entry const& group() const
    {
        return *state.find(group_name{"g"});
    }

    // Runs the leader until it proposes nothing more at the current time.
    void run()
    {
        if (!leader)
            leader = std::make_unique<control::leader>(state, leader_settings{},
                                                       now);
        for (bool again = true; std::exchange(again, false);)
            for (auto const& it : leader->tick(now))
            {
                if (auto const* change = std::get_if<propose>(&it))
                {
                    apply(change->entry.body);
                    again = true;
                }
                if (auto const* order = std::get_if<promote>(&it))
                    promoted.push_back(*order);
                if (auto const* query = std::get_if<query_positions>(&it))
                    for (auto const& server : query->servers)
                        if (auto const at = positions.find(server);
                            at != positions.end())
                        {
                            leader->receive(position_reported{
                                server, query->round, 5, at->second});
                            again = true;
                        }
            }
    }

    control_state state{parse};
    server_monitor monitor{state, {}, instant{}};
    std::unique_ptr<control::leader> leader;
    std::map<server_name, std::uint64_t> positions;
    std::vector<promote> promoted;
    std::uint64_t index = 0;
    std::uint64_t sequence = 0;
    instant now{1s};
};

} // namespace

// Guards against a version that replaces a higher or an equal one, and against
// a version that is sent again and answered as refused instead of superseded.
TEST_CASE("the highest version of the rules wins")
{
    control_state state(parse);
    CHECK(state.apply(1, {{}, "", offer_rules{7, "seven"}}) ==
          command_answer{accepted{1, 7}});
    CHECK(state.apply(2, {{}, "", offer_rules{5, "five"}}) ==
          command_answer{superseded{7}});
    CHECK(state.apply(3, {{}, "", offer_rules{7, "other"}}) ==
          command_answer{superseded{7}});
    CHECK(state.parts().rules_text == "seven");
    // An invalid text is refused also when its version is old.
    for (std::uint64_t n = 0; n != 2; ++n)
        CHECK(std::holds_alternative<refused>(
            state.apply(4 + n, {{}, "", offer_rules{4 + 10 * n, "bad"}})));
    CHECK(state.parts().rules_version == 7);
    auto const restored = control_state::restore(state.parts(), parse);
    REQUIRE(restored);
    CHECK(restored.value() == state);
}

// Guards against a log entry for each report.
TEST_CASE("a report without a change is not committed")
{
    fixture f;
    auto const before = f.index;
    f.report("s1", server_role::primary);
    f.report("s2", server_role::replica);
    CHECK(f.index == before);
    CHECK(f.group().primary == server_name{"s1"});
}

// Guards against a late report of an earlier incarnation.
TEST_CASE("a late report changes nothing")
{
    fixture f;
    CHECK(
        f.monitor.receive(report_of("s2", server_role::replica, 1, 2), f.now));
    f.apply(
        *f.monitor.receive(report_of("s2", server_role::replica, 2, 2), f.now));
    CHECK_FALSE(f.monitor.receive(report_of("s2", server_role::primary, 900, 1),
                                  f.now));
    CHECK_FALSE(
        f.monitor.receive(report_of("s2", server_role::primary, 1, 2), f.now));
    // Nor on a host that knows the server from the log only.
    server_monitor other(f.state, {}, f.now);
    CHECK_FALSE(
        other.receive(report_of("s2", server_role::primary, 900, 1), f.now));
}

// Guards against an unresponsive primary that keeps its role, and against a
// server that stays down after it reports again.
TEST_CASE("a server without reports is considered down until it reports")
{
    fixture f;
    f.now += 2999ms;
    CHECK(f.monitor.tick(f.now).empty());
    f.report("s2", server_role::replica);
    f.now += 1ms;
    auto const verdicts = f.monitor.tick(f.now);
    REQUIRE(verdicts.size() == 2);
    for (auto const& it : verdicts)
        f.apply(it);
    CHECK(f.state.find(server_name{"s1"})->health == verdict::down);
    CHECK(f.state.find(server_name{"s2"})->health == verdict::none);
    f.report("s1", server_role::primary);
    CHECK(f.state.find(server_name{"s1"})->health == verdict::up);
}

// Guards against a promotion that waits for leases although the servers check
// terms, and against a candidate that lacks writes of another replica.
TEST_CASE("the replica with the highest position replaces a down primary")
{
    fixture f;
    f.positions = {{server_name{"s2"}, 40}, {server_name{"s3"}, 41}};
    f.run();
    CHECK(f.promoted.empty());
    f.apply(report_verdict{server_name{"s1"}, 1, verdict::down});
    f.run();
    REQUIRE(f.promoted.size() == 1);
    CHECK(f.promoted[0].server == server_name{"s3"});
    // Higher than every term that a server has reported.
    CHECK(f.promoted[0].term == 6);
    CHECK(f.group().phase == group_phase::choosing);
    f.leader->receive(
        promotion_answered{server_name{"s3"}, f.promoted[0].term, true});
    f.run();
    // The order was accepted. The server becomes primary when it reports so.
    CHECK(f.group().phase == group_phase::choosing);
    CHECK(f.promoted.size() == 1);
    f.report("s3", server_role::primary);
    CHECK(f.group().phase == group_phase::serving);
    CHECK(f.group().primary == server_name{"s3"});
    f.report("s1", server_role::replica);
    CHECK(f.group().primary == server_name{"s3"});
}

// Guards against a second order with the term of an earlier one, which may
// still be carried out later.
TEST_CASE("each new order for a group has a higher term")
{
    fixture f;
    f.positions = {{server_name{"s2"}, 40}, {server_name{"s3"}, 41}};
    f.apply(report_verdict{server_name{"s1"}, 1, verdict::down});
    f.run();
    f.leader->receive(
        promotion_answered{server_name{"s3"}, f.promoted[0].term, false});
    f.run();
    REQUIRE(f.promoted.size() == 2);
    CHECK(f.promoted[1].term > f.promoted[0].term);
}

// Guards against acknowledged commits that the promoted server lacks: the
// candidate was chosen by positions that were reported while the primary still
// acknowledged commits.
TEST_CASE("a group with synchronous replicas is fenced before the choice")
{
    fixture f("synchronous");
    f.apply(register_daemon{daemon_name{"d"}, data_centre_name{"a"}});
    f.run();
    auto const before = f.index;
    f.confirm("d", before);
    f.positions = {{server_name{"s1"}, 41},
                   {server_name{"s2"}, 41},
                   {server_name{"s3"}, 40}};
    f.report("s1", server_role::primary, true);
    f.run();
    CHECK(f.group().phase == group_phase::fencing);
    CHECK(f.promoted.empty());
    // s2 received nothing more, and the daemon acknowledged a commit that s3
    // has.
    f.positions[server_name{"s1"}] = 45;
    f.positions[server_name{"s3"}] = 45;
    f.confirm("d", f.index);
    REQUIRE(f.promoted.size() == 1);
    CHECK(f.promoted[0].server == server_name{"s3"});
}

// Guards against a choice that a server without an answer could contradict: the
// lost primary and that server may be the only ones with an acknowledged
// commit.
TEST_CASE("with synchronous replicas, enough replicas must answer")
{
    fixture f("synchronous");
    f.report("s4", server_role::replica);
    f.report("s5", server_role::replica);
    f.positions = {{server_name{"s2"}, 41},
                   {server_name{"s3"}, 40},
                   {server_name{"s4"}, 40}};
    f.apply(report_verdict{server_name{"s1"}, 1, verdict::down});
    f.run();
    f.now += 1s;
    f.run();
    // The primary has not been fenced, because no candidate would be found.
    CHECK(f.group().phase == group_phase::serving);
    f.positions[server_name{"s5"}] = 42;
    f.now += 1s;
    f.run();
    REQUIRE(f.promoted.size() == 1);
    CHECK(f.promoted[0].server == server_name{"s5"});
}

// Guards against a fenced group whose primary has come back: it has the highest
// position, and never reports a change of its role.
TEST_CASE("a fenced group keeps a primary that is back")
{
    fixture f("synchronous");
    f.apply(register_daemon{daemon_name{"d"}, data_centre_name{"a"}});
    f.run();
    f.confirm("d", f.index);
    f.positions = {{server_name{"s2"}, 41}, {server_name{"s3"}, 41}};
    f.apply(report_verdict{server_name{"s1"}, 1, verdict::down});
    f.run();
    REQUIRE(f.group().phase == group_phase::fencing);
    f.positions = {{server_name{"s1"}, 45}, {server_name{"s2"}, 41}};
    f.report("s1", server_role::primary);
    f.confirm("d", f.index);
    CHECK(f.promoted.empty());
    CHECK(f.group().phase == group_phase::serving);
    CHECK(f.group().primary == server_name{"s1"});
}

// Guards against two control hosts that send promotion orders with the same
// term.
TEST_CASE("a new leader repeats no order of the earlier leader")
{
    fixture f;
    f.positions = {{server_name{"s2"}, 40}, {server_name{"s3"}, 41}};
    f.apply(report_verdict{server_name{"s1"}, 1, verdict::down});
    f.run();
    REQUIRE(f.promoted.size() == 1);
    f.leader.reset();
    f.run();
    REQUIRE(f.promoted.size() == 2);
    CHECK(f.promoted[1].term > f.promoted[0].term);
    // Its own order is sent again with the same term.
    f.now += 300ms;
    f.run();
    REQUIRE(f.promoted.size() == 3);
    CHECK(f.promoted[2].term == f.promoted[1].term);
}

// Guards against a group that stays without a primary after the primary was
// removed.
TEST_CASE("a removed primary is replaced")
{
    fixture f;
    f.positions = {{server_name{"s2"}, 40}, {server_name{"s3"}, 41}};
    f.run();
    auto const removal = f.monitor.remove(server_name{"s1"});
    REQUIRE(removal.has_value());
    f.apply(*removal);
    CHECK_FALSE(f.monitor.remove(server_name{"s1"}).has_value());
    f.run();
    REQUIRE(f.promoted.size() == 1);
    CHECK(f.promoted[0].server == server_name{"s3"});
}

// Guards against clients that wait three seconds for the verdict on a primary
// that no daemon can reach.
TEST_CASE("a server unreachable from most daemons is down sooner")
{
    fixture f;
    for (auto const* daemon : {"d1", "d2", "d3"})
        f.apply(register_daemon{daemon_name{daemon}, data_centre_name{"a"}});
    server_monitor monitor(f.state, {}, f.now);
    auto const reports = [&](std::initializer_list<char const*> daemons)
    {
        for (auto const* it : daemons)
            monitor.receive(
                reach_report{daemon_name{it}, server_name{"s1"}, false}, f.now);
    };
    f.now += 1500ms;
    reports({"d1", "d2"});
    CHECK(monitor.tick(f.now).empty());
    f.now += 200ms;
    auto const verdicts = monitor.tick(f.now);
    REQUIRE(verdicts.size() == 1);
    auto const* it = std::get_if<report_verdict>(&verdicts.front());
    REQUIRE(it != nullptr);
    CHECK(it->server == server_name{"s1"});
    CHECK(it->value == verdict::down);
}

// Guards against an early verdict on a server that is slow, is unreachable from
// only a few daemons or is reachable again.
TEST_CASE("reach reports of few daemons or of long ago cause no verdict")
{
    fixture f;
    for (auto const* daemon : {"d1", "d2", "d3", "d4"})
        f.apply(register_daemon{daemon_name{daemon}, data_centre_name{"a"}});
    server_monitor monitor(f.state, {}, f.now);
    auto const report = [&](char const* daemon, bool is_reachable)
    {
        monitor.receive(
            reach_report{daemon_name{daemon}, server_name{"s1"}, is_reachable},
            f.now);
    };
    report("d1", false);
    report("d2", false);
    report("d3", false);
    // A repeated report need not be logged again.
    reach_report const repeated{daemon_name{"d1"}, server_name{"s1"}, false};
    CHECK_FALSE(monitor.receive(repeated, f.now));
    f.now += 1800ms;
    CHECK(monitor.tick(f.now).empty());
    report("d1", false);
    report("d2", false);
    report("d3", false);
    report("d3", true);
    report("unknown", false);
    CHECK(monitor.tick(f.now).empty());
    f.now += 1300ms;
    CHECK_FALSE(monitor.tick(f.now).empty());
}

} // namespace basilreach::control::test
