#include <basilreach/daemon/update_feed.hpp>

#include <algorithm>

namespace basilreach::daemon
{

namespace
{

// Time that the control host is given for one update: the subscriber answers it
// with a request for the next one and a confirmation. Without a pause, changes
// in quick succession were sent to all daemons one by one, and the leader had
// no time left for its heartbeats.
constexpr duration time_per_update = std::chrono::microseconds(500);

} // namespace

void update_feed::record(control::control_state const& state)
{
    auto const& parts = state.parts();
    if (parts.rules_version == 0 ||
        (!retained_.empty() && retained_.back().version == parts.rules_version))
        return;
    retained_.push_back({parts.rules_version, parts.rules_text});
    retained_bytes_ += parts.rules_text.size();
    while (retained_bytes_ > max_retained_bytes && retained_.size() > 1)
    {
        retained_bytes_ -= retained_.front().text.size();
        retained_.pop_front();
    }
}

void update_feed::subscribe(link_id link, messages::subscribe const& it)
{
    auto const [row, is_new] = subscribers_.try_emplace(link);
    // A copy of an earlier request: its update waits or is on its way.
    if (!is_new && it.updates_handled <= row->second.updates_handled)
        return;
    remove(link);
    position const has{it.revision, it.rules_version};
    subscribers_[link] = {has, it.updates_handled};
    waiting_[has].insert(link);
}

void update_feed::remove(link_id link)
{
    auto const row = subscribers_.find(link);
    if (row == subscribers_.end())
        return;
    if (auto const found = waiting_.find(row->second.has);
        found != waiting_.end())
    {
        found->second.erase(link);
        if (found->second.empty())
            waiting_.erase(found);
    }
    subscribers_.erase(row);
}

std::vector<outgoing_update>
update_feed::collect_updates(control::control_state const& state, instant now)
{
    std::vector<outgoing_update> out;
    if (now < next_collection_)
        return out;
    while (is_update_awaited(state))
    {
        auto const [has, links] = *waiting_.begin();
        waiting_.erase(waiting_.begin());
        out.push_back(
            {state.changes_after(has.first, has.second, text_of(has.second)),
             {links.begin(), links.end()}});
        next_collection_ =
            std::max(next_collection_, now) +
            time_per_update * static_cast<duration::rep>(links.size());
        counts_.updates += links.size();
        if (has.first == 0)
            counts_.snapshots += links.size();
    }
    return out;
}

bool update_feed::is_update_awaited(control::control_state const& state) const
{
    return !waiting_.empty() &&
           waiting_.begin()->first.first < state.revision();
}

instant update_feed::next_deadline(control::control_state const& state) const
{
    return is_update_awaited(state) ? next_collection_ : never;
}

std::string_view update_feed::text_of(std::uint64_t version) const
{
    auto const found = std::find_if(retained_.begin(), retained_.end(),
                                    [version](retained_rules const& it)
                                    { return it.version == version; });
    return found == retained_.end() ? std::string_view() : found->text;
}

} // namespace basilreach::daemon
