#include <basilreach/limits/class_queue.hpp>

#include <doctest/doctest.h>

#include <map>
#include <string>

using basilreach::instant;
using basilreach::workspace_name;
using basilreach::limits::class_queue;
using basilreach::limits::entry_terms;
using basilreach::limits::fair_queue;
using basilreach::limits::queue_refusal;
using namespace std::chrono_literals;

namespace
{

instant const start{1h};
instant const far_deadline = start + 1h;

entry_terms terms(char const* workspace,
                  std::optional<std::uint8_t> priority,
                  instant deadline = far_deadline)
{
    return {workspace_name(workspace), deadline, priority, std::nullopt};
}

} // namespace

// Guards against deployments without priorities that are served in another
// order, or refused differently, than by the fair queue alone.
TEST_CASE("entries without a priority are ordered as by a fair queue")
{
    class_queue<int> queue({10, 1});
    fair_queue<int> reference({10, 1});
    queue.record_service(320ms);
    reference.record_service(1, 320ms);
    std::uint64_t random = 7;
    auto const next = [&random](std::uint64_t n)
    {
        random = random * 6364136223846793005U + 1442695040888963407U;
        return (random >> 33U) % n;
    };
    std::size_t refused = 0;
    for (int n = 0; n != 2000; ++n)
    {
        workspace_name const workspace("w" + std::to_string(next(4)));
        auto const deadline = start + std::chrono::milliseconds(next(200));
        auto const pushed = queue.push({workspace, deadline}, n, start);
        auto const expected = reference.push(workspace, 1, deadline, n, start);
        REQUIRE(pushed.has_value() == expected.has_value());
        if (!pushed)
            CHECK(pushed.error() == expected.error());
        refused += pushed ? 0 : 1;
        if (next(2) == 0)
            CHECK(queue.pop(start) == reference.pop());
    }
    CHECK(refused > 100);
}

// Guards against payments that wait behind cheap reads, and against a lowest
// class that is never served while higher ones wait.
TEST_CASE("a higher class is served first, each lower one every tenth time")
{
    class_queue<int> queue({1000, 1});
    for (int n = 0; n != 100; ++n)
        for (int priority : {2, 1, 0})
            REQUIRE(queue.push(terms("w", static_cast<std::uint8_t>(priority)),
                               priority, start));
    std::map<int, int> served;
    for (int n = 0; n != 101; ++n)
        ++served[*queue.pop(start)];
    CHECK(served == std::map<int, int>{{0, 81}, {1, 10}, {2, 10}});
}

// Guards against a class that saves up services while nothing of it waits.
TEST_CASE("a class without entries accumulates no services")
{
    class_queue<int> queue({1000, 1});
    for (int n = 0; n != 100; ++n)
        REQUIRE(queue.push(terms("w", 0), 0, start));
    for (int n = 0; n != 50; ++n)
        queue.pop(start);
    for (int n = 0; n != 5; ++n)
        REQUIRE(queue.push(terms("w", 1), 1, start));
    for (int n = 0; n != 9; ++n)
        CHECK(queue.pop(start) == 0);
    CHECK(queue.pop(start) == 1);
}

// Guards against statements of a high class that are refused because of waiting
// statements that are served after them.
TEST_CASE("waiting entries of lower classes do not refuse a higher one")
{
    class_queue<int> queue({1000, 1});
    // An average of 10 ms.
    queue.record_service(320ms);
    auto const deadline = start + 200ms;
    int accepted = 0;
    while (queue.push(terms("w", 1, deadline), 1, start))
        ++accepted;
    CHECK(accepted > 10);
    CHECK(accepted <= 20);
    CHECK(queue.push(terms("w", 0, deadline), 0, start).has_value());
    // A lower class has only its reserved services.
    int lower = 0;
    while (queue.push(terms("w", 2, deadline), 2, start))
        ++lower;
    CHECK(lower == 2);
    CHECK(queue.estimated_wait(terms("v", 0)) <
          queue.estimated_wait(terms("w", 1)));
}

