#include <basilreach/dispatch/holder_table.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "ranking.hpp"

namespace basilreach::dispatch
{

namespace
{

using std::chrono::milliseconds;

// A statement is not passed further down the ranks: the lower they are, the
// less likely is a holder with connections and tokens of the workspace.
constexpr std::size_t ranks_tried = 3;
constexpr duration quiet_time = milliseconds{100};
constexpr duration probe_timeout = milliseconds{150};
constexpr duration first_pause = milliseconds{500};
constexpr std::uint32_t max_doublings = 4;
// After this time without an outcome, another statement is the trial: the
// earlier one may never have been sent.
constexpr duration trial_time = milliseconds{500};
// Bounds the memory for keys that are no longer in use.
constexpr std::size_t max_cached_ranks = 16384;

duration pause_after(std::uint32_t failures)
{
    return first_pause * (1U << std::min(failures - 1, max_doublings));
}

} // namespace

holder_table::holder_table(daemon_name self) : self_(std::move(self))
{
}

void holder_table::set_members(member_map members, instant /*now*/)
{
    if (!has_same_places(members))
    {
        ranks_.clear();
        candidates_.clear();
        for (auto const& [name, it] : members)
            candidates_[it.data_centre].push_back(name);
    }
    for (auto const& [name, it] : members_)
        if (!members.contains(name))
        {
            auto const id = by_name_.at(name);
            rows_.find(id)->is_member = false;
            erase_if_unused(id);
        }
    for (auto const& [name, it] : members)
        add_member(name, it);
    members_ = std::move(members);
}

// Returns whether the ranks stay as they are: they do not depend on addresses.
bool holder_table::has_same_places(member_map const& members) const
{
    return std::equal(
        members.begin(), members.end(), members_.begin(), members_.end(),
        [](auto const& left, auto const& right)
        {
            return left.first == right.first &&
                   left.second.data_centre == right.second.data_centre;
        });
}

// Adds a row for a new member, and forgets the failures of one that is now
// reached at another address.
void holder_table::add_member(daemon_name const& name, member const& it)
{
    auto* known = find(name);
    if (known == nullptr)
    {
        row added;
        added.name = name;
        by_name_[name] = rows_.insert(std::move(added));
        return;
    }
    auto const before = members_.find(name);
    known->is_member = true;
    if (before != members_.end() && before->second.address == it.address)
        return;
    known->failures = 0;
    known->usable_at = {};
    known->is_on_trial = false;
}

std::optional<daemon_name> holder_table::choose(
    placement_key const& key, data_centre_name const& data_centre, instant now)
{
    for (auto const& name : ranks(key, data_centre))
    {
        if (name == self_)
            return std::nullopt;
        auto* it = find(name);
        if (now < it->usable_at)
            continue;
        if (it->failures > 0)
        {
            it->is_on_trial = true;
            it->usable_at = now + trial_time;
        }
        return name;
    }
    return std::nullopt;
}

void holder_table::record_sent(daemon_name const& daemon, instant now)
{
    auto* it = find(daemon);
    if (it == nullptr)
        return;
    ++it->outstanding;
    if (!it->is_watched)
        watch(*it, now);
}

void holder_table::record_received(daemon_name const& daemon, instant now)
{
    auto* it = find(daemon);
    if (it == nullptr)
        return;
    it->failures = 0;
    it->usable_at = now;
    it->is_on_trial = false;
    if (it->outstanding > 0)
        watch(*it, now);
}

void holder_table::record_settled(daemon_name const& daemon)
{
    auto* it = find(daemon);
    if (it == nullptr || it->outstanding == 0)
        return;
    if (--it->outstanding > 0)
        return;
    stop_watching(*it);
    erase_if_unused(by_name_.at(daemon));
}

void holder_table::record_failure(daemon_name const& daemon, instant now)
{
    if (auto* it = find(daemon))
        fail(*it, now);
}

holder_events holder_table::tick(instant now)
{
    holder_events events;
    while (auto const id = due_.pop_due(now))
    {
        auto& it = *rows_.find(*id);
        if (it.is_probed)
        {
            events.silent.push_back(it.name);
            fail(it, now);
            continue;
        }
        it.is_probed = true;
        due_.set(*id, now + probe_timeout);
        events.probes.push_back(it.name);
    }
    return events;
}

instant holder_table::next_deadline() const
{
    return due_.next();
}

holder_table::row* holder_table::find(daemon_name const& daemon)
{
    auto const it = by_name_.find(daemon);
    return it == by_name_.end() ? nullptr : rows_.find(it->second);
}

// Erases the row of a daemon that is no member any more and at which nothing is
// outstanding.
void holder_table::erase_if_unused(row_id id)
{
    auto const& it = *rows_.find(id);
    if (it.is_member || it.outstanding > 0)
        return;
    by_name_.erase(it.name);
    rows_.erase(id);
}

// Starts to wait for a message from the daemon.
void holder_table::watch(row& it, instant now)
{
    it.is_watched = true;
    it.is_probed = false;
    due_.set(by_name_.at(it.name), now + quiet_time);
}

void holder_table::stop_watching(row& it)
{
    it.is_watched = false;
    it.is_probed = false;
    due_.erase(by_name_.at(it.name));
}

void holder_table::fail(row& it, instant now)
{
    stop_watching(it);
    if (now < it.usable_at && !it.is_on_trial)
        return;
    ++it.failures;
    it.is_on_trial = false;
    it.usable_at = now + pause_after(it.failures);
}

std::vector<daemon_name> const&
holder_table::ranks(placement_key const& key,
                    data_centre_name const& data_centre)
{
    cache_key at{data_centre, key};
    auto const known = ranks_.find(at);
    if (known != ranks_.end())
        return known->second;
    if (ranks_.size() >= max_cached_ranks)
        ranks_.clear();
    auto first =
        detail::first_ranks(candidates_[data_centre], key, ranks_tried);
    return ranks_.emplace(std::move(at), std::move(first)).first->second;
}

} // namespace basilreach::dispatch
