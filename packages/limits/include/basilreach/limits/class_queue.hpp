#ifndef BASILREACH_LIMITS_CLASS_QUEUE_HPP
#define BASILREACH_LIMITS_CLASS_QUEUE_HPP

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/result.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/limits/fair_queue.hpp>

namespace basilreach::limits
{

// What determines the order of an entry and whether it is queued.
struct entry_terms
{
    workspace_name workspace;
    instant deadline;
    // Priority class; 0 is the highest. Without one, entries are served and
    // refused as by a fair_queue alone.
    std::optional<std::uint8_t> priority{};
    // Time after which the answer is late.
    std::optional<instant> target{};

    friend auto operator<=>(entry_terms const&, entry_terms const&) = default;
};

// Serves entries of unit cost by priority class, and those of a class by fair
// queueing among workspaces. One service in ten is reserved for each lower
// class that waits. Entries whose target can no longer be met are served when
// no other entry can be.
template <class Entry>
class class_queue
{
public:
    explicit class_queue(fair_queue_settings settings)
        : settings_(settings), slots_(settings.slots)
    {
    }

    // Queues an entry, or refuses it if the estimated answer would be later
    // than its deadline. Entries of lower classes do not count in the estimate,
    // beyond the services that are reserved for them.
    result<row_id, queue_refusal>
    push(entry_terms const& terms, Entry entry, instant now)
    {
        move_late_entries(now);
        if (size_of(terms.workspace) >= settings_.entries_per_workspace)
            return queue_refusal::queue_full;
        // An entry without others ahead is always tried: its service corrects
        // an estimate that is too long.
        auto const ahead = cost_ahead(terms);
        auto const latest =
            terms.priority ? last_start(terms.deadline, now) : terms.deadline;
        bool const is_too_late = ahead > 0 && time_of(ahead) > latest - now;
        if (terms.deadline <= now || is_too_late)
            return queue_refusal::deadline_too_near;
        auto const level = level_of(terms, now);
        auto const id = entries_.insert({level, {}, terms, std::move(entry)});
        push_at_level(level, id, now);
        if (terms.priority)
        {
            if (!level.is_late && terms.target)
                targets_.set(id, last_start(*terms.target, now));
            last_starts_.set(id, last_start(terms.deadline, now));
        }
        return id;
    }

    // Removes and returns the next entry to serve, if any waits.
    std::optional<Entry> pop(instant now)
    {
        return pop_if([](workspace_name const&) { return true; }, now);
    }

    // Removes and returns the next entry among the workspaces that can be
    // served now, if any waits.
    template <class Predicate>
    std::optional<Entry> pop_if(Predicate can_serve, instant now)
    {
        move_late_entries(now);
        for (auto const& it : serving_order())
        {
            auto const id = levels_.at(it).queue.pop_if(can_serve);
            if (!id)
                continue;
            count_service(it);
            return take(*id);
        }
        return std::nullopt;
    }

    // Calls f(workspace, number of its entries) for each workspace with
    // entries, in the order in which they are served.
    template <class Function>
    void for_each_workspace(Function f) const
    {
        std::vector<std::pair<workspace_name, std::size_t>> counts;
        for (auto const& it : serving_order())
            levels_.at(it).queue.for_each_workspace(
                [&counts](workspace_name const& workspace, std::size_t n)
                {
                    auto const same = [&workspace](auto const& row)
                    {
                        return row.first == workspace;
                    };
                    auto const found =
                        std::find_if(counts.begin(), counts.end(), same);
                    if (found == counts.end())
                        counts.emplace_back(workspace, n);
                    else
                        found->second += n;
                });
        for (auto const& [workspace, n] : counts)
            f(workspace, n);
    }

    // Removes an entry that need not be served, and returns it if it was still
    // waiting.
    std::optional<Entry> erase(row_id id)
    {
        auto const* row = entries_.find(id);
        if (row == nullptr)
            return std::nullopt;
        levels_.at(row->level).queue.erase(row->position);
        return take(id);
    }

    // Removes and returns the entries with a priority that have waited so long
    // that their answer would be later than their deadline.
    std::vector<Entry> shed(instant now)
    {
        std::vector<Entry> out;
        while (auto const id = last_starts_.pop_due(now))
            out.push_back(*erase(*id));
        return out;
    }

    // Removes and returns the entries that match, in no particular order.
    template <class Predicate>
    std::vector<Entry> remove_if(Predicate matches)
    {
        std::vector<row_id> ids;
        entries_.for_each(
            [&](row_id id, entry_row const& it)
            {
                if (matches(it.entry))
                    ids.push_back(id);
            });
        std::vector<Entry> out;
        out.reserve(ids.size());
        for (auto const id : ids)
            out.push_back(*erase(id));
        return out;
    }

    // Records how long the service of an entry took.
    void record_service(duration time)
    {
        // The weight of the exponential average covers about 32 services.
        service_time_ +=
            (static_cast<double>(time.count()) - service_time_) / 32;
    }

    // Sets the number of entries that are served at the same time.
    void set_slots(double slots)
    {
        slots_ = slots;
    }

    // Returns the wait expected of an entry that is queued now.
    [[nodiscard]] duration estimated_wait(entry_terms const& terms) const
    {
        return time_of(cost_ahead(terms));
    }

    // Returns the average time between two services while entries wait.
    [[nodiscard]] duration service_interval() const
    {
        return time_of(1);
    }

    // Returns when shed() has an entry to return.
    [[nodiscard]] instant next_shed() const
    {
        return last_starts_.next();
    }

