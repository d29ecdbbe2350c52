#ifndef BASILREACH_LIMITS_FAIR_QUEUE_HPP
#define BASILREACH_LIMITS_FAIR_QUEUE_HPP

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/result.hpp>
#include <basilreach/base/table.hpp>

namespace basilreach::limits
{

struct fair_queue_settings
{
    // Maximum number of waiting entries of one workspace.
    std::size_t entries_per_workspace = 1000;
    // Number of entries that are served at the same time.
    std::uint32_t slots = 3;

    friend auto operator<=>(fair_queue_settings const&,
                            fair_queue_settings const&) = default;
};

// Why an entry was not queued.
enum class queue_refusal : std::uint8_t
{
    queue_full,
    // The estimated wait ends after the deadline.
    deadline_too_near
};

// Start-time fair queueing of entries by cost among workspaces. Every operation
// takes O(log n) for n waiting entries.
template <class Entry>
class fair_queue
{
public:
    explicit fair_queue(fair_queue_settings settings)
        : settings_(settings), slots_(settings.slots)
    {
    }

    // Queues an entry with a cost above 0.
    result<row_id, queue_refusal> push(workspace_name const& workspace,
                                       std::uint64_t cost,
                                       instant deadline,
                                       Entry entry,
                                       instant now)
    {
        auto& it = workspaces_[workspace];
        if (it.waiting.size() >= settings_.entries_per_workspace)
            return queue_refusal::queue_full;
        // If no entry of the workspace waits, the estimate is 0 and only a
        // deadline that has passed is refused here.
        if (deadline <= now || estimate(it) > deadline - now)
            return queue_refusal::deadline_too_near;
        auto const id =
            entries_.insert({workspace, cost, {}, std::move(entry)});
        entries_.find(id)->position = it.waiting.insert(it.waiting.end(), id);
        it.cost += cost;
        waiting_cost_ += cost;
        if (it.waiting.size() == 1)
        {
            it.start = std::max(it.start, virtual_time_);
            it.order = ++order_;
            heads_.insert({it.start, it.order, workspace});
        }
        deadlines_.set(id, deadline);
        return id;
    }

    // Removes and returns the next entry to serve, if any waits.
    std::optional<Entry> pop()
    {
        if (heads_.empty())
            return std::nullopt;
        auto& it = workspaces_.at(heads_.begin()->workspace);
        auto const id = it.waiting.front();
        virtual_time_ = it.start;
        return remove_entry(id, entries_.find(id)->cost);
    }

    // Removes and returns the next entry among the workspaces that can be
    // served now, if any waits.
    template <class Predicate>
    std::optional<Entry> pop_if(Predicate can_serve)
    {
        auto const next = std::find_if(heads_.begin(), heads_.end(),
                                       [&](head const& it)
                                       { return can_serve(it.workspace); });
        if (next == heads_.end())
            return std::nullopt;
        auto& it = workspaces_.at(next->workspace);
        auto const id = it.waiting.front();
        virtual_time_ = std::max(virtual_time_, it.start);
        return remove_entry(id, entries_.find(id)->cost);
    }

    // Calls f(workspace, number of its entries) for each workspace with
    // entries, in the order in which they are served.
    template <class Function>
    void for_each_workspace(Function f) const
    {
        for (auto const& it : heads_)
            f(it.workspace, workspaces_.at(it.workspace).waiting.size());
    }

    // Removes an entry that need not be served, and returns it if it was still
    // waiting.
    std::optional<Entry> erase(row_id id)
    {
        if (entries_.find(id) == nullptr)
            return std::nullopt;
        return remove_entry(id, 0);
    }

    // Removes and returns the entries whose deadline has passed.
    std::vector<Entry> tick(instant now)
    {
        std::vector<Entry> expired;
        while (auto const id = deadlines_.pop_due(now))
            expired.push_back(remove_entry(*id, 0));
        return expired;
    }

    // Records how long the service of an entry took, for the estimated wait.
    void record_service(std::uint64_t cost, duration time)
    {
        auto const sample =
            static_cast<double>(time.count()) / static_cast<double>(cost);
        // The weight of the exponential average covers about 32 services.
        time_per_cost_ += (sample - time_per_cost_) / 32;
    }

