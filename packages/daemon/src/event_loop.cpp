#include <basilreach/daemon/event_loop.hpp>

#include <algorithm>
#include <chrono>

#include <ace/ACE.h>
#include <ace/OS_NS_unistd.h>
#include <ctime>
#include <sys/timerfd.h>

namespace basilreach::daemon
{

namespace
{

// This clock also advances while the machine is suspended. With CLOCK_MONOTONIC
// a host that resumed took leases for valid that had expired meanwhile.
constexpr clockid_t loop_clock = CLOCK_BOOTTIME;

// Handlers that run_once() runs at most. Without batches the thread would run a
// tick after every single message.
constexpr int max_handlers_per_round = 128;

// Time after which run_once() runs no further handler. Timers wait for the end
// of a round: when the messages of many daemons filled a round, the leader sent
// its heartbeats too late and lost its term.
constexpr duration max_round_time = std::chrono::milliseconds(5);

} // namespace

instant read_clock()
{
    timespec time{};
    clock_gettime(loop_clock, &time);
    return instant(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

wake_timer::wake_timer(epoll_reactor& reactor)
    : reactor_(reactor),
      handle_(timerfd_create(loop_clock, TFD_NONBLOCK | TFD_CLOEXEC))
{
    reactor.register_handler(this, ACE_Event_Handler::READ_MASK);
}

wake_timer::~wake_timer()
{
    reactor_.remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
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

event_loop::event_loop() : timer_(reactor_)
{
    // Raises the limit of open files as far as allowed.
    ACE::set_handle_limit(-1);
}

void event_loop::run_once(instant deadline)
{
    bool const waits = deadline > read_clock();
    if (waits)
        timer_.set(deadline);
    reactor_.take_events(waits);
    auto const end = read_clock() + max_round_time;
    for (int n = 0; n < max_handlers_per_round; ++n)
        if (!reactor_.dispatch_event() || read_clock() >= end)
            return;
}

void event_loop::wake()
{
    reactor_.notify();
}

} // namespace basilreach::daemon
