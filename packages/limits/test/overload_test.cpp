// Tests that a daemon sends less to a server that is full.
#include <basilreach/limits/concurrency_window.hpp>
#include <basilreach/limits/connection_pacer.hpp>

#include <doctest/doctest.h>

#include <deque>
#include <vector>

using basilreach::duration;
using basilreach::instant;
using basilreach::limits::concurrency_window;
using basilreach::limits::connection_pacer;
using namespace std::chrono_literals;

namespace
{

instant const start{1h};

} // namespace

// Guards against retries that keep a full server full.
TEST_CASE("the window halves once for refusals of statements sent together")
{
    concurrency_window window;
    for (int n = 0; n != 5; ++n)
        window.record_refusal(start, start + 2ms);
    CHECK(window.size() == 4);
    window.record_refusal(start + 3ms, start + 5ms);
    CHECK(window.size() == 2);
    CHECK(window.admits(1, start + 5ms));
    CHECK_FALSE(window.admits(2, start + 5ms));
}

// Guards against daemons that together send more statements than a server has
// room for, although each has only one outstanding.
TEST_CASE("a window smaller than one statement spaces statements out in time")
{
    concurrency_window window;
    for (int n = 0; n != 100; ++n)
        window.record_answer(1, 20ms);
    for (int n = 0; n != 5; ++n)
        window.record_refusal(start + n * 1ms, start + n * 1ms);
    REQUIRE(window.size() < 1);
    window.record_send(start + 10ms);
    CHECK_FALSE(window.admits(0, start + 10ms));
    CHECK(window.next_send() > start + 30ms);
    CHECK(window.admits(0, window.next_send()));
    CHECK_FALSE(window.admits(1, window.next_send()));
}

// Guards against a server that stays underused after it was full.
TEST_CASE("the window grows again only while it is fully used")
{
    concurrency_window window;
    for (int n = 0; n != 4; ++n)
        window.record_refusal(start + n * 1ms, start + n * 1ms);
    auto const reduced_size = window.size();
    for (int n = 0; n != 20; ++n)
        window.record_answer(1, 20ms);
    CHECK(window.size() > 2 * reduced_size);
    auto const grown_size = window.size();
    REQUIRE(grown_size >= 2);
    for (int n = 0; n != 20; ++n)
        window.record_answer(1, 20ms);
    CHECK(window.size() == grown_size);
}

// Guards against an overload that continues after its cause has ended: nine
// daemons opened connections that took all slots of a server. It then refused
// statements, and each refusal led to another connection.
TEST_CASE("opening connections leaves a server at least half of its slots")
{
    constexpr std::size_t daemons = 9;
    constexpr std::size_t slots = 3;
    constexpr duration open_time = 27ms;
    std::vector<connection_pacer> pacers(daemons);
    struct pending_open
    {
        std::size_t daemon;
        instant started_at;
    };
    std::deque<pending_open> waiting;
    std::vector<std::pair<instant, pending_open>> served;
    duration busy_time{};
    std::size_t opened = 0;
    auto const end = start + 10s;
    for (auto now = start; now != end; now += 1ms)
    {
        std::erase_if(served,
                      [&](auto const& it)
                      {
                          if (it.first > now)
                              return false;
                          pacers[it.second.daemon].record_open(
                              now - it.second.started_at, now);
                          return true;
                      });
        for (std::size_t n = 0; n != daemons; ++n)
            while (pacers[n].may_open(now))
            {
                pacers[n].record_start(now);
                waiting.push_back({n, now});
                ++opened;
            }
        while (served.size() < slots && !waiting.empty())
        {
            served.emplace_back(now + open_time, waiting.front());
            waiting.pop_front();
            // The first 2 s are not counted: all daemons start at once, and
            // the burst of each is allowed.
            busy_time += now > start + 2s ? open_time : duration{};
        }
    }
    CHECK(busy_time < (end - start - 2s) * static_cast<int>(slots) / 2);
    // Daemons can still open the connections that they need without overload.
    CHECK(opened > 20 * daemons);
}

// Guards against statements that wait for connections long after a slow server
// has recovered.
TEST_CASE("one fast opening ends the delay that slow openings caused")
{
    connection_pacer pacer;
    auto now = start;
    for (int n = 0; n != 30; ++n)
    {
        now = std::max(now, pacer.next_open());
        REQUIRE(pacer.may_open(now));
        pacer.record_start(now);
        now += 500ms;
        pacer.record_open(500ms, now);
    }
    while (pacer.may_open(now))
        pacer.record_start(now);
    CHECK(pacer.next_open() <= now + 1s);
    now = pacer.next_open();
    pacer.record_start(now);
    now += 20ms;
    pacer.record_open(20ms, now);
    CHECK(pacer.next_open() <= now + 200ms);
}
