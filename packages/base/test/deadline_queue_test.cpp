#include <basilreach/base/deadline_queue.hpp>

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using basilreach::instant;

TEST_CASE("a key with a replaced deadline is due at the new deadline only")
{
    basilreach::deadline_queue<int> queue;
    queue.set(1, instant{10ms});
    queue.set(2, instant{20ms});
    queue.set(1, instant{30ms});
    CHECK(queue.next() == instant{20ms});
    CHECK_FALSE(queue.pop_due(instant{19ms}).has_value());
    CHECK(queue.pop_due(instant{30ms}) == 2);
    CHECK(queue.pop_due(instant{30ms}) == 1);
    CHECK(queue.next() == basilreach::never);
}

TEST_CASE("a key with an erased deadline is not due")
{
    basilreach::deadline_queue<int> queue;
    queue.set(1, instant{10ms});
    CHECK(queue.erase(1));
    CHECK_FALSE(queue.erase(1));
    CHECK_FALSE(queue.pop_due(instant{1s}).has_value());
}
