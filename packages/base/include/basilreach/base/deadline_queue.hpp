#ifndef BASILREACH_BASE_DEADLINE_QUEUE_HPP
#define BASILREACH_BASE_DEADLINE_QUEUE_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <basilreach/base/instant.hpp>

namespace basilreach
{

// Keys ordered by their deadline. Each key has at most one deadline. A tick
// takes the due keys from the front of the queue, so its cost depends on how
// many keys are due and hardly on how many wait.
template <class Key>
class deadline_queue
{
public:
    // Sets the deadline of a key and replaces an earlier one.
    void set(Key key, instant deadline)
    {
        erase(key);
        by_time_.emplace(deadline, key);
        by_key_.emplace(std::move(key), deadline);
    }

    // Removes the deadline of a key. Returns whether there was one.
    bool erase(Key const& key)
    {
        auto const it = by_key_.find(key);
        if (it == by_key_.end())
            return false;
        by_time_.erase({it->second, key});
        by_key_.erase(it);
        return true;
    }

    // Returns the earliest deadline, or never when the queue is empty.
    [[nodiscard]] instant next() const
    {
        return by_time_.empty() ? never : by_time_.begin()->first;
    }

    // Removes and returns one key whose deadline is at or before now.
    std::optional<Key> pop_due(instant now)
    {
        if (by_time_.empty() || by_time_.begin()->first > now)
            return std::nullopt;
        Key key = by_time_.begin()->second;
        by_time_.erase(by_time_.begin());
        by_key_.erase(key);
        return key;
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return by_key_.size();
    }

private:
    std::set<std::pair<instant, Key>> by_time_;
    std::map<Key, instant> by_key_;
};

} // namespace basilreach

#endif
