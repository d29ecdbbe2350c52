#include <basilreach/daemon/stop_sequence.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace std::chrono_literals;

namespace basilreach::daemon
{

namespace
{

constexpr stop_schedule schedule{2500ms, 3s, 5700ms, 5820ms};

std::vector<stop_phase> advance_all(stop_sequence& it, instant now)
{
    std::vector<stop_phase> out;
    while (auto const phase = it.advance(now))
        out.push_back(*phase);
    return out;
}

using phases = std::vector<stop_phase>;

} // namespace

// Guards against a process that ends while statements that it has passed on are
// in progress: transactions could go on until the end.
TEST_CASE("transactions end in the first half of the grace time")
{
    settings::duration_settings it;
    it.drain_period = 2500ms;
    it.drain_deadline = 2500ms;
    it.stop_grace_s = 6;
    auto const planned = make_stop_schedule(it);
    CHECK(planned.sessions == 2500ms);
    CHECK(planned.transactions == 3s);
    CHECK(planned.statements == 5700ms);
    CHECK(planned.done < 6s);
    CHECK(planned.done > planned.statements);
    // A drain period that is longer than the grace time allows.
    it.drain_period = 10s;
    CHECK(make_stop_schedule(it).sessions == 3s);
}

TEST_CASE("without a grace time, statements may use the request timeout")
{
    settings::duration_settings it;
    it.drain_period = 1s;
    it.drain_deadline = 2s;
    it.request_timeout = 4s;
    auto const planned = make_stop_schedule(it);
    CHECK(planned.transactions == 3s);
    CHECK(planned.statements == 7s);
}

TEST_CASE("a stop goes through its phases at their times")
{
    stop_sequence it(schedule, 2);
    instant const start{1h};
    CHECK(it.next_deadline() == never);
    CHECK_FALSE(it.advance(start));
    it.request(start);
    CHECK(advance_all(it, start) == phases{stop_phase::announced});
    CHECK(it.next_deadline() == start + 2500ms);
    CHECK(advance_all(it, start + 2499ms).empty());
    CHECK(advance_all(it, start + 2500ms) == phases{stop_phase::sessions});
    CHECK(advance_all(it, start + 3s) == phases{stop_phase::transactions});
    CHECK(advance_all(it, start + 5700ms) == phases{stop_phase::statements});
    CHECK(advance_all(it, start + 5820ms) == phases{stop_phase::done});
    CHECK(it.next_deadline() == never);
}

// Guards against a second signal that starts the stop again and so prolongs it
// beyond the time at which the process is killed.
TEST_CASE("a second request does not prolong a stop")
{
    stop_sequence it(schedule, 1);
    instant const start{1h};
    it.request(start);
    it.request(start + 10ms);
    CHECK(advance_all(it, start + 10ms) == phases{stop_phase::announced});
    it.request(start + 2s);
    CHECK(it.next_deadline() == start + 2500ms);
}

TEST_CASE("a stop is done as soon as no thread has clients")
{
    stop_sequence it(schedule, 2);
    instant const start{1h};
    it.request(start);
    (void)advance_all(it, start + 2500ms);
    it.record_drained_thread();
    CHECK(advance_all(it, start + 2600ms).empty());
    it.record_drained_thread();
    CHECK(advance_all(it, start + 2600ms) == phases{stop_phase::done});
}

// Guards against threads that are never told of a phase: a process that was
// paused finds several phases due at once.
TEST_CASE("no phase is left out after a pause")
{
    stop_sequence it(schedule, 1);
    instant const start{1h};
    it.request(start);
    CHECK(advance_all(it, start + 10s) ==
          phases{stop_phase::announced, stop_phase::sessions,
                 stop_phase::transactions, stop_phase::statements,
                 stop_phase::done});
}

} // namespace basilreach::daemon
