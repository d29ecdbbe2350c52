#include <basilreach/consensus/replicated_log.hpp>

#include <algorithm>

namespace basilreach::consensus
{

namespace
{

bool is_change(entry_kind kind)
{
    return kind != entry_kind::no_op && kind != entry_kind::command;
}

} // namespace

replicated_log::replicated_log(snapshot base,
                               std::vector<log_entry> const& entries)
{
    reset(std::move(base));
    for (auto const& it : entries)
        append(it);
}

std::uint64_t replicated_log::last_index() const
{
    return base_->index + entries_.size();
}

std::uint64_t replicated_log::last_term() const
{
    return entries_.empty() ? base_->term : entries_.back().term;
}

std::optional<std::uint64_t> replicated_log::term_at(std::uint64_t n) const
{
    if (n == base_->index)
        return base_->term;
    if (n < base_->index || n > last_index())
        return std::nullopt;
    return at(n).term;
}

log_entry const& replicated_log::at(std::uint64_t n) const
{
    return entries_[n - base_->index - 1];
}

std::vector<log_entry> replicated_log::slice(std::uint64_t first,
                                             std::size_t max_entries,
                                             std::size_t max_bytes) const
{
    std::vector<log_entry> found;
    std::size_t bytes = 0;
    for (auto n = first; n <= last_index() && found.size() < max_entries; ++n)
    {
        bytes += at(n).payload.size();
        if (!found.empty() && bytes > max_bytes)
            break;
        found.push_back(at(n));
    }
    return found;
}

membership const& replicated_log::members_at(std::uint64_t n) const
{
    auto it = history_.rbegin();
    while (std::next(it) != history_.rend() && it->first > n)
        ++it;
    return it->second;
}

void replicated_log::append(log_entry entry)
{
    if (is_change(entry.kind))
        history_.emplace_back(entry.index, apply_change(members(), entry));
    entries_.push_back(std::move(entry));
}

void replicated_log::truncate_from(std::uint64_t first)
{
    while (last_index() >= first && !entries_.empty())
        entries_.pop_back();
    while (history_.size() > 1 && history_.back().first >= first)
        history_.pop_back();
}

void replicated_log::compact(snapshot base)
{
    base.members = members_at(base.index);
    while (!entries_.empty() && entries_.front().index <= base.index)
        entries_.pop_front();
    auto const kept =
        std::find_if(history_.begin(), history_.end(),
                     [&](auto const& it) { return it.first > base.index; });
    history_.erase(history_.begin(), kept);
    history_.emplace(history_.begin(), base.index, base.members);
    base_ = std::make_shared<snapshot const>(std::move(base));
}

void replicated_log::reset(snapshot base)
{
    entries_.clear();
    history_.assign(1, {base.index, base.members});
    base_ = std::make_shared<snapshot const>(std::move(base));
}

} // namespace basilreach::consensus
