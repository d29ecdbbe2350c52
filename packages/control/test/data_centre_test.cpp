// Tests of data centres out of service: the command, and the replacement of the
// primaries there.
#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>

#include <basilreach/control/leader.hpp>

using namespace std::chrono_literals;

namespace basilreach::control::test
{

namespace
{

constexpr std::uint64_t group_count = 6;

data_centre_name const stopped{"a"};

result<rules::rule_set, rules_errors> parse(std::string_view /*text*/)
{
    rules::rule_set out;
    for (std::uint64_t n = 1; n <= group_count; ++n)
    {
        rules::server_limit_rule limit;
        limit.checked_by = rules::position_check::server;
        out.server_limits.emplace(group_name{"g" + std::to_string(n)}, limit);
    }
    return out;
}

command_body service(bool in_service)
{
    return set_data_centre_service{stopped, in_service};
}

// Server-checked groups with a server in each of the data centres a, b and c.
// The primaries are in a.
struct fixture
{
    fixture()
    {
        apply(offer_rules{1, "rules"});
        for (std::uint64_t n = 1; n <= group_count; ++n)
            for (char const* data_centre : {"a", "b", "c"})
                report(server_in(n, data_centre),
                       data_centre == std::string("a") ? server_role::primary
                                                       : server_role::replica);
        run();
    }

    static server_name server_in(std::uint64_t group,
                                 std::string const& data_centre)
    {
        return server_name{"g" + std::to_string(group) + data_centre};
    }

    command_answer apply(command_body body)
    {
        command const it{{}, "test", std::move(body)};
        auto answer = state.apply(state.revision() + 1, it);
        if (current_leader)
            current_leader->receive(committed{state.revision(), it, answer});
        return answer;
    }

    void report(server_name const& server, server_role role)
    {
        auto const& text = server.str();
        apply(announce_server{server, group_name{text.substr(0, 2)},
                              data_centre_name{text.substr(2)}, "127.0.0.1:1",
                              ++sequence, 1, role});
    }

    void restart_leader()
    {
        current_leader.emplace(state, settings, now);
    }

    // Runs the leader until it proposes nothing more at the current time. Each
    // proposal is lost with the given probability in percent.
    void run(unsigned lost = 0)
    {
        if (!current_leader)
            restart_leader();
        do
            for (auto const& it : current_leader->tick(now))
                handle(it, lost);
        while (current_leader->next_deadline() <= now);
    }

    void handle(leader_output const& it, unsigned lost)
    {
        if (auto const* change = std::get_if<propose>(&it))
        {
            if (random() % 100 >= lost)
                apply(change->entry.body);
        }
        else if (auto const* order = std::get_if<promote>(&it))
            orders.push_back(*order);
        else if (auto const* query = std::get_if<query_positions>(&it))
            for (auto const& server : query->servers)
                current_leader->receive(
                    position_reported{server, query->round, 5, 40});
        else if (auto const* decision = std::get_if<promotion_decision>(&it))
            decisions.push_back(*decision);
    }

    // The servers carry out their orders, and the former primaries become
    // replicas.
    void complete_promotions()
    {
        for (auto const& it : std::exchange(orders, {}))
        {
            auto const& group = *state.find(it.group);
            if (group.phase != group_phase::choosing || group.term != it.term)
                continue;
            for (auto const& server : state.servers_of(it.group))
                if (state.find(server)->role == server_role::primary)
                    report(server, server_role::replica);
            report(it.server, server_role::primary);
        }
    }

    void advance(duration by, unsigned lost = 0)
    {
        for (auto const end = now + by; now < end; now += 50ms)
            run(lost);
    }

    [[nodiscard]] std::size_t changing() const
    {
        std::size_t n = 0;
        for (auto const& [name, it] : state.parts().groups)
            n += it.phase != group_phase::serving ? 1 : 0;
        return n;
    }

    [[nodiscard]] std::size_t primaries_in(std::string const& where) const
    {
        std::size_t n = 0;
        for (auto const& [name, it] : state.parts().groups)
            if (it.phase == group_phase::serving && it.primary &&
                state.find(*it.primary)->data_centre == data_centre_name{where})
                ++n;
        return n;
    }