    // Returns the number of waiting entries.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return entries_.size();
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return entries_.empty();
    }

private:
    // Services after which a class that waits is served, whatever the others.
    static constexpr std::uint32_t reserved_interval = 10;

    // Levels in the order of service.
    struct level_key
    {
        bool is_late = false;
        std::uint8_t priority = 0;

        friend auto operator<=>(level_key const&, level_key const&) = default;
    };

    struct level_row
    {
        fair_queue<row_id> queue;
        // Services of other classes since this one was last served.
        std::uint32_t passed_over = 0;
    };

    struct entry_row
    {
        level_key level;
        // The entry in the queue of its level.
        row_id position;
        entry_terms terms;
        Entry entry;
    };

    [[nodiscard]] level_key level_of(entry_terms const& terms,
                                     instant now) const
    {
        return {terms.target && *terms.target <= now,
                terms.priority.value_or(0)};
    }

    [[nodiscard]] std::size_t size_of(workspace_name const& workspace) const
    {
        std::size_t n = 0;
        for (auto const& [key, it] : levels_)
            n += it.queue.size_of(workspace);
        return n;
    }

    // Adds an entry to the queue of a level. The limits of entries and of
    // deadlines are checked for all levels together, so its queue has none.
    void push_at_level(level_key const& key, row_id id, instant now)
    {
        auto& row = *entries_.find(id);
        auto& queue =
            levels_
                .try_emplace(key, level_row{fair_queue<row_id>(unlimited()), 0})
                .first->second.queue;
        row.level = key;
        row.position =
            queue.push(row.terms.workspace, 1, never, id, now).value();
    }

    static fair_queue_settings unlimited()
    {
        fair_queue_settings out;
        out.entries_per_workspace = std::numeric_limits<std::size_t>::max();
        return out;
    }

    void remove_if_empty(level_key const& it)
    {
        auto const found = levels_.find(it);
        if (found != levels_.end() && found->second.queue.empty() &&
            levels_.size() > 1)
            levels_.erase(found);
    }

    // Removes an entry that its level no longer has.
    Entry take(row_id id)
    {
        auto& row = *entries_.find(id);
        auto out = std::move(row.entry);
        targets_.erase(id);
        last_starts_.erase(id);
        auto const level = row.level;
        entries_.erase(id);
        remove_if_empty(level);
        return out;
    }

    // Moves the entries whose target has passed to the late level of their
    // class.
    void move_late_entries(instant now)
    {
        while (auto const id = targets_.pop_due(now))
        {
            auto const& row = *entries_.find(*id);
            auto const before = row.level;
            levels_.at(before).queue.erase(row.position);
            push_at_level({true, before.priority}, *id, now);
            remove_if_empty(before);
        }
    }

    // Returns the levels in the order in which they are served next: first the
    // classes whose reserved service is due.
    [[nodiscard]] std::vector<level_key> serving_order() const
    {
        std::vector<level_key> out;
        out.reserve(levels_.size());
        for (auto const& [key, it] : levels_)
            out.push_back(key);
        std::stable_partition(
            out.begin(), out.end(),
            [this](level_key const& it)
            { return levels_.at(it).passed_over + 1 >= reserved_interval; });
        return out;
    }

    void count_service(level_key const& served)
    {
        for (auto& [key, it] : levels_)
            it.passed_over = key == served || key.is_late || it.queue.empty()
                                 ? 0
                                 : it.passed_over + 1;
    }

    // An entry with a priority counts half a round of the other workspaces, one
    // of which may be served before it.
    [[nodiscard]] static std::uint64_t
    cost_ahead_in(fair_queue<row_id> const& queue, entry_terms const& terms)
    {
        auto const round = terms.priority ? queue.active_workspaces() / 2 : 0;
        return std::min<std::uint64_t>(
            queue.waiting_cost(), queue.cost_ahead(terms.workspace) + round);
    }

    // Returns the cost that is served before an entry that is queued now.
    [[nodiscard]] std::uint64_t cost_ahead(entry_terms const& terms) const
    {
        level_key const own{false, terms.priority.value_or(0)};
        std::uint64_t higher = 0;
        std::uint64_t lower_classes = 0;
        std::uint64_t same = 0;
        for (auto const& [key, it] : levels_)
        {
            if (key.is_late)
                continue;
            if (key < own)
                higher += it.queue.waiting_cost();
            else if (key == own)
                same = cost_ahead_in(it.queue, terms);
            else
                lower_classes += it.queue.empty() ? 0 : 1;
        }
        auto const reserved = std::min<std::uint64_t>(lower_classes, 9);
        auto const in_order = (higher + same) * reserved_interval /
                              (reserved_interval - reserved);
        auto const by_share = (same + 1) * reserved_interval - 1;
        return std::min(in_order, by_share);
    }

    [[nodiscard]] duration time_of(std::uint64_t cost) const
    {
        return duration(static_cast<duration::rep>(static_cast<double>(cost) *
                                                   service_time_ / slots_));
    }

    // Returns when the service of an entry must start for it to be answered at
    // a time. The time for the service is limited: an average that is too long
    // is only corrected by further services.
    [[nodiscard]] instant last_start(instant answer, instant now) const
    {
        return answer -
               std::min(duration(static_cast<duration::rep>(service_time_)),
                        std::max((answer - now) / 4, duration{}));
    }

    fair_queue_settings settings_;
    double slots_;
    double service_time_ = 0;
    table<entry_row> entries_;
    std::map<level_key, level_row> levels_;
    // When the entries with a priority become late, and when they must have
    // been sent.
    deadline_queue<row_id> targets_;
    deadline_queue<row_id> last_starts_;
};

} // namespace basilreach::limits

#endif
