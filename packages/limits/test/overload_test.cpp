// How one daemon adapts to a server that is full.
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
TEST_CASE("the window halves once for all refusals of one moment")
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

// Guards against daemons that together send more than a server holds, although
// each of them has a single statement outstanding.
TEST_CASE("with a window below one, statements are spaced out")
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

// Guards against a server that stays unused after it was full.
TEST_CASE("the window grows back while it is used, and only then")
{
    concurrency_window window;
    for (int n = 0; n != 4; ++n)
        window.record_refusal(start + n * 1ms, start + n * 1ms);
    auto const small = window.size();
    for (int n = 0; n != 20; ++n)
        window.record_answer(1, 20ms);
    CHECK(window.size() > 2 * small);
    auto const grown = window.size();
    REQUIRE(grown >= 2);
    for (int n = 0; n != 20; ++n)
        window.record_answer(1, 20ms);
    CHECK(window.size() == grown);
}

// Guards against an overload that outlasts its cause: the openings of nine
// daemons took all slots of a server, which was then full for statements, and
// each refusal led to another opening.
TEST_CASE("openings of nine daemons leave a server most of its slots")
{
    constexpr std::size_t daemons = 9;
    constexpr std::size_t slots = 3;
    constexpr duration open_time = 27ms;
    std::vector<connection_pacer> pacers(daemons);
    struct opening
    {
        std::size_t daemon;
        instant asked_at;
    };
    std::deque<opening> waiting;
    std::vector<std::pair<instant, opening>> served;
    duration busy{};
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
                              now - it.second.asked_at, now);
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
            // The start-up of all daemons at once is not what is bounded.
            busy += now > start + 2s ? open_time : duration{};
        }
    }
    CHECK(busy < (end - start - 2s) * static_cast<int>(slots) / 2);
    // They may still open what they need on a calm day.
    CHECK(opened > 20 * daemons);
}

// Guards against statements that wait for connections long after a slow server
// has recovered.
TEST_CASE("one fast opening ends the pause that slow ones brought")
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
