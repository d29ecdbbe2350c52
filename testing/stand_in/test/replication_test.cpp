#include <basilreach/stand_in/replication.hpp>

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace basilreach::stand_in
{

// Guards against a superseded primary that keeps writes which the group has
// lost, and against a replica that reports a position before it has the data.
TEST_CASE("an old primary discards its unreplicated writes in a later term")
{
    replication group{3, 10ms};
    group.commit(0, {insert_item{"k", "old"}}, instant{0ms});
    CHECK(group.position(1) == log_position{1, 0});
    group.replicate(instant{9ms});
    CHECK(group[1].data.items.empty());
    CHECK(group.next_arrival() == instant{10ms});
    group.replicate(instant{10ms});
    CHECK(group.position(1) == log_position{1, 1});

    group.set_connected(0, false);
    group.commit(0, {update_value{"k", "lost"}}, instant{20ms});
    CHECK_FALSE(group.promote(1, 1, instant{20ms}));
    CHECK(group.promote(1, 2, instant{20ms}));
    CHECK(group.promote(1, 2, instant{20ms}));
    CHECK(group.position(1) == log_position{2, 2});
    CHECK_FALSE(group.promote(1, 1, instant{20ms}));
    group.replicate(instant{25ms});
    CHECK(group[2].term == 2);
    CHECK(group.position(2) == log_position{1, 1});
    group.replicate(instant{30ms});
    CHECK(group.position(2) == log_position{2, 2});
    CHECK(group[0].is_primary);
    CHECK(group[0].data.items.at("k").value == "lost");

    group.set_connected(0, true);
    group.replicate(instant{30ms});
    CHECK_FALSE(group[0].is_primary);
    CHECK(group[0].demotions == 1);
    CHECK(group[0].data == group[1].data);
    CHECK(group.position(0) == log_position{2, 2});
    CHECK(group.next_arrival() == never);
}

// Guards against data that is lost when common entries are removed from the
// logs.
TEST_CASE("removal of common log entries keeps data and positions")
{
    replication group{3, 0ms};
    group.commit(0, {insert_item{"k", "v"}}, instant{});
    for (int n = 0; n != 10'000; ++n)
    {
        group.commit(0, {increment_amount{"k"}}, instant{});
        group.replicate(instant{});
    }
    CHECK(group[2].log.size() < 5'000);
    group.set_connected(0, false);
    group.commit(0, {increment_amount{"k"}}, instant{});
    group.promote(2, 2, instant{});
    group.set_connected(0, true);
    group.replicate(instant{});
    CHECK(group[0].data.items.at("k").amount == 10'000);
    CHECK(group[0].data == group[2].data);
    CHECK(group.position(0) == log_position{2, 10'002});
}

} // namespace basilreach::stand_in
