#ifndef BASILREACH_DAEMON_INBOX_HPP
#define BASILREACH_DAEMON_INBOX_HPP

#include <mutex>
#include <utility>
#include <vector>

#include <basilreach/daemon/event_loop.hpp>

namespace basilreach::daemon
{

// A queue of values from other threads to the thread of an event loop. The lock
// is held for one insertion or one swap only.
template <class Value>
class inbox
{
public:
    explicit inbox(event_loop& loop) : loop_(loop)
    {
    }

    // Adds a value. Wakes the loop if the queue was empty.
    void push(Value it)
    {
        bool was_empty = false;
        {
            std::lock_guard const lock(mutex_);
            was_empty = values_.empty();
            values_.push_back(std::move(it));
        }
        if (was_empty)
            loop_.wake();
    }

    // Removes and returns all values in order.
    std::vector<Value> take()
    {
        std::lock_guard const lock(mutex_);
        return std::exchange(values_, {});
    }

private:
    event_loop& loop_;
    std::mutex mutex_;
    std::vector<Value> values_;
};

} // namespace basilreach::daemon

#endif
