#include <basilreach/daemon/event_loop.hpp>

#include <algorithm>
#include <chrono>

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/Time_Value.h>

namespace basilreach::daemon
{

namespace
{

// File handles that one reactor can serve. The reactor refuses to open when
// this exceeds the limit of the process, which is raised as far as allowed.
constexpr int wanted_handles = 65'536;

std::size_t handle_limit()
{
    ACE::set_handle_limit(-1);
    return static_cast<std::size_t>(
        std::min(wanted_handles, ACE::max_handles()));
}

// Handlers run before the decisions get their turn. One handler runs for each
// call of the reactor, so a tick would otherwise follow each single message.
constexpr int handler_batch = 128;

// Longest sleep; bounds the effect of a deadline computed from a wrong time.
constexpr duration longest_wait = std::chrono::seconds(1);

} // namespace

instant read_clock()
{
    return instant(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

event_loop::event_loop()
    : reactor_(new ACE_Dev_Poll_Reactor(handle_limit()), true)
{
}

void event_loop::run_once(instant deadline)
{
    auto const now = read_clock();
    auto const wait = deadline <= now
                          ? duration::zero()
                          : std::min<duration>(deadline - now, longest_wait);
    // Rounded up: waking early would only lead to another wait.
    auto const us = std::chrono::ceil<std::chrono::microseconds>(wait).count();
    ACE_Time_Value time(static_cast<time_t>(us / 1'000'000),
                        static_cast<suseconds_t>(us % 1'000'000));
    if (reactor_.handle_events(time) <= 0)
        return;
    for (int n = 1; n < handler_batch; ++n)
    {
        ACE_Time_Value none(0, 0);
        if (reactor_.handle_events(none) <= 0)
            return;
    }
}

void event_loop::wake()
{
    reactor_.notify();
}

} // namespace basilreach::daemon
