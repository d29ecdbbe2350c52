#include <basilreach/daemon/update_feed.hpp>

#include <doctest/doctest.h>

#include <map>

#include <basilreach/daemon/view_builder.hpp>

using namespace basilreach;
using namespace basilreach::daemon;
using namespace std::chrono_literals;

namespace
{

constexpr link_id first_link = 1;
constexpr link_id second_link = 2;

server_name server_of(std::uint64_t index)
{
    return server_name("s" + std::to_string(index));
}

std::string rules_of(std::uint64_t version, std::size_t padding = 0)
{
    return "workspace w rate=" + std::to_string(version) +
           " burst=1  # asked by the test: " + std::string(padding, 'x') + "\n";
}

// A control host's state with its feed, and a daemon's copy of the state.
struct fixture
{
    void announce(std::uint64_t index)
    {
        apply(index, control::announce_server{server_of(index), group_name("g"),
                                              data_centre_name("a"),
                                              "127.0.0.1:1", 1});
    }

    void offer(std::uint64_t index, std::size_t padding = 0)
    {
        apply(index, control::offer_rules{index, rules_of(index, padding)});
    }

    void apply(std::uint64_t index, control::command_body const& it)
    {
        state.apply(index, {{}, "test", it});
        feed.record(state);
    }

    // The daemon asks for its next update over a link.
    void ask(link_id link = first_link)
    {
        feed.subscribe(link, {daemon_name("d"), copy.revision(),
                              copy.parts().rules_version, handled});
    }

    // Returns the update that is sent over the link, if there is one, after the
    // pause that follows earlier updates.
    std::optional<control::state_update> collect(link_id link = first_link)
    {
        now += 10ms;
        for (auto const& it : feed.collect_updates(state, now))
            if (it.links == std::vector{link})
                return it.update;
        return std::nullopt;
    }

    bool merge(control::state_update const& it)
    {
        ++handled;
        return copy.merge(it);
    }

    // Whether the copy has what a daemon needs of the state.
    [[nodiscard]] bool is_equal() const
    {
        return copy.revision() == state.revision() &&
               copy.parts().rules_text == state.parts().rules_text &&
               copy.parts().rules_version == state.parts().rules_version &&
               copy.parts().servers == state.parts().servers &&
               copy.parts().groups == state.parts().groups &&
               copy.parts().withdrawn == state.parts().withdrawn &&
               *copy.rules() == *state.rules();
    }

    control::control_state state{make_rules_parser()};
    update_feed feed;
    control::control_state copy{make_rules_parser()};
    std::uint64_t handled = 0;
    instant now;
};

} // namespace

// Guards against a subscriber that gets only the last of several changes and
// takes it for the whole state: after a restart of every host, daemons without
// the control role had a state without routes.
TEST_CASE("a subscriber gets every change that it lacks")
{
    fixture f;
    f.ask();
    CHECK(!f.collect());
    f.announce(1);
    f.offer(2);
    f.announce(4);
    auto const first = f.collect();
    REQUIRE(first);
    CHECK(first->after == 0);
    CHECK(first->servers.size() == 2);
    CHECK(f.merge(*first));
    CHECK(f.is_equal());
    f.ask();
    CHECK(!f.collect());
    f.announce(5);
    auto const second = f.collect();
    REQUIRE(second);
    CHECK(second->servers.size() == 1);
    CHECK(!second->rules);
    CHECK(f.merge(*second));
    CHECK(f.is_equal());
}

TEST_CASE("every kind of change reaches a subscriber")
{
    fixture f;
    server_name const server = server_of(1);
    std::vector<control::command_body> const commands = {
        control::announce_server{server, group_name("g"), data_centre_name("a"),
                                 "127.0.0.1:1", 1},
        control::report_verdict{server, 1, control::verdict::up},
        control::begin_fencing{group_name("g"), 0},
        control::choose_primary{group_name("g"), 1, server},
        control::confirm_primary{group_name("g"), 1, server},
        control::withdraw_key{{9}},
        control::register_daemon{daemon_name("d"), data_centre_name("a")},
        control::offer_rules{7, rules_of(7)},
        control::announce_leaving{server, 2},
        control::remove_server{server, 3}};
    std::uint64_t index = 0;
    for (auto const& it : commands)
    {
        CAPTURE(it.index());
        f.apply(++index, it);
        f.ask();
        auto const update = f.collect();
        REQUIRE(update);
        CHECK(f.merge(*update));
        CHECK(f.is_equal());
    }
}

// Guards against daemons that compute different holders, and against statements
// for a daemon that has no address or was removed.
TEST_CASE("the members of a daemon's view are those with an address")
{
    fixture f;
    data_centre_name const a("a");
    daemon_name const d1("d1");
    daemon_name const d2("d2");
    auto const members = [&f]
    {
        f.ask();
        auto const update = f.collect();
        REQUIRE(update);
        REQUIRE(f.merge(*update));
        auto const view = build_view(f.copy, {});
        CHECK(view->members == build_view(f.state, {})->members);
        return view->members;
    };
    f.apply(1, control::register_daemon{d1, a, "127.0.0.1:1"});
    f.apply(2, control::register_daemon{d2, a, "127.0.0.1:2"});
    f.apply(3, control::register_daemon{daemon_name("d3"), a});
    CHECK(members() == dispatch::member_map{{d1, {a, "127.0.0.1:1"}},
                                            {d2, {a, "127.0.0.1:2"}}});
    f.apply(4, control::remove_daemon{d2});
    CHECK(members() == dispatch::member_map{{d1, {a, "127.0.0.1:1"}}});
}

