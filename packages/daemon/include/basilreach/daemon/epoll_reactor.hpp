#ifndef BASILREACH_DAEMON_EPOLL_REACTOR_HPP
#define BASILREACH_DAEMON_EPOLL_REACTOR_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <ace/Event_Handler.h>

namespace basilreach::daemon
{

// Calls event handlers when their file handles are ready. It has the functions
// of ACE_Reactor that the daemon uses, with the same masks and return values.
// ACE_Dev_Poll_Reactor takes one event a call and arms its handle again, with
// three system calls for each event; this one takes many events a call and
// leaves the handles armed. All functions but notify() belong to one thread.
class epoll_reactor
{
public:
    epoll_reactor();
    ~epoll_reactor();
    epoll_reactor(epoll_reactor const&) = delete;
    epoll_reactor& operator=(epoll_reactor const&) = delete;

    // Adds the handler for its handle, or further events of one that was added.
    // Returns 0, or -1 with errno set.
    int register_handler(ACE_Event_Handler* it, ACE_Reactor_Mask mask);

    // Removes the handler. It is not called again, not even for an event that
    // was taken already. Must be called before the handle is closed.
    int remove_handler(ACE_Event_Handler* it, ACE_Reactor_Mask mask);

    // Add events to, or remove them from, those of a registered handler. A
    // handler without events stays registered.
    int schedule_wakeup(ACE_Event_Handler* it, ACE_Reactor_Mask mask);
    int cancel_wakeup(ACE_Event_Handler* it, ACE_Reactor_Mask mask);

    // Ends the wait of take_events(). Any thread may call it.
    void notify();

    // Takes the events that are ready, unless some are left to dispatch. Waits
    // for one if `waits` is set and none is ready.
    void take_events(bool waits);

    // Calls the handler of the next event. Returns false when none is left.
    bool dispatch_event();

private:
    struct registration
    {
        ACE_Event_Handler* handler = nullptr;
        ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
        // Distinguishes this use of the handle from earlier ones.
        std::uint32_t generation = 0;
        // Whether the kernel watches the handle. It would report errors of a
        // handle without events again and again.
        bool is_watched = false;
    };

    struct ready_event
    {
        ACE_HANDLE handle = ACE_INVALID_HANDLE;
        std::uint32_t generation = 0;
        std::uint32_t events = 0;
    };

    [[nodiscard]] registration* find(ACE_HANDLE handle,
                                     std::uint32_t generation);
    int set_mask(ACE_Event_Handler* it, ACE_Reactor_Mask mask);
    void consume_notification();

    ACE_HANDLE epoll_;
    ACE_HANDLE notification_;
    std::atomic<bool> is_notified_ = false;
    // By handle.
    std::vector<registration> registrations_;
    std::uint32_t last_generation_ = 0;
    std::vector<ready_event> ready_;
    std::size_t next_ready_ = 0;
};

} // namespace basilreach::daemon

#endif
