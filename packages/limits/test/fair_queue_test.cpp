#include <basilreach/limits/fair_queue.hpp>

#include <doctest/doctest.h>

#include <string>

using basilreach::instant;
using basilreach::never;
using basilreach::workspace_name;
using basilreach::limits::fair_queue;
using basilreach::limits::queue_refusal;

namespace
{

workspace_name const a("a");
workspace_name const b("b");
instant const start{};
instant const far_deadline = start + std::chrono::hours(1);

} // namespace

TEST_CASE("a workspace with a long backlog does not delay another one")
{
    fair_queue<int> queue({});
    for (int n = 0; n != 100; ++n)
        REQUIRE(queue.push(a, 10, far_deadline, n, start));
    REQUIRE(queue.push(b, 10, far_deadline, 1000, start));
    REQUIRE(queue.push(b, 10, far_deadline, 1001, start));
    std::vector<int> served;
    for (int n = 0; n != 4; ++n)
        served.push_back(*queue.pop());
    CHECK(served == std::vector{0, 1000, 1, 1001});
}

TEST_CASE("service is divided by cost and not by count")
{
    fair_queue<int> queue({});
    for (int n = 0; n != 100; ++n)
    {
        REQUIRE(queue.push(a, 4, far_deadline, 0, start));
        REQUIRE(queue.push(b, 1, far_deadline, 1, start));
    }
    int of_b = 0;
    for (int n = 0; n != 50; ++n)
        of_b += *queue.pop();
    CHECK(of_b == 40);
}

TEST_CASE("an idle workspace does not accumulate credit for later service")
{
    fair_queue<int> queue({});
    for (int n = 0; n != 20; ++n)
        REQUIRE(queue.push(a, 1, far_deadline, 0, start));
    for (int n = 0; n != 10; ++n)
        queue.pop();
    for (int n = 0; n != 10; ++n)
        REQUIRE(queue.push(b, 1, far_deadline, 1, start));
    int of_b = 0;
    for (int n = 0; n != 6; ++n)
        of_b += *queue.pop();
    CHECK(of_b <= 4);
}

TEST_CASE("an expired entry is returned once and not charged")
{
    fair_queue<std::string> queue({});
    auto const near_deadline = start + std::chrono::milliseconds(1);
    REQUIRE(queue.push(a, 100, near_deadline, "late", start));
    REQUIRE(queue.push(a, 1, far_deadline, "a", start));
    auto const erased = queue.push(b, 1, far_deadline, "gone", start);
    REQUIRE(queue.push(b, 1, far_deadline, "b", start));
    CHECK(queue.next_deadline() == near_deadline);
    CHECK(queue.tick(near_deadline) == std::vector<std::string>{"late"});
    CHECK(queue.erase(erased.value()) == "gone");
    CHECK_FALSE(queue.erase(erased.value()));
    CHECK(queue.size() == 2);
    CHECK(queue.pop() == "a");
    CHECK(queue.pop() == "b");
    CHECK_FALSE(queue.pop());
    CHECK(queue.next_deadline() == never);
}

TEST_CASE("an entry that cannot be served in time is refused at once")
{
    fair_queue<int> queue({.entries_per_workspace = 20, .slots = 2});
    for (int n = 0; n != 1000; ++n)
        queue.record_service(1, std::chrono::milliseconds(10));
    auto const deadline = start + std::chrono::milliseconds(60);
    int accepted = 0;
    for (int n = 0; n != 20; ++n)
        accepted += queue.push(a, 1, deadline, n, start) ? 1 : 0;
    CHECK(accepted == 13);
    CHECK(queue.push(a, 1, deadline, 0, start).error() ==
          queue_refusal::deadline_too_near);
    // Another workspace waits only for the service that it is due itself.
    CHECK(queue.push(b, 1, deadline, 0, start));
    CHECK(queue.estimated_wait(b) < std::chrono::milliseconds(20));
    while (queue.push(a, 1, far_deadline, 0, start))
        ;
    CHECK(queue.push(a, 1, far_deadline, 0, start).error() ==
          queue_refusal::queue_full);
}

// Guards against a workspace without a free connection that blocks the others.
TEST_CASE("pop_if passes over a workspace and serves the others in fair order")
{
    fair_queue<int> queue({});
    for (int n = 0; n != 3; ++n)
    {
        REQUIRE(queue.push(a, 1, far_deadline, n, start));
        REQUIRE(queue.push(b, 1, far_deadline, 10 + n, start));
    }
    auto const only_b = [](workspace_name const& it)
    {
        return it == b;
    };
    auto const any = [](workspace_name const& /*it*/)
    {
        return true;
    };
    CHECK(queue.pop_if(only_b) == 10);
    CHECK(queue.pop_if(only_b) == 11);
    // The workspace that was passed over keeps its place in the order.
    CHECK(queue.pop_if(any) == 0);
    CHECK(queue.pop_if(any) == 1);
    // Both have been served twice, and b has waited longer.
    CHECK(queue.pop_if(any) == 12);
    CHECK(queue.pop_if(any) == 2);
    CHECK_FALSE(queue.pop_if(any));
}
