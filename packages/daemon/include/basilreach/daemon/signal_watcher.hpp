#ifndef BASILREACH_DAEMON_SIGNAL_WATCHER_HPP
#define BASILREACH_DAEMON_SIGNAL_WATCHER_HPP

#include <functional>

#include <ace/Event_Handler.h>

#include <basilreach/daemon/event_loop.hpp>

namespace basilreach::daemon
{

// Calls `stop` for SIGTERM and SIGINT and `reload` for SIGHUP, in a reactor.
// The constructor blocks these signals. It must run before any other thread
// starts, because threads inherit the signal mask.
class signal_watcher : public ACE_Event_Handler
{
public:
    signal_watcher(event_loop& loop,
                   std::function<void()> stop,
                   std::function<void()> reload);
    ~signal_watcher() override;
    signal_watcher(signal_watcher const&) = delete;
    signal_watcher& operator=(signal_watcher const&) = delete;

    int handle_input(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override;

private:
    event_loop& loop_;
    std::function<void()> stop_;
    std::function<void()> reload_;
    ACE_HANDLE handle_;
};

} // namespace basilreach::daemon

#endif
