#include <basilreach/daemon/update_feed.hpp>

#include <doctest/doctest.h>

#include <basilreach/daemon/view_builder.hpp>

using namespace basilreach;
using namespace basilreach::daemon;

namespace
{

struct fixture
{
    void apply(std::uint64_t index)
    {
        control::command const it{
            {},
            "test",
            control::announce_server{server_name("s" + std::to_string(index)),
                                     group_name("g"), data_centre_name("a"),
                                     "127.0.0.1:1", 1}};
        state.apply(index, it);
        feed.record(index, it);
    }

    control::control_state state{make_rules_parser()};
    update_feed feed;
};

std::vector<std::uint64_t> indices(messages::state_update const& it)
{
    std::vector<std::uint64_t> out;
    for (auto const& command : it.commands)
        out.push_back(command.index);
    return out;
}

} // namespace

// Guards against a subscriber that gets only the last of several commands and
// takes it for the whole state: after a restart of every host, daemons without
// the control role had a state without routes.
TEST_CASE("a subscriber gets every command that it lacks")
{
    fixture f;
    f.feed.subscribe(1, 0);
    CHECK(f.feed.collect_updates(f.state).empty());
    f.apply(1);
    f.apply(2);
    f.apply(4);
    auto const first = f.feed.collect_updates(f.state);
    REQUIRE(first.size() == 1);
    CHECK(first[0].second.after == 0);
    CHECK(indices(first[0].second) == std::vector<std::uint64_t>{1, 2, 4});
    CHECK(f.feed.collect_updates(f.state).empty());
    f.apply(5);
    CHECK(indices(f.feed.collect_updates(f.state)[0].second) ==
          std::vector<std::uint64_t>{5});
}

TEST_CASE("a subscriber that lacks commands no longer retained gets a snapshot")
{
    fixture f;
    f.apply(3);
    f.apply(4);
    f.feed.subscribe(1, 1);
    auto const update = f.feed.collect_updates(f.state);
    REQUIRE(update.size() == 1);
    REQUIRE(update[0].second.snapshot.has_value());
    CHECK(update[0].second.snapshot->revision == 4);
    f.feed.clear();
    f.feed.subscribe(2, 3);
    CHECK(f.feed.collect_updates(f.state)[0].second.snapshot.has_value());
}

// Guards against memory use that grows with the number of changes.
TEST_CASE("the retained commands are bounded in bytes")
{
    fixture f;
    constexpr std::size_t text_bytes = std::size_t{256} << 10U;
    for (std::uint64_t index = 1; index != 100; ++index)
        f.feed.record(
            index, {{},
                    "test",
                    control::offer_rules{index, std::string(text_bytes, 'x')}});
    f.state.apply(99, {{}, "test", control::remove_daemon{daemon_name("d")}});
    f.feed.subscribe(1, 98);
    CHECK(f.feed.collect_updates(f.state)[0].second.commands.size() == 1);
    f.feed.subscribe(1, 90);
    CHECK(f.feed.collect_updates(f.state)[0].second.snapshot.has_value());
}

// Guards against a slow link that is filled with copies of one state: a daemon
// without any state asks again every 100 ms, also while the first copy is still
// on its way.
TEST_CASE("an update that is on its way is not sent again")
{
    fixture f;
    f.apply(1);
    f.feed.subscribe(1, 0);
    CHECK(f.feed.collect_updates(f.state).size() == 1);
    f.feed.subscribe(1, 0);
    CHECK(f.feed.collect_updates(f.state).empty());
}

// Guards against a queue for a slow receiver that grows with every change.
TEST_CASE("changes wait while an update is on its way, and go out as one")
{
    fixture f;
    f.apply(1);
    f.feed.subscribe(1, 0);
    CHECK(f.feed.collect_updates(f.state).size() == 1);
    f.apply(2);
    CHECK(f.feed.collect_updates(f.state).empty());
    f.apply(3);
    CHECK(f.feed.collect_updates(f.state).empty());
    f.feed.subscribe(1, 1);
    auto const next = f.feed.collect_updates(f.state);
    REQUIRE(next.size() == 1);
    CHECK(next[0].second.after == 1);
}
