#include <basilreach/daemon/update_feed.hpp>

#include <algorithm>

namespace basilreach::daemon
{

namespace
{

// Limit of the number of retained commands. The limit in bytes does not bound
// it, as that limit counts the texts of rules only.
constexpr std::size_t max_retained_commands = 1000;

std::size_t size_of(control::command const& it)
{
    if (auto const* rules = std::get_if<control::apply_rules>(&it.body))
        return rules->text.size();
    if (auto const* rules = std::get_if<control::offer_rules>(&it.body))
        return rules->text.size();
    return 0;
}

} // namespace

void update_feed::record(std::uint64_t index, control::command const& it)
{
    retained_commands_.push_back({index, it});
    retained_bytes_ += size_of(it);
    while (retained_commands_.size() > max_retained_commands ||
           retained_bytes_ > max_retained_bytes)
    {
        retained_bytes_ -= size_of(retained_commands_.front().entry);
        retained_commands_.pop_front();
    }
}

void update_feed::clear()
{
    retained_commands_.clear();
    retained_bytes_ = 0;
}

void update_feed::subscribe(link_id link, std::uint64_t revision)
{
    subscribers_[link] = revision;
}

std::vector<std::pair<link_id, messages::state_update>>
update_feed::collect_updates(control::control_state const& state)
{
    std::vector<std::pair<link_id, messages::state_update>> out;
    for (auto& [link, revision] : subscribers_)
    {
        if (revision >= state.revision())
            continue;
        out.emplace_back(link, make_update(state, revision));
        revision = state.revision();
        ++counts_.updates;
        if (out.back().second.snapshot)
            ++counts_.snapshots;
    }
    return out;
}

messages::state_update
update_feed::make_update(control::control_state const& state,
                         std::uint64_t after) const
{
    messages::state_update out;
    out.after = after;
    bool const has_gap = retained_commands_.empty() ||
                         retained_commands_.front().index > after + 1;
    if (has_gap)
        out.snapshot = state.parts();
    else
        std::copy_if(retained_commands_.begin(), retained_commands_.end(),
                     std::back_inserter(out.commands),
                     [after](auto const& it) { return it.index > after; });
    return out;
}

} // namespace basilreach::daemon