    control_state state{parse};
    leader_settings settings;
    std::optional<leader> current_leader;
    std::vector<promote> orders;
    std::vector<promotion_decision> decisions;
    std::mt19937_64 random{7};
    std::uint64_t sequence = 0;
    instant now{1h};
};

} // namespace

// Guards against a repeated command with another answer, and against one that
// depends on which servers have reported.
TEST_CASE("each command on the service of a data centre is accepted")
{
    control_state state(parse);
    std::uint64_t index = 0;
    auto const set = [&](bool in_service)
    {
        auto const answer =
            state.apply(++index, {{}, "call", service(in_service)});
        CHECK(std::holds_alternative<accepted>(answer));
    };
    // An end without a start leaves no row.
    set(true);
    CHECK(state.parts().data_centres.empty());
    for (bool const in_service : {false, false, true, true, false})
    {
        set(in_service);
        CHECK(state.is_in_service(stopped) == in_service);
        CHECK(state.count_out_of_service() == (in_service ? 0 : 1));
    }
    CHECK(state.is_in_service(data_centre_name{"b"}));
}

// Guards against an order that is lost when all control hosts restart, or that
// a daemon gets only with a snapshot.
TEST_CASE("the service of a data centre is restored and distributed")
{
    fixture f;
    control_state daemon(parse);
    REQUIRE(daemon.merge(f.state.changes_after(0, 0, {})));
    for (bool const in_service : {false, true, false})
    {
        auto const before = f.state.digest();
        f.apply(service(in_service));
        CHECK(f.state.digest() != before);
        auto const restored = control_state::restore(f.state.parts(), parse);
        REQUIRE(restored);
        CHECK(restored.value() == f.state);
        CHECK(restored.value().digest() == f.state.digest());
        CHECK(restored.value().changes_after(0, 0, {}).data_centres.contains(
            stopped));
        auto const update =
            f.state.changes_after(daemon.revision(), 1, "rules");
        CHECK(update.servers.empty());
        REQUIRE(daemon.merge(update));
        CHECK(daemon.is_in_service(stopped) == in_service);
    }
}

// Guards against a server that escapes the order because it was unknown when
// the order was given.
TEST_CASE("a server that appears in a stopped data centre gets no work")
{
    fixture f;
    f.apply(service(false));
    f.apply(announce_server{server_name{"new"}, group_name{"g1"}, stopped,
                            "127.0.0.1:1", 1, 1, server_role::replica});
    auto const& server = *f.state.find(server_name{"new"});
    CHECK(f.state.is_leaving(server));
    CHECK_FALSE(f.state.is_eligible_primary(server));
    f.apply(service(true));
    CHECK_FALSE(f.state.is_leaving(server));
}

// Guards against groups that all lose their primaries at once, and against a
// primary that stays in the stopped data centre.
TEST_CASE("primaries of a stopped data centre are replaced two at a time")
{
    for (std::size_t const groups_per_tick : {std::size_t{512}, std::size_t{2}})
    {
        fixture f;
        f.settings.groups_per_tick = groups_per_tick;
        f.restart_leader();
        f.apply(service(false));
        for (std::size_t replaced = 2; replaced <= group_count; replaced += 2)
        {
            f.advance(200ms);
            CHECK(f.changing() == 2);
            f.complete_promotions();
            f.run();
            CHECK(f.primaries_in("b") + f.primaries_in("c") == replaced);
        }
        CHECK(f.changing() == 0);
        CHECK(f.primaries_in("a") == 0);
        // Nothing is changed back when the data centre returns.
        f.apply(service(true));
        f.advance(1s);
        CHECK(f.changing() == 0);
    }
}

// Guards against a candidate that never answers and stops the changes of all
// other groups.
TEST_CASE("a planned change that takes too long does not stop others")
{
    fixture f;
    f.apply(service(false));
    f.advance(200ms);
    f.orders.clear();
    f.advance(f.settings.planned_change_timeout);
    CHECK(f.changing() == 4);
}

// Guards against a group that loses its primary although it waits for its turn
// and the data centre is back in service.
TEST_CASE("groups that wait for their turn keep their primary at an end")
{
    fixture f;
    f.apply(service(false));
    f.run();
    CHECK(f.changing() == 2);
    f.apply(service(true));
    f.run();
    f.complete_promotions();
    f.advance(3s);
    CHECK(f.changing() == 0);
    CHECK(f.primaries_in("a") == group_count - 2);
}

// Guards against two primaries: the candidate may have carried out its order
// before the data centre was stopped.
TEST_CASE("a promotion in progress is completed and another one follows")
{
    fixture f;
    // The only candidate is in the data centre that is stopped later.
    f.report(fixture::server_in(1, "b"), server_role::primary);
    f.report(fixture::server_in(1, "a"), server_role::replica);
    f.apply(announce_leaving{fixture::server_in(1, "c"), ++f.sequence, 1});
    f.apply(report_verdict{fixture::server_in(1, "b"), 1, verdict::down});
    f.run();
    auto const& group = *f.state.find(group_name{"g1"});
    REQUIRE(group.phase == group_phase::choosing);
    REQUIRE(group.primary == fixture::server_in(1, "a"));
    auto const term = group.term;
    f.apply(service(false));
    f.report(fixture::server_in(1, "c"), server_role::replica);
    f.run();
    CHECK(group.term == term);
    CHECK(group.primary == fixture::server_in(1, "a"));
    f.complete_promotions();
    for (int n = 0; n != 8; ++n)
    {
        f.advance(500ms);
        f.complete_promotions();
    }
    CHECK(f.primaries_in("a") == 0);
    CHECK(group.primary == fixture::server_in(1, "c"));
}

// Guards against a primary that is fenced although no server can replace it,
// and against statements that wait for a primary that cannot come.
TEST_CASE("a group without servers elsewhere is out of service")
{
    fixture f;
    group_name const group{"g1"};
    for (char const* data_centre : {"b", "c"})
        f.apply(report_verdict{fixture::server_in(1, data_centre), 1,
                               verdict::down});
    CHECK_FALSE(f.state.is_out_of_service(group));
    f.apply(service(false));
    f.advance(300ms);
    CHECK(f.state.is_out_of_service(group));
    CHECK_FALSE(f.state.is_out_of_service(group_name{"g2"}));
    CHECK(f.state.find(group)->phase == group_phase::serving);
    CHECK(f.state.find(group)->primary == fixture::server_in(1, "a"));
    // A replica elsewhere is back.
    f.apply(report_verdict{fixture::server_in(1, "b"), 2, verdict::up});
    CHECK_FALSE(f.state.is_out_of_service(group));
    for (int n = 0; n != 8; ++n)
    {
        f.advance(500ms);
        f.complete_promotions();
    }
    CHECK(f.state.find(group)->primary == fixture::server_in(1, "b"));
    // A server that is leaving on its own is no reason to refuse statements.
    f.apply(service(true));
    for (char const* data_centre : {"a", "b", "c"})
        f.apply(announce_leaving{fixture::server_in(1, data_centre), 1000, 1});
    CHECK_FALSE(f.state.is_out_of_service(group));
}

// Guards against failures at other moments than those above: the leader dies,
// proposals and orders are lost, the servers of a data centre become
// unreachable, and starts and ends follow each other quickly.
TEST_CASE("a stopped data centre loses its primaries in spite of failures")
{
    for (std::uint64_t seed = 1; seed != 61; ++seed)
    {
        CAPTURE(seed);
        fixture f;
        f.random.seed(seed);
        std::uint64_t verdicts = 0;
        auto const set_verdict = [&](char const* data_centre, verdict it)
        {
            ++verdicts;
            for (std::uint64_t n = 1; n <= group_count; ++n)
                f.apply(report_verdict{fixture::server_in(n, data_centre),
                                       verdicts, it});
        };
        for (int n = 0; n != 60; ++n)
        {
            switch (f.random() % 8)
            {
            case 0:
                f.restart_leader();
                break;
            case 1:
                f.apply(service(f.random() % 2 == 0));
                break;
            case 2:
                set_verdict(f.random() % 2 == 0 ? "a" : "b", verdict::down);
                break;
            case 3:
                set_verdict("a", verdict::up);
                set_verdict("b", verdict::up);
                break;
            case 4:
                f.orders.clear();
                break;
            default:
                f.complete_promotions();
            }
            f.advance(100ms, 50);
        }
        set_verdict("a", verdict::up);
        set_verdict("b", verdict::up);
        f.apply(service(false));
        for (int n = 0; n != 20; ++n)
        {
            f.advance(500ms);
            f.complete_promotions();
        }
        CHECK(f.primaries_in("a") == 0);
        CHECK(f.changing() == 0);
    }
}

} // namespace basilreach::control::test
