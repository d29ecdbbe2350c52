#include <basilreach/control/server_monitor.hpp>

#include <algorithm>
#include <utility>

namespace basilreach::control
{

namespace
{

bool is_unchanged(server_report const& it, server_entry const& known)
{
    return !known.is_removed && known.incarnation == it.incarnation &&
           known.group == it.group && known.data_centre == it.data_centre &&
           known.address == it.address && known.role == it.role &&
           known.is_leaving == it.is_leaving;
}

command_body to_command(server_report const& it)
{
    return announce_server{it.server,  it.group,     it.data_centre,
                           it.address, it.sequence,  it.incarnation,
                           it.role,    it.is_leaving};
}

} // namespace

server_monitor::server_monitor(control_state const& state,
                               monitor_settings settings,
                               instant started)
    : state_(state), settings_(settings), started_(started)
{
    for (auto const& [server, entry] : state.parts().servers)
        if (!entry.is_removed)
            deadlines_.set(server, started + settings_.report_timeout);
}

std::optional<command_body> server_monitor::receive(server_report const& it,
                                                    instant now)
{
    auto& known = rows_[it.server];
    auto const report_version = std::pair(it.incarnation, it.sequence);
    if (report_version < std::pair(known.incarnation, known.sequence))
        return std::nullopt;
    known = {it.incarnation, it.sequence, now};
    deadlines_.set(it.server, now + settings_.report_timeout);
    auto const* const entry = state_.find(it.server);
    if (entry == nullptr)
        return to_command(it);
    if (report_version < std::pair(entry->incarnation, entry->sequence))
        return std::nullopt;
    if (!is_unchanged(it, *entry))
        return to_command(it);
    if (entry->health == verdict::down && is_monitored(it.server))
        return report_verdict{it.server, entry->verdict_sequence + 1,
                              verdict::up};
    return std::nullopt;
}

std::optional<command_body> server_monitor::remove(server_name const& it) const
{
    auto const* const entry = state_.find(it);
    if (entry == nullptr || entry->is_removed)
        return std::nullopt;
    auto const known = rows_.find(it);
    auto const sequence = std::max(
        entry->sequence,
        known == rows_.end() || known->second.incarnation != entry->incarnation
            ? 0
            : known->second.sequence);
    return remove_server{it, sequence + 1, entry->incarnation};
}

std::vector<command_body> server_monitor::tick(instant now)
{
    std::vector<command_body> out;
    while (auto const server = deadlines_.pop_due(now))
    {
        if (auto it = check_health(*server, now))
            out.push_back(std::move(*it));
    }
    return out;
}

bool server_monitor::receive(reach_report const& it, instant now)
{
    auto& daemons = unreachable_reports_[it.server];
    if (it.is_reachable)
        return daemons.erase(it.daemon) > 0;
    bool const is_new = daemons.insert_or_assign(it.daemon, now).second;
    auto const due =
        last_report_time(it.server) + settings_.report_timeout_if_unreachable;
    if (is_unreachable_from_most_daemons(it.server, now))
        deadlines_.set(it.server,
                       std::max({due, now, rows_[it.server].next_proposal}));
    return is_new;
}

instant server_monitor::last_report_time(server_name const& it) const
{
    auto const known = rows_.find(it);
    return known == rows_.end() ? started_
                                : std::max(known->second.last_report, started_);
}

bool server_monitor::is_unreachable_from_most_daemons(server_name const& it,
                                                      instant now) const
{
    auto const daemons = unreachable_reports_.find(it);
    if (daemons == unreachable_reports_.end())
        return false;
    auto const& known = state_.parts().daemons;
    auto const count = std::count_if(
        daemons->second.begin(), daemons->second.end(),
        [&](auto const& unreachable)
        {
            return known.contains(unreachable.first) &&
                   now < unreachable.second + settings_.reach_report_lifetime;
        });
    return 2 * static_cast<std::size_t>(count) > known.size();
}

std::optional<command_body> server_monitor::check_health(server_name const& it,
                                                         instant now)
{
    auto const* const entry = state_.find(it);
    if (entry == nullptr || entry->is_removed || !is_monitored(it) ||
        entry->health == verdict::down)
        return std::nullopt;
    auto const deadline = last_report_time(it) + settings_.report_timeout;
    // The reports of daemons that brought the deadline forward may have expired
    // or been withdrawn.
    if (now < deadline && !is_unreachable_from_most_daemons(it, now))
    {
        deadlines_.set(it, deadline);
        return std::nullopt;
    }
    auto const next = now + settings_.retry;
    rows_[it].next_proposal = next;
    deadlines_.set(it, next);
    return report_verdict{it, entry->verdict_sequence + 1, verdict::down};
}

bool server_monitor::is_monitored(server_name const& it) const
{
    return state_.is_server_checked(state_.find(it)->group);
}

} // namespace basilreach::control
