#include <basilreach/daemon/epoll_reactor.hpp>

#include <array>
#include <cerrno>
#include <utility>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace basilreach::daemon
{

namespace
{

// Events that one call of epoll_wait returns at most. All are dispatched before
// the next call, so a handle that is ready again waits for the others.
constexpr std::size_t max_events = 1024;

constexpr ACE_Reactor_Mask read_events =
    ACE_Event_Handler::READ_MASK | ACE_Event_Handler::ACCEPT_MASK;

std::uint32_t to_epoll_events(ACE_Reactor_Mask mask)
{
    std::uint32_t out = 0;
    if ((mask & read_events) != 0)
        out |= EPOLLIN;
    if ((mask & ACE_Event_Handler::WRITE_MASK) != 0)
        out |= EPOLLOUT;
    return out;
}

std::uint64_t to_data(ACE_HANDLE handle, std::uint32_t generation)
{
    return std::uint64_t{generation} << 32U |
           static_cast<std::uint32_t>(handle);
}

} // namespace

epoll_reactor::epoll_reactor()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      notification_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = to_data(notification_, 0);
    epoll_ctl(epoll_, EPOLL_CTL_ADD, notification_, &event);
}

epoll_reactor::~epoll_reactor()
{
    close(notification_);
    close(epoll_);
}

int epoll_reactor::register_handler(ACE_Event_Handler* it,
                                    ACE_Reactor_Mask mask)
{
    auto const handle = it->get_handle();
    if (handle < 0)
    {
        errno = EBADF;
        return -1;
    }
    auto const n = static_cast<std::size_t>(handle);
    if (registrations_.size() <= n)
        registrations_.resize(n + 1);
    if (registrations_[n].handler != it)
        registrations_[n] = {it, ACE_Event_Handler::NULL_MASK,
                             ++last_generation_, false};
    return set_mask(it, registrations_[n].mask | mask);
}

int epoll_reactor::remove_handler(ACE_Event_Handler* it,
                                  ACE_Reactor_Mask /*mask*/)
{
    auto const result = set_mask(it, ACE_Event_Handler::NULL_MASK);
    if (result == 0)
        registrations_[static_cast<std::size_t>(it->get_handle())] = {};
    return result;
}

int epoll_reactor::schedule_wakeup(ACE_Event_Handler* it, ACE_Reactor_Mask mask)
{
    auto const* const row = find(it->get_handle(), 0);
    return row == nullptr ? -1 : set_mask(it, row->mask | mask);
}

int epoll_reactor::cancel_wakeup(ACE_Event_Handler* it, ACE_Reactor_Mask mask)
{
    auto const* const row = find(it->get_handle(), 0);
    return row == nullptr ? -1 : set_mask(it, row->mask & ~mask);
}

// Returns the registration of a handle, or null. A generation other than 0 must
// be that of the registration.
epoll_reactor::registration* epoll_reactor::find(ACE_HANDLE handle,
                                                 std::uint32_t generation)
{
    auto const n = static_cast<std::size_t>(handle);
    if (handle < 0 || n >= registrations_.size())
        return nullptr;
    auto& row = registrations_[n];
    bool const is_other = generation != 0 && row.generation != generation;
    return row.handler == nullptr || is_other ? nullptr : &row;
}

int epoll_reactor::set_mask(ACE_Event_Handler* it, ACE_Reactor_Mask mask)
{
    auto const handle = it->get_handle();
    auto* const row = find(handle, 0);
    if (row == nullptr || row->handler != it)
        return -1;
    auto const events = to_epoll_events(mask);
    bool const has_changed = events != to_epoll_events(row->mask);
    row->mask = mask;
    if (!has_changed)
        return 0;
    int operation = EPOLL_CTL_MOD;
    if (events == 0)
        operation = EPOLL_CTL_DEL;
    else if (!row->is_watched)
        operation = EPOLL_CTL_ADD;
    row->is_watched = events != 0;
    epoll_event event{};
    event.events = events;
    event.data.u64 = to_data(handle, row->generation);
    return epoll_ctl(epoll_, operation, handle, &event);
}

void epoll_reactor::notify()
{
    // One wake-up serves all notifications until the thread has woken up.
    if (is_notified_.exchange(true))
        return;
    std::uint64_t const one = 1;
    (void)!write(notification_, &one, sizeof(one));
}

void epoll_reactor::consume_notification()
{
    std::uint64_t count = 0;
    (void)!read(notification_, &count, sizeof(count));
    // Reset after the read: a notification in between would otherwise write
    // what this read consumes. What it stands for is seen after the reset.
    is_notified_ = false;
}

void epoll_reactor::take_events(bool waits)
{
    if (next_ready_ != ready_.size())
        return;
    ready_.clear();
    next_ready_ = 0;
    std::array<epoll_event, max_events> events{};
    // An interrupted wait is not an error: the caller waits again.
    auto const n = epoll_wait(epoll_, events.data(),
                              static_cast<int>(events.size()), waits ? -1 : 0);
    for (int i = 0; i < n; ++i)
    {
        auto const& it = events[static_cast<std::size_t>(i)];
        auto const handle = static_cast<ACE_HANDLE>(it.data.u64 & 0xffff'ffffU);
        if (handle == notification_)
            consume_notification();
        else
            ready_.push_back({handle,
                              static_cast<std::uint32_t>(it.data.u64 >> 32U),
                              it.events});
    }
}

bool epoll_reactor::dispatch_event()
{
    if (next_ready_ == ready_.size())
        return false;
    auto const it = ready_[next_ready_++];
    bool const has_failed = (it.events & (EPOLLERR | EPOLLHUP)) != 0;
    auto const* row = find(it.handle, it.generation);
    if (row != nullptr && (row->mask & ACE_Event_Handler::WRITE_MASK) != 0 &&
        (has_failed || (it.events & EPOLLOUT) != 0))
        row->handler->handle_output(it.handle);
    // The handler may have removed itself.
    row = find(it.handle, it.generation);
    if (row != nullptr && (row->mask & read_events) != 0 &&
        (has_failed || (it.events & EPOLLIN) != 0))
        row->handler->handle_input(it.handle);
    return true;
}

} // namespace basilreach::daemon
