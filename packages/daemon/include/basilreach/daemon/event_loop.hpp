#ifndef BASILREACH_DAEMON_EVENT_LOOP_HPP
#define BASILREACH_DAEMON_EVENT_LOOP_HPP

#include <ace/Event_Handler.h>

#include <basilreach/base/instant.hpp>
#include <basilreach/daemon/epoll_reactor.hpp>

namespace basilreach::daemon
{

// Returns the time since the machine started, including time in suspension. The
// packages that make decisions (consensus, control, limits, traffic) read no
// clock; they get the time as an argument.
[[nodiscard]] instant read_clock();

// Wakes a reactor at a deadline. It uses a timerfd, because the timeouts of
// epoll_wait are in milliseconds and do not count the time in suspension.
class wake_timer : public ACE_Event_Handler
{
public:
    explicit wake_timer(epoll_reactor& reactor);
    ~wake_timer() override;
    wake_timer(wake_timer const&) = delete;
    wake_timer& operator=(wake_timer const&) = delete;

    // Replaces the deadline.
    void set(instant deadline);

    int handle_input(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override;

private:
    epoll_reactor& reactor_;
    ACE_HANDLE handle_;
    instant deadline_ = never;
};

// The reactor of one thread. The thread sleeps until a file handle is ready,
// another thread wakes it, or its next deadline is due.
class event_loop
{
public:
    event_loop();

    [[nodiscard]] epoll_reactor& reactor()
    {
        return reactor_;
    }

    // Waits for handles that are ready, at most until the deadline, and runs
    // their handlers. Returns after a bounded number of handlers and a bounded
    // time, also when more handles are ready.
    void run_once(instant deadline);

    // Ends the wait of run_once(). Any thread may call it.
    void wake();

private:
    epoll_reactor reactor_;
    wake_timer timer_;
};

} // namespace basilreach::daemon

#endif
