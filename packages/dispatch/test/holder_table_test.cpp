#include <basilreach/dispatch/holder_table.hpp>

#include <chrono>
#include <string>

#include <doctest/doctest.h>

namespace basilreach::dispatch
{

using namespace std::chrono_literals;

namespace
{

data_centre_name const bne{"bne"};
placement_key const sales{workspace_name{"sales"}, std::nullopt};

member_map members_in_bne(int n)
{
    member_map members;
    for (int i = 0; i != n; ++i)
        members[daemon_name{"e" + std::to_string(i)}] = {
            bne, "127.0.0.1:" + std::to_string(7000 + i)};
    return members;
}

// A table of a daemon in another data centre, and the ranks of one key.
struct fixture
{
    member_map members = members_in_bne(6);
    std::vector<daemon_name> ranks = rank_holders(members, sales, bne);
    holder_table table{daemon_name{"sender"}};
    instant now{1h};

    fixture()
    {
        table.set_members(members, now);
    }

    std::optional<daemon_name> choose()
    {
        return table.choose(sales, bne, now);
    }

    // Lets the first holder fail, try again after the pause and fail again.
    void fail_times(int n)
    {
        for (int i = 0; i != n; ++i)
        {
            while (choose() != ranks[0])
                now += 10ms;
            table.record_failure(ranks[0], now);
        }
    }

    duration pause()
    {
        auto const start = now;
        while (choose() != ranks[0])
            now += 1ms;
        return now - start;
    }
};

} // namespace

TEST_CASE("a statement goes to the first rank and not to this daemon itself")
{
    fixture f;
    CHECK(f.choose() == f.ranks[0]);
    holder_table own{f.ranks[0]};
    own.set_members(f.members, f.now);
    CHECK(own.choose(sales, bne, f.now) == std::nullopt);
    CHECK(f.table.choose(sales, data_centre_name{"syd"}, f.now) ==
          std::nullopt);
}

TEST_CASE("the next ranks replace a failed holder, but not beyond the third")
{
    fixture f;
    f.table.record_failure(f.ranks[0], f.now);
    CHECK(f.choose() == f.ranks[1]);
    f.table.record_failure(f.ranks[1], f.now);
    CHECK(f.choose() == f.ranks[2]);
    f.table.record_failure(f.ranks[2], f.now);
    CHECK(f.choose() == std::nullopt);
}

// Guards against a stream of statements to a holder that fails again and again.
TEST_CASE("each further failure doubles the pause, up to 8 s")
{
    for (auto const& [failures, pause] : {std::pair{1, 500ms},
                                          {2, 1000ms},
                                          {3, 2000ms},
                                          {5, 8000ms},
                                          {7, 8000ms}})
    {
        fixture f;
        f.fail_times(failures);
        CHECK(f.pause() == pause);
    }
}

TEST_CASE("failures of the same cause count once")
{
    fixture f;
    for (int i = 0; i != 20; ++i)
        f.table.record_failure(f.ranks[0], f.now);
    CHECK(f.pause() == 500ms);
}

// Guards against sending the whole load to a holder that is still dead.
TEST_CASE("after the pause one statement is the trial")
{
    fixture f;
    f.table.record_failure(f.ranks[0], f.now);
    f.now += 500ms;
    CHECK(f.choose() == f.ranks[0]);
    CHECK(f.choose() == f.ranks[1]);
    SUBCASE("an answer ends the failure")
    {
        f.table.record_received(f.ranks[0], f.now);
        CHECK(f.choose() == f.ranks[0]);
        CHECK(f.choose() == f.ranks[0]);
        f.table.record_failure(f.ranks[0], f.now);
        CHECK(f.pause() == 500ms);
    }
    SUBCASE("a failed trial doubles the pause")
    {
        f.table.record_failure(f.ranks[0], f.now);
        CHECK(f.pause() == 1000ms);
    }
    SUBCASE("a trial that was never sent does not exclude the holder")
    {
        f.now += 500ms;
        CHECK(f.choose() == f.ranks[0]);
    }
}

TEST_CASE("a holder without an answer is probed and then silent")
{
    fixture f;
    CHECK(f.table.next_deadline() == never);
    f.table.record_sent(f.ranks[0], f.now);
    f.now += 50ms;
    f.table.record_sent(f.ranks[0], f.now);
    f.now += 49ms;
    CHECK(f.table.tick(f.now) == holder_events{});
    f.now += 1ms;
    CHECK(f.table.next_deadline() == f.now);
    CHECK(f.table.tick(f.now) == holder_events{{f.ranks[0]}, {}});
    f.now += 149ms;
    CHECK(f.table.tick(f.now) == holder_events{});
    CHECK(f.choose() == f.ranks[0]);
    f.now += 1ms;
    CHECK(f.table.tick(f.now) == holder_events{{}, {f.ranks[0]}});
    CHECK(f.choose() == f.ranks[1]);
    CHECK(f.table.next_deadline() == never);
}

// Guards against taking a slow statement for a dead holder.
TEST_CASE("a holder that answers its probes is not silent")
{
    fixture f;
    f.table.record_sent(f.ranks[0], f.now);
    for (int i = 0; i != 10; ++i)
    {
        f.now += 100ms;
        CHECK(f.table.tick(f.now).probes.size() == 1);
        f.now += 10ms;
        f.table.record_received(f.ranks[0], f.now);
    }
    CHECK(f.choose() == f.ranks[0]);
    f.table.record_settled(f.ranks[0]);
    CHECK(f.table.next_deadline() == never);
}

// Guards against probes over a link that has ended, and against a trial whose
// missing answer goes unnoticed because earlier statements are not settled yet.
TEST_CASE("a failure ends the wait, and the next statement starts it again")
{
    fixture f;
    f.table.record_sent(f.ranks[0], f.now);
    f.table.record_failure(f.ranks[0], f.now);
    CHECK(f.table.next_deadline() == never);
    f.now += 500ms;
    f.table.record_sent(f.ranks[0], f.now);
    CHECK(f.table.next_deadline() == f.now + 100ms);
}

TEST_CASE("a daemon at another address is usable at once")
{
    fixture f;
    f.table.record_failure(f.ranks[0], f.now);
    f.table.set_members(f.members, f.now);
    CHECK(f.choose() == f.ranks[1]);
    f.members[f.ranks[0]].address = "127.0.0.1:9000";
    f.table.set_members(f.members, f.now);
    CHECK(f.choose() == f.ranks[0]);
}

// Guards against statements that wait for a removed daemon for ever.
TEST_CASE("a removed member gets no statements but is watched to the end")
{
    fixture f;
    f.table.record_sent(f.ranks[0], f.now);
    f.members.erase(f.ranks[0]);
    f.table.set_members(f.members, f.now);
    CHECK(f.choose() == f.ranks[1]);
    CHECK(f.table.tick(f.now + 100ms).probes.size() == 1);
    CHECK(f.table.tick(f.now + 250ms).silent.size() == 1);
    f.table.record_settled(f.ranks[0]);
    f.table.record_settled(f.ranks[0]);
    CHECK(f.table.next_deadline() == never);
}

} // namespace basilreach::dispatch
