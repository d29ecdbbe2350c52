#include <basilreach/resources/resource_budget.hpp>

#include <chrono>

#include <doctest/doctest.h>

namespace basilreach::resources
{

namespace
{

using namespace std::chrono_literals;

constexpr instant start{1h};

budget_settings settings()
{
    return {600, 800, 10s, 5s};
}

} // namespace

// Guards against limits that also meet connections within their fair part.
TEST_CASE("only connections over their fair part are held")
{
    resource_budget budget(settings());
    budget.record(1, 500);
    CHECK(budget.tick(start) == budget_decision{});
    budget.record(2, 50);
    budget.record(3, 100);
    CHECK(budget.tick(start) == budget_decision{{1}, {}, {}});
    CHECK(budget.counts().bytes == 650);
    CHECK(budget.counts().held == 1);
    // A connection is held once.
    budget.record(2, 60);
    CHECK(budget.tick(start) == budget_decision{});
}

// Guards against a connection that is never read again.
TEST_CASE("held connections are resumed when there is room")
{
    resource_budget budget(settings());
    budget.record(1, 500);
    budget.record(2, 200);
    CHECK(budget.tick(start) == budget_decision{{1}, {}, {}});
    budget.record(2, 60);
    // Between 525 and 600 bytes it stays held.
    CHECK(budget.tick(start) == budget_decision{});
    budget.record(2, 20);
    CHECK(budget.tick(start) == budget_decision{{}, {1}, {}});
    CHECK(budget.next_deadline() == instant::max());
}

TEST_CASE("a held connection that comes down to its part is resumed")
{
    resource_budget budget(settings());
    budget.record(1, 400);
    budget.record(2, 400);
    CHECK(budget.tick(start) == budget_decision{{2, 1}, {}, {}});
    budget.record(1, 0);
    budget.record(2, 700);
    CHECK(budget.tick(start) == budget_decision{{}, {1}, {}});
    CHECK(budget.counts().held == 1);
}

// Guards against buffers beyond the memory of the host.
TEST_CASE("the connection that buffers most is closed")
{
    resource_budget budget(settings());
    budget.record(1, 300);
    budget.record(2, 350);
    budget.record(3, 200);
    auto const it = budget.tick(start);
    CHECK(it.close == std::vector<closure>{{2, close_reason::memory, 350}});
    CHECK(budget.counts().bytes == 500);
    CHECK(budget.counts()
              .closed[static_cast<std::size_t>(close_reason::memory)] == 1);
    budget.remove(2);
    CHECK(budget.counts().bytes == 500);
}

// Guards against stopped clients that keep the budget from all others.
TEST_CASE("a connection that is held for too long is closed")
{
    resource_budget budget(settings());
    budget.record(1, 500);
    budget.record(2, 200);
    CHECK(budget.tick(start).hold.size() == 1);
    CHECK(budget.next_deadline() == start + 5s);
    CHECK(budget.tick(start + 4999ms) == budget_decision{});
    CHECK(budget.tick(start + 5s).close ==
          std::vector<closure>{{1, close_reason::hold_timeout, 500}});
    CHECK(budget.next_deadline() == instant::max());
}

// Guards against connections whose startup is never finished.
TEST_CASE("a startup has a time limit")
{
    resource_budget budget(settings());
    budget.begin_startup(1, start);
    budget.begin_startup(2, start + 1s);
    budget.begin_startup(3, start + 2s);
    budget.end_startup(2);
    CHECK(budget.next_deadline() == start + 10s);
    CHECK(budget.tick(start + 9999ms) == budget_decision{});
    CHECK(budget.tick(start + 10s).close ==
          std::vector<closure>{{1, close_reason::startup_timeout, 0}});
    CHECK(budget.next_deadline() == start + 12s);
    budget.remove(3);
    CHECK(budget.next_deadline() == instant::max());
}

} // namespace basilreach::resources