// Guards against a slow link that is filled with copies of one state: a daemon
// without any state asks again every 100 ms, also while the first copy is still
// on its way.
TEST_CASE("an update that is on its way is not sent again")
{
    fixture f;
    f.announce(1);
    f.ask();
    CHECK(f.collect());
    f.ask();
    CHECK(!f.collect());
    // Over another link it is sent again, as the first one may have ended.
    f.ask(second_link);
    CHECK(f.collect(second_link));
}

// Guards against a queue for a slow receiver that grows with every change.
TEST_CASE("changes wait while an update is on its way, and go out as one")
{
    fixture f;
    f.announce(1);
    f.ask();
    auto const first = f.collect();
    REQUIRE(first);
    f.announce(2);
    CHECK(!f.collect());
    f.announce(3);
    CHECK(!f.collect());
    CHECK(f.merge(*first));
    f.ask();
    auto const next = f.collect();
    REQUIRE(next);
    CHECK(next->after == 1);
    CHECK(next->servers.size() == 2);
    CHECK(f.merge(*next));
    CHECK(f.is_equal());
}

// Guards against updates that carry the whole rules whatever has changed.
TEST_CASE("a subscriber with retained rules gets their difference")
{
    fixture f;
    constexpr std::size_t line_bytes = 100'000;
    f.offer(1, line_bytes);
    f.ask();
    CHECK(f.merge(f.collect().value()));
    f.apply(2, control::offer_rules{2, rules_of(1, line_bytes) +
                                           "workspace x rate=1 burst=1  # "
                                           "asked by the test: another\n"});
    f.ask();
    auto const update = f.collect();
    REQUIRE(update);
    REQUIRE(update->rules);
    CHECK(update->rules->base_version == 1);
    std::size_t inserted_bytes = 0;
    for (auto const& it : update->rules->delta.edits)
        inserted_bytes += it.inserted.size();
    constexpr std::size_t max_bytes = 100;
    CHECK(inserted_bytes < max_bytes);
    CHECK(f.merge(*update));
    CHECK(f.is_equal());
}

// Guards against memory use that grows with the number of changes.
TEST_CASE("the retained rules are bounded in bytes")
{
    fixture f;
    constexpr std::size_t text_bytes = std::size_t{256} << 10U;
    for (std::uint64_t index = 1; index != 20; ++index)
        f.offer(index, text_bytes);
    constexpr std::uint64_t retained = 18;
    f.feed.subscribe(first_link, {daemon_name("d"), retained, retained, 0});
    CHECK(f.collect()->rules->base_version == retained);
    constexpr std::uint64_t dropped = 2;
    f.feed.subscribe(second_link, {daemon_name("d"), dropped, dropped, 0});
    CHECK(f.collect(second_link)->rules->base_version == 0);
}

// Guards against a daemon that adopts rules of another base, and against one
// that then waits for ever.
TEST_CASE("an update that does not fit changes nothing and is replaced")
{
    fixture f;
    f.offer(1);
    f.offer(2);
    auto update = f.state.changes_after(1, 1, rules_of(1));
    CHECK(!f.merge(update));
    CHECK(f.copy.revision() == 0);
    f.ask();
    CHECK(f.merge(f.collect().value()));
    CHECK(f.is_equal());
    // An update that the copy has already is not applied again.
    CHECK(!f.merge(update));
    CHECK(f.is_equal());
}

// Guards against memory use that grows with the number of links that have
// ended.
TEST_CASE("nothing is sent over a link that has ended")
{
    fixture f;
    f.ask();
    f.feed.remove(first_link);
    f.announce(1);
    CHECK(f.feed.collect_updates(f.state, f.now).empty());
}

// Guards against a leader that has no time for its heartbeats while many
// daemons start: each registration was sent to all earlier daemons at once, and
// each of them answered it.
TEST_CASE("changes in quick succession reach many subscribers as few updates")
{
    constexpr std::size_t daemons = 200;
    constexpr std::uint64_t changes = 200;
    constexpr auto round_trip = 3ms;
    constexpr auto end = instant(1s);
    fixture f;
    std::map<link_id, messages::subscribe> subscribers;
    std::multimap<instant, link_id> requests;
    for (link_id link = 1; link <= daemons; ++link)
        requests.emplace(instant(), link);
    std::size_t updates = 0;
    std::uint64_t revision = 0;
    for (; f.now < end; f.now += 1ms)
    {
        if (revision != changes)
            f.announce(++revision);
        while (!requests.empty() && requests.begin()->first <= f.now)
        {
            auto const link = requests.begin()->second;
            f.feed.subscribe(link, subscribers[link]);
            requests.erase(requests.begin());
        }
        for (auto const& it : f.feed.collect_updates(f.state, f.now))
            for (auto const link : it.links)
            {
                ++updates;
                auto& has = subscribers[link];
                has.revision = it.update.revision;
                ++has.updates_handled;
                requests.emplace(f.now + round_trip, link);
            }
    }
    for (auto const& [link, has] : subscribers)
        CHECK(has.revision == changes);
    // A leader of 0.3 cores handles some 2,000 updates a second.
    CHECK(updates <= 2000 + daemons);
}
