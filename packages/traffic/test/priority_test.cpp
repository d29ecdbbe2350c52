// Order and refusal of statements by priority class.
#include <basilreach/traffic/engine.hpp>

#include <doctest/doctest.h>

#include <set>
#include <vector>

using namespace basilreach;
using namespace basilreach::traffic;
using namespace std::chrono_literals;

namespace
{

// Route r0 has class 0, r1 none, r2 class 2; all run at the primary.
control_view make_view(bool has_priorities)
{
    control_view view;
    view.revision = 1;
    rules::route_rule route;
    route.group = group_name("g");
    route.timeout = 600ms;
    route.reads = rules::read_guarantee::latest;
    route.open = workspace_name("w");
    for (auto const* name : {"r0", "r1", "r2"})
        view.routes.emplace(route_name(name), route);
    view.routes.at(route_name("r2")).timeout = 3s;
    view.routes.at(route_name("r0")).priority = rules::priority{0};
    view.routes.at(route_name("r2")).priority = rules::priority{2};
    view.has_priorities = has_priorities;
    view.servers.emplace(server_name("s"),
                         server_view{group_name("g"), data_centre_name("a"),
                                     "127.0.0.1:1", false, false});
    group_view group{1, server_name("s"), 3};
    group.checked_by = rules::position_check::server;
    view.groups.emplace(group_name("g"), group);
    return view;
}

struct fixture
{
    explicit fixture(bool has_priorities = true)
        : view(make_view(has_priorities))
    {
        engine_settings settings;
        settings.limits_enabled = false;
        settings.serves_without_lease = true;
        settings.initial_connections = 1;
        it.emplace(settings);
        adopt();
    }

    void adopt()
    {
        ++view.revision;
        it->push(control_changed{std::make_shared<control_view>(view)});
        run();
    }

    void set_primary(std::optional<server_name> primary)
    {
        view.groups.at(group_name("g")).primary = std::move(primary);
        adopt();
    }

    void run()
    {
        refused.clear();
        for (bool again = true; std::exchange(again, false);)
            for (auto const& a : it->tick(now))
                if (auto const* open = std::get_if<open_connection>(&a))
                {
                    it->push(connection_opened{open->connection});
                    again = true;
                }
                else if (auto const* send = std::get_if<send_statement>(&a))
                    sent.push_back(*send);
                else if (auto const* reply = std::get_if<refuse>(&a))
                    refused.push_back(*reply);
    }

    // Issues a write in a new session.
    void issue(std::uint64_t id, char const* route)
    {
        session_opened event;
        event.session = session_id{id};
        event.route = route_name(route);
        event.workspace = workspace_name("w");
        it->push(event);
        it->push(statement_received{session_id{id}, statement_verb::write});
        run();
    }

    // Answers the statement that was sent last.
    void answer()
    {
        answer_received event{sent.back().connection, false,
                              transaction_status::idle,
                              log_position{1, ++position}};
        event.is_from_primary = true;
        it->push(event);
        run();
    }

    std::vector<std::uint64_t> order() const
    {
        std::vector<std::uint64_t> out;
        for (auto const& a : sent)
            out.push_back(static_cast<std::uint64_t>(a.session));
        return out;
    }

    // Takes the primary away for a while.
    void change_primary(duration time)
    {
        set_primary(std::nullopt);
        now += time;
        set_primary(server_name("s"));
    }

    control_view view;
    instant now{1h};
    std::optional<engine> it;
    std::vector<send_statement> sent;
    std::vector<refuse> refused;
    std::uint64_t position = 0;
};

} // namespace

// Guards against payments that wait behind cheap reads, and against another
// order where no rule states a priority.
TEST_CASE("statements that wait for a server run in the order of their class")
{
    for (bool const has_priorities : {true, false})
    {
        CAPTURE(has_priorities);
        fixture f(has_priorities);
        f.issue(1, "r1");
        f.issue(2, "r2");
        f.issue(3, "r1");
        f.issue(4, "r0");
        for (int n = 0; n != 4; ++n)
            f.answer();
        CHECK(f.order() == (has_priorities
                                ? std::vector<std::uint64_t>{1, 4, 3, 2}
                                : std::vector<std::uint64_t>{1, 2, 3, 4}));
    }
}

// Guards against clients that wait until their deadline for a primary that
// cannot be there in time.
TEST_CASE("a statement that cannot outlast a change of primary is refused")
{
    for (bool const has_priorities : {true, false})
    {
        CAPTURE(has_priorities);
        fixture f(has_priorities);
        // Nothing is known of the duration of a change yet.
        f.set_primary(std::nullopt);
        f.issue(1, "r0");
        CHECK(f.refused.empty());
        f.now += 700ms;
        f.set_primary(server_name("s"));
        f.now += 10s;
        f.set_primary(std::nullopt);
        f.now += 50ms;
        f.issue(2, "r0");
        REQUIRE(f.refused.size() == (has_priorities ? 1 : 0));
        if (has_priorities)
        {
            CHECK(f.refused[0].outcome == refusal_outcome::not_run);
            CHECK(f.refused[0].reason == refusal_reason::no_primary);
            CHECK(f.refused[0].retry_after >= 650ms);
            CHECK(f.refused[0].retry_after < 1300ms);
        }
        // These deadlines are late enough.
        f.issue(3, "r2");
        CHECK(f.refused.empty());
        f.now += 100ms;
        f.issue(4, "r1");
        CHECK(f.refused.empty());
        f.now += 500ms;
        f.set_primary(server_name("s"));
        f.answer();
        f.answer();
        CHECK(f.order().back() == (has_priorities ? 3 : 4));
    }
}

// Guards against statements of a low class that take the place of others while
// a group has no primary.
TEST_CASE("statements that wait for a primary are sent by class")
{
    fixture f;
    f.set_primary(std::nullopt);
    f.issue(1, "r2");
    f.issue(2, "r1");
    f.issue(3, "r0");
    f.now += 100ms;
    f.set_primary(server_name("s"));
    f.answer();
    f.answer();
    CHECK(f.order() == std::vector<std::uint64_t>{3, 2, 1});
}

// Guards against clients that are refused together and return together.
TEST_CASE("clients that are refused together are told different times")
{
    fixture f;
    f.change_primary(700ms);
    f.now += 10s;
    f.set_primary(std::nullopt);
    std::set<duration> times;
    for (std::uint64_t id = 10; id != 30; ++id)
    {
        f.issue(id, "r0");
        REQUIRE(f.refused.size() == 1);
        times.insert(f.refused[0].retry_after);
    }
    CHECK(times.size() == 20);
    CHECK(*times.rbegin() - *times.begin() > 350ms);
}
