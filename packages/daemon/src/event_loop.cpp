#include <basilreach/daemon/event_loop.hpp>

#include <algorithm>
#include <chrono>

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/OS_NS_unistd.h>
#include <ace/Time_Value.h>
#include <ctime>
#include <sys/timerfd.h>

namespace basilreach::daemon
{

namespace
{

// This clock also advances while the machine is suspended. With CLOCK_MONOTONIC
// a host that resumed took leases for valid that had expired meanwhile.
constexpr clockid_t loop_clock = CLOCK_BOOTTIME;

// Most file handles in a reactor's table. A reactor whose table is larger than
// the process's limit of open files cannot be opened, so handle_limit() raises
// that limit as far as allowed and returns no more than it.
constexpr int max_file_handles = 65'536;

std::size_t handle_limit()
{
    ACE::set_handle_limit(-1);
    return static_cast<std::size_t>(
        std::min(max_file_handles, ACE::max_handles()));
}

// Handlers that run_once() runs at most. The reactor runs one handler per call,
// so without batches the thread would run a tick after every single message.
constexpr int max_handlers_per_round = 128;

} // namespace

instant read_clock()
{
    timespec time{};
    clock_gettime(loop_clock, &time);
    return instant(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

wake_timer::wake_timer(ACE_Reactor& reactor)
    : handle_(timerfd_create(loop_clock, TFD_NONBLOCK | TFD_CLOEXEC))
{
    ACE_Event_Handler::reactor(&reactor);
    reactor.register_handler(this, ACE_Event_Handler::READ_MASK);
}

wake_timer::~wake_timer()
{
    reactor()->remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                        ACE_Event_Handler::DONT_CALL);
    ACE_OS::close(handle_);
}

void wake_timer::set(instant deadline)
{
    if (deadline == deadline_)
        return;
    deadline_ = deadline;
    itimerspec time{};
    if (deadline != never)
    {
        // A time of zero disarms a timerfd.
        auto const ns =
            std::max<duration::rep>(1, deadline.time_since_epoch().count());
        time.it_value.tv_sec = ns / std::nano::den;
        time.it_value.tv_nsec = ns % std::nano::den;
    }
    timerfd_settime(handle_, TFD_TIMER_ABSTIME, &time, nullptr);
}

int wake_timer::handle_input(ACE_HANDLE /*handle*/)
{
    std::uint64_t expirations = 0;
    (void)ACE_OS::read(handle_, &expirations, sizeof(expirations));
    deadline_ = never;
    return 0;
}

ACE_HANDLE wake_timer::get_handle() const
{
    return handle_;
}

event_loop::event_loop()
    : reactor_(new ACE_Dev_Poll_Reactor(handle_limit()), true), timer_(reactor_)
{
}

void event_loop::run_once(instant deadline)
{
    ACE_Time_Value none(0, 0);
    if (deadline <= read_clock())
    {
        if (reactor_.handle_events(none) <= 0)
            return;
    }
    else
    {
        timer_.set(deadline);
        if (reactor_.handle_events() <= 0)
            return;
    }
    for (int n = 1; n < max_handlers_per_round; ++n)
    {
        ACE_Time_Value no_wait(0, 0);
        if (reactor_.handle_events(no_wait) <= 0)
            return;
    }
}

void event_loop::wake()
{
    reactor_.notify();
}

} // namespace basilreach::daemon
