// Tokens of the workspaces' rates, as a traffic thread asks for them.
#include <basilreach/traffic/engine.hpp>

#include <doctest/doctest.h>

using namespace basilreach;
using namespace basilreach::traffic;
using namespace std::chrono_literals;

namespace
{

struct fixture
{
    fixture()
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
        view.groups.emplace(group_name("g"),
                            group_view{1, server_name("s"), 3});
        it.push(control_changed{std::make_shared<control_view>(view)});
        it.push(lease_changed{instant{10s}});
        session_opened event;
        event.session = session_id{1};
        event.route = route_name("r");
        event.workspace = workspace_name("w");
        event.key = key_digest{1};
        it.push(event);
        run();
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
                last = *request;
    }

    void grant(std::int64_t tokens)
    {
        limits::token_grant grant;
        grant.workspace = workspace_name("w");
        grant.holder = daemon_name("thread-0");
        grant.incarnation = last->incarnation;
        grant.id = {1, ++granted};
        grant.tokens = tokens;
        grant.lifetime = 5s;
        grant.echo = now;
        grant.sent = now;
        it.push(grant);
        run();
    }

    engine it{make_settings()};
    instant now{1s};
    std::optional<limits::token_request> last;
    std::uint64_t granted = 0;
};

} // namespace

// Guards against a host that keeps asking for tokens for statements that have
// run, gathers them and so starves the others.
TEST_CASE("a statement that got its token no longer waits for one")
{
    fixture f;
    f.it.push(statement_received{session_id{1}, statement_verb::other});
    f.run();
    f.now += 25ms;
    f.run();
    REQUIRE(f.last.has_value());
    CHECK(f.last->waiting == 1);
    f.grant(1);
    for (int n = 0; n != 20; ++n)
    {
        f.now += 50ms;
        f.run();
    }
    CHECK(f.last->waiting == 0);
}

TEST_CASE("a statement whose session has ended no longer waits for a token")
{
    fixture f;
    f.it.push(statement_received{session_id{1}, statement_verb::other});
    f.run();
    f.now += 25ms;
    f.run();
    CHECK(f.last->waiting == 1);
    f.it.push(session_closed{session_id{1}});
    for (int n = 0; n != 20; ++n)
    {
        f.now += 50ms;
        f.run();
    }
    CHECK(f.last->waiting == 0);
}
