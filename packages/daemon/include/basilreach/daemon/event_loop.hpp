#ifndef BASILREACH_DAEMON_EVENT_LOOP_HPP
#define BASILREACH_DAEMON_EVENT_LOOP_HPP

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <basilreach/base/instant.hpp>

namespace basilreach::daemon
{

// Reads the host's clock since its start, which counts suspension. Decisions
// get the time from the loops.
[[nodiscard]] instant read_clock();

// Wakes a reactor at a deadline. It is a timer descriptor, since
// ACE_Dev_Poll_Reactor cuts its own waits down to milliseconds and would poll
// without waiting for the rest.
class wake_timer : public ACE_Event_Handler
{
public:
    explicit wake_timer(ACE_Reactor& reactor);
    ~wake_timer() override;
    wake_timer(wake_timer const&) = delete;
    wake_timer& operator=(wake_timer const&) = delete;

    // Sets the deadline in place of the earlier one.
    void set(instant deadline);

    int handle_input(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override;

private:
    ACE_HANDLE handle_;
    instant deadline_ = never;
};

// The reactor of one thread. The thread sleeps in the kernel until a socket is
// ready, another thread wakes it, or its next deadline is due.
class event_loop
{
public:
    event_loop();

    [[nodiscard]] ACE_Reactor& reactor()
    {
        return reactor_;
    }

    // Waits until the deadline at most and runs the handlers that are ready.
    void run_once(instant deadline);

    // Ends the wait of run_once(); may be called by any thread.
    void wake();

private:
    ACE_Reactor reactor_;
    wake_timer timer_;
};

} // namespace basilreach::daemon

#endif
