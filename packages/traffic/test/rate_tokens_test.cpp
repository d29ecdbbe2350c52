// Rate tokens of the workspaces, as a traffic thread requests them.
#include <basilreach/traffic/engine.hpp>

#include <doctest/doctest.h>

using namespace basilreach;
using namespace basilreach::traffic;
using namespace std::chrono_literals;

namespace
{

control_view make_view()
{
    control_view view;
    view.revision = 1;
    rules::route_rule route;
    route.group = group_name("g");
    view.routes.emplace(route_name("r"), route);
    view.keys.emplace(key_digest{1}, workspace_name("w"));
    view.workspaces.insert(workspace_name("w"));
    view.servers.emplace(server_name("s"),
                         server_view{group_name("g"), data_centre_name("a"),
                                     "127.0.0.1:1", false, false});
    view.groups.emplace(group_name("g"), group_view{1, server_name("s"), 3});
    return view;
}

struct fixture
{
    fixture()
    {
        it.push(control_changed{std::make_shared<control_view>(make_view())});
        it.push(lease_changed{instant{10s}});
        open_session(1);
        run();
    }

    void open_session(std::uint64_t id)
    {
        session_opened event;
        event.session = session_id{id};
        event.route = route_name("r");
        event.workspace = workspace_name("w");
        event.key = key_digest{1};
        it.push(event);
    }

    static engine_settings make_settings()
    {
        engine_settings settings;
        settings.holder = daemon_name("thread-0");
        return settings;
    }

    void run()
    {
        for (auto const& a : it.tick(now))
            if (auto const* request = std::get_if<limits::token_request>(&a))
                last_request = *request;
    }

    void grant(std::int64_t tokens)
    {
        limits::token_grant grant;
        grant.workspace = workspace_name("w");
        grant.holder = daemon_name("thread-0");
        grant.incarnation = last_request->incarnation;
        grant.id = {1, ++last_grant_id};
        grant.tokens = tokens;
        grant.lifetime = 5s;
        grant.echo = now;
        grant.sent = now;
        it.push(grant);
        run();
    }

    engine it{make_settings()};
    instant now{1s};
    std::optional<limits::token_request> last_request;
    std::uint64_t last_grant_id = 0;
};

} // namespace

// Guards against a host that keeps requesting rate tokens for statements that
// have already run, and so collects tokens that other hosts need.
TEST_CASE("a statement that received its rate token no longer waits for one")
{
    fixture f;
    f.it.push(statement_received{session_id{1}, statement_verb::other});
    f.run();
    f.now += 25ms;
    f.run();
    REQUIRE(f.last_request.has_value());
    CHECK(f.last_request->waiting == 1);
    f.grant(1);
    for (int n = 0; n != 20; ++n)
    {
        f.now += 50ms;
        f.run();
    }
    CHECK(f.last_request->waiting == 0);
}

// Guards against an untrue refusal: without contact to the leader no tokens
// come, although the rate is not used up.
TEST_CASE("a statement that gets no token without a lease is not over its rate")
{
    auto const refusal_of_waiting_statement =
        [](instant lease_end, bool is_used_up)
    {
        auto settings = fixture::make_settings();
        settings.serves_without_lease = true;
        engine it(settings);
        it.push(control_changed{std::make_shared<control_view>(make_view())});
        it.push(lease_changed{lease_end});
        session_opened session;
        session.session = session_id{1};
        session.route = route_name("r");
        session.workspace = workspace_name("w");
        session.key = key_digest{1};
        it.push(session);
        it.push(statement_received{session_id{1}, statement_verb::other});
        (void)it.tick(instant{1s});
        limits::token_grant grant;
        grant.workspace = workspace_name("w");
        grant.holder = daemon_name("thread-0");
        grant.incarnation = 1;
        grant.id = {1, 1};
        grant.is_used_up = is_used_up;
        auto const end = instant{1s} + settings.token_wait;
        it.push(grant);
        (void)it.tick(end - 10ms);
        for (auto const& action : it.tick(end))
            if (auto const* refusal = std::get_if<refuse>(&action))
                return std::optional(refusal->reason);
        return std::optional<refusal_reason>();
    };
    CHECK(refusal_of_waiting_statement(instant{10s}, true) ==
          refusal_reason::rate_exceeded);
    CHECK(refusal_of_waiting_statement(instant{}, true) ==
          refusal_reason::no_lease);
    // The leader recovers, or its grant is late.
    CHECK(refusal_of_waiting_statement(instant{10s}, false) ==
          refusal_reason::no_lease);
}

TEST_CASE("a statement whose session has ended waits for no rate token")
{
    fixture f;
    f.it.push(statement_received{session_id{1}, statement_verb::other});
    f.run();
    f.now += 25ms;
    f.run();
    CHECK(f.last_request->waiting == 1);
    f.it.push(session_closed{session_id{1}});
    for (int n = 0; n != 20; ++n)
    {
        f.now += 50ms;
        f.run();
    }
    CHECK(f.last_request->waiting == 0);
}

// Guards against statements for a silent primary that use up the rate of
// statements that could run.
TEST_CASE("a statement that is refused at once consumes no rate token")
{
    fixture f;
    auto view = make_view();
    view.revision = 2;
    view.routes.at(route_name("r")).timeout = 800ms;
    view.groups.at(group_name("g")).checked_by = rules::position_check::server;
    f.it.push(control_changed{std::make_shared<control_view>(view)});
    for (std::uint64_t id = 2; id != 6; ++id)
        f.open_session(id);
    f.run();
    f.grant(1);
    std::size_t silent = 0;
    auto const send = [&](std::uint64_t id)
    {
        f.it.push(statement_received{session_id{id}, statement_verb::write});
        for (auto const& a : f.it.tick(f.now))
            if (auto const* it = std::get_if<refuse>(&a))
                silent += it->reason == refusal_reason::server_silent ? 1 : 0;
    };
    // The connection that is opened for this statement never becomes ready.
    send(1);
    f.now += 1800ms;
    f.run();
    f.grant(2);
    // One statement is sent to the primary as a trial; the others are refused.
    send(3);
    CHECK(silent == 0);
    for (int n = 0; n != 5; ++n)
        send(2);
    CHECK(silent == 5);
}

// Guards against a statement that waits for a token although its daemon has a
// reserve: the thread had returned its own to the daemon after a second.
TEST_CASE("a thread keeps a token of a workspace that was used lately")
{
    fixture f;
    f.it.push(statement_received{session_id{1}, statement_verb::other});
    f.run();
    f.now += 25ms;
    f.run();
    f.grant(1);
    f.now += 100ms;
    f.run();
    REQUIRE(f.last_request.has_value());
    CHECK(f.last_request->reserve == 1);
    f.grant(1);
    for (int n = 0; n != 60; ++n)
    {
        f.now += 50ms;
        f.run();
    }
    CHECK(f.last_request->returned == 0);
    CHECK(f.last_request->left == 1);
}
