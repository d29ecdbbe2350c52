#ifndef BASILREACH_DAEMON_EVENT_LOOP_HPP
#define BASILREACH_DAEMON_EVENT_LOOP_HPP

#include <ace/Reactor.h>

#include <basilreach/base/instant.hpp>

namespace basilreach::daemon
{

// Reads the host's monotonic clock. Decisions get the time from the loops.
[[nodiscard]] instant read_clock();

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
};

} // namespace basilreach::daemon

#endif