    // Sets the number of entries that are served at the same time.
    void set_slots(double slots)
    {
        slots_ = slots;
    }

    // Returns the wait expected of an entry that a workspace queues now.
    [[nodiscard]] duration estimated_wait(workspace_name const& workspace) const
    {
        auto const it = workspaces_.find(workspace);
        return estimate(it == workspaces_.end() ? backlog{} : it->second);
    }

    // Returns the cost that is served before an entry that a workspace queues
    // now, as in estimated_wait().
    [[nodiscard]] std::uint64_t
    cost_ahead(workspace_name const& workspace) const
    {
        auto const it = workspaces_.find(workspace);
        return cost_ahead(it == workspaces_.end() ? backlog{} : it->second);
    }

    // Returns the number of waiting entries of a workspace.
    [[nodiscard]] std::size_t size_of(workspace_name const& workspace) const
    {
        auto const it = workspaces_.find(workspace);
        return it == workspaces_.end() ? 0 : it->second.waiting.size();
    }

    // Returns the number of workspaces with waiting entries.
    [[nodiscard]] std::size_t active_workspaces() const noexcept
    {
        return heads_.size();
    }

    // Returns the cost of all waiting entries.
    [[nodiscard]] std::uint64_t waiting_cost() const noexcept
    {
        return waiting_cost_;
    }

    // Returns the earliest deadline of a waiting entry.
    [[nodiscard]] instant next_deadline() const
    {
        return deadlines_.next();
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
    struct row
    {
        workspace_name workspace;
        std::uint64_t cost;
        std::list<row_id>::iterator position;
        Entry entry;
    };

    // The entries of one workspace in order of arrival. Only the first has a
    // start tag, so that the workspace is not charged for entries behind it
    // that are removed unserved.
    struct backlog
    {
        std::list<row_id> waiting;
        std::uint64_t cost = 0;
        // Start tag of the first entry.
        std::uint64_t start = 0;
        std::uint64_t order = 0;
    };

    // The first entry of a workspace; equal start tags are served in `order`.
    struct head
    {
        std::uint64_t start;
        std::uint64_t order;
        workspace_name workspace;

        friend auto operator<=>(head const&, head const&) = default;
    };

    // Removes an entry and charges its workspace the cost that was served.
    Entry remove_entry(row_id id, std::uint64_t charged_cost)
    {
        auto& from = *entries_.find(id);
        auto& it = workspaces_.at(from.workspace);
        bool const first = from.position == it.waiting.begin();
        it.waiting.erase(from.position);
        it.cost -= from.cost;
        waiting_cost_ -= from.cost;
        if (first)
        {
            heads_.erase({it.start, it.order, from.workspace});
            it.start += charged_cost;
            it.order = ++order_;
            if (!it.waiting.empty())
                heads_.insert({it.start, it.order, from.workspace});
        }
        deadlines_.erase(id);
        Entry entry = std::move(from.entry);
        entries_.erase(id);
        return entry;
    }

    // While the backlog of a workspace is served, each other workspace receives
    // at most the same service, and all together at most what is waiting.
    [[nodiscard]] std::uint64_t cost_ahead(backlog const& it) const
    {
        auto const active = heads_.size() + (it.waiting.empty() ? 1 : 0);
        return std::min(waiting_cost_, it.cost * active);
    }

    [[nodiscard]] duration estimate(backlog const& it) const
    {
        return duration(static_cast<duration::rep>(
            static_cast<double>(cost_ahead(it)) * time_per_cost_ / slots_));
    }

    fair_queue_settings settings_;
    double slots_;
    table<row> entries_;
    std::map<workspace_name, backlog> workspaces_;
    std::set<head> heads_;
    deadline_queue<row_id> deadlines_;
    std::uint64_t virtual_time_ = 0;
    std::uint64_t order_ = 0;
    std::uint64_t waiting_cost_ = 0;
    double time_per_cost_ = 0;
};

} // namespace basilreach::limits

#endif