// Guards against service for statements whose target has passed, while others
// that wait could still meet theirs.
TEST_CASE("an entry past its target is served when no other waits")
{
    class_queue<int> queue({1000, 1});
    auto with_target =
        [](char const* workspace, std::uint8_t priority, instant target)
    {
        auto it = terms(workspace, priority, start + 1s);
        it.target = target;
        return it;
    };
    auto const first = queue.push(with_target("w", 0, start + 10ms), 1, start);
    REQUIRE(first);
    REQUIRE(queue.push(with_target("w", 0, start + 10ms), 2, start));
    REQUIRE(queue.push(with_target("v", 2, start + 500ms), 3, start));
    CHECK(queue.pop(start) == 1);
    auto const later = start + 20ms;
    CHECK(queue.pop(later) == 3);
    REQUIRE(queue.push(with_target("v", 1, later + 1ms), 4, later));
    CHECK(queue.pop(later) == 4);
    CHECK(queue.pop(later) == 2);
    CHECK_FALSE(queue.pop(later).has_value());
    CHECK(queue.empty());
}

// Guards against statements that are served just before their target and
// answered after it, while others that wait could still meet theirs.
TEST_CASE("an entry that can no longer meet its target counts as late")
{
    class_queue<int> queue({1000, 1});
    // An average of 10 ms.
    queue.record_service(320ms);
    auto first = terms("w", 0);
    first.target = start + 100ms;
    auto second = terms("w", 2);
    second.target = start + 500ms;
    REQUIRE(queue.push(first, 1, start));
    REQUIRE(queue.push(second, 2, start));
    CHECK(queue.pop(start + 90ms) == 2);
    CHECK(queue.pop(start + 90ms) == 1);
}

// Guards against server time for statements whose answer comes too late.
TEST_CASE("an entry that can no longer be answered in time is shed")
{
    class_queue<int> queue({1000, 1});
    queue.record_service(320ms);
    REQUIRE(queue.push(terms("w", 0, start + 100ms), 1, start));
    REQUIRE(queue.push(terms("w", 0, start + 300ms), 2, start));
    REQUIRE(queue.push(terms("w", std::nullopt, start + 300ms), 3, start));
    CHECK(queue.shed(start + 89ms).empty());
    CHECK(queue.next_shed() == start + 90ms);
    CHECK(queue.shed(start + 90ms) == std::vector{1});
    CHECK(queue.shed(start + 290ms) == std::vector{2});
    CHECK(queue.size() == 1);
}

// Guards against a queue that refuses everything for ever, because its estimate
// of the service time is too long and nothing is served that would correct it.
TEST_CASE("an entry without others ahead is accepted whatever the estimate")
{
    class_queue<int> queue({1000, 1});
    for (int n = 0; n != 100; ++n)
        queue.record_service(10s);
    CHECK(queue.push(terms("w", 0, start + 100ms), 1, start).has_value());
    CHECK(queue.shed(start + 74ms).empty());
    CHECK(queue.pop(start + 74ms) == 1);
}

// Guards against a workspace that fills the queue by means of several classes.
TEST_CASE("the limit of entries counts all classes of a workspace")
{
    class_queue<int> queue({2, 1});
    auto late = terms("w", 0);
    late.target = start + 1ms;
    auto const id = queue.push(late, 0, start);
    REQUIRE(id);
    REQUIRE(queue.push(terms("w", 1), 1, start + 2ms));
    CHECK(queue.push(terms("w", 2), 2, start + 2ms).error() ==
          queue_refusal::queue_full);
    CHECK(queue.push(terms("v", 2), 3, start + 2ms).has_value());
    CHECK(queue.erase(id.value()) == 0);
    CHECK_FALSE(queue.erase(id.value()).has_value());
    CHECK(queue.push(terms("w", 2), 2, start + 2ms).has_value());
    std::size_t total = 0;
    queue.for_each_workspace([&total](auto const&, std::size_t n)
                             { total += n; });
    CHECK(total == 3);
}
