#include <basilreach/resources/resource_budget.hpp>

#include <algorithm>

namespace basilreach::resources
{

namespace
{

// Held connections are read again when this fraction of hold_bytes is free, so
// that they are not held and resumed at every message.
constexpr std::size_t free_part_to_resume = 8;

} // namespace

budget_counts& budget_counts::operator+=(budget_counts const& it)
{
    bytes += it.bytes;
    held += it.held;
    for (std::size_t n = 0; n != closed.size(); ++n)
        closed[n] += it.closed[n];
    return *this;
}

resource_budget::resource_budget(budget_settings const& settings)
    : settings_(settings)
{
}

void resource_budget::begin_startup(connection_number connection, instant now)
{
    auto const deadline = now + settings_.startup_timeout;
    startups_.insert_or_assign(connection, deadline);
    startup_deadlines_.emplace(deadline, connection);
}

void resource_budget::end_startup(connection_number connection)
{
    auto const it = startups_.find(connection);
    if (it == startups_.end())
        return;
    startup_deadlines_.erase({it->second, connection});
    startups_.erase(it);
}

void resource_budget::record(connection_number connection, std::size_t bytes)
{
    auto it = usages_.find(connection);
    auto const before = it == usages_.end() ? 0 : it->second.bytes;
    if (before == bytes)
        return;
    has_changed_ = true;
    total_ = total_ - before + bytes;
    if (it == usages_.end())
        it = usages_.emplace(connection, usage{}).first;
    by_bytes_.erase({before, connection});
    it->second.bytes = bytes;
    if (bytes != 0)
        by_bytes_.emplace(bytes, connection);
    else if (!it->second.is_held)
        usages_.erase(it);
}

void resource_budget::remove(connection_number connection)
{
    end_startup(connection);
    record(connection, 0);
    auto const it = usages_.find(connection);
    if (it == usages_.end())
        return;
    release(it);
    usages_.erase(it);
}

budget_decision resource_budget::tick(instant now)
{
    budget_decision out;
    close_late_startups(now, out);
    close_long_held(now, out);
    if (!has_changed_)
        return out;
    close_largest(out);
    hold_largest(now, out);
    resume_others(out);
    has_changed_ = false;
    return out;
}

instant resource_budget::next_deadline() const
{
    auto out = instant::max();
    if (!startup_deadlines_.empty())
        out = startup_deadlines_.begin()->first;
    if (!held_.empty())
        out = std::min(out, held_.begin()->first + settings_.hold_timeout);
    return out;
}

budget_counts resource_budget::counts() const
{
    return {total_, held_.size(), closed_};
}

void resource_budget::close(connection_number connection,
                            close_reason reason,
                            budget_decision& out)
{
    auto const it = usages_.find(connection);
    auto const bytes = it == usages_.end() ? 0 : it->second.bytes;
    out.close.push_back({connection, reason, bytes});
    ++closed_[static_cast<std::size_t>(reason)];
    remove(connection);
}

void resource_budget::close_late_startups(instant now, budget_decision& out)
{
    while (!startup_deadlines_.empty() &&
           startup_deadlines_.begin()->first <= now)
        close(startup_deadlines_.begin()->second, close_reason::startup_timeout,
              out);
}

void resource_budget::close_long_held(instant now, budget_decision& out)
{
    while (!held_.empty() &&
           held_.begin()->first + settings_.hold_timeout <= now)
        close(held_.begin()->second, close_reason::hold_timeout, out);
}

void resource_budget::close_largest(budget_decision& out)
{
    while (is_over_limit() && !by_bytes_.empty())
        close(by_bytes_.rbegin()->second, close_reason::memory, out);
}

std::size_t resource_budget::fair_part() const
{
    return settings_.hold_bytes / std::max<std::size_t>(1, by_bytes_.size());
}

void resource_budget::hold_largest(instant now, budget_decision& out)
{
    if (total_ <= settings_.hold_bytes)
        return;
    auto const fair = fair_part();
    for (auto it = by_bytes_.rbegin();
         it != by_bytes_.rend() && it->first > fair; ++it)
    {
        auto& row = usages_.find(it->second)->second;
        if (row.is_held)
            continue;
        row.is_held = true;
        row.held_since = now;
        held_.emplace(now, it->second);
        out.hold.push_back(it->second);
    }
}

// While the budget is short, only those that have come down to their fair part
// are resumed.
void resource_budget::resume_others(budget_decision& out)
{
    bool const has_room =
        total_ <=
        settings_.hold_bytes - settings_.hold_bytes / free_part_to_resume;
    auto const fair = fair_part();
    auto const held = held_;
    for (auto const& [since, connection] : held)
    {
        auto const it = usages_.find(connection);
        if (!has_room && it->second.bytes > fair)
            continue;
        out.resume.push_back(connection);
        release(it);
        if (it->second.bytes == 0)
            usages_.erase(it);
    }
}

void resource_budget::release(usage_table::iterator it)
{
    if (!it->second.is_held)
        return;
    held_.erase({it->second.held_since, it->first});
    it->second.is_held = false;
}

} // namespace basilreach::resources
