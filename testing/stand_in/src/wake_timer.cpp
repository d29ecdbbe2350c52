#include "wake_timer.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include <ace/OS_NS_unistd.h>
#include <sys/timerfd.h>

namespace basilreach::stand_in
{

instant read_clock()
{
    return instant{std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

wake_timer::wake_timer(ACE_Reactor& reactor, std::function<void()> callback)
    : ACE_Event_Handler(&reactor), callback_(std::move(callback)),
      handle_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    if (handle_ >= 0)
        reactor.register_handler(this, READ_MASK);
}

wake_timer::~wake_timer()
{
    if (handle_ < 0)
        return;
    reactor()->remove_handler(handle_, ALL_EVENTS_MASK | DONT_CALL);
    ACE_OS::close(handle_);
}

bool wake_timer::is_open() const noexcept
{
    return handle_ >= 0;
}

void wake_timer::set(instant deadline)
{
    if (deadline == deadline_)
        return;
    deadline_ = deadline;
    itimerspec spec{};
    if (deadline != never)
    {
        // timerfd_settime disarms the timer when the time is zero.
        auto const remaining = std::max(deadline - read_clock(), duration{1});
        spec.it_value.tv_sec = remaining.count() / 1'000'000'000;
        spec.it_value.tv_nsec = remaining.count() % 1'000'000'000;
    }
    timerfd_settime(handle_, 0, &spec, nullptr);
}

ACE_HANDLE wake_timer::get_handle() const
{
    return handle_;
}

int wake_timer::handle_input(ACE_HANDLE)
{
    std::uint64_t expirations = 0;
    // There is nothing to read when the deadline was replaced after the timer
    // had expired.
    if (ACE_OS::read(handle_, &expirations, sizeof(expirations)) <= 0)
        return 0;
    deadline_ = never;
    callback_();
    return 0;
}

} // namespace basilreach::stand_in
