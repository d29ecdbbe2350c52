#include <basilreach/stand_in/replication.hpp>

#include <algorithm>
#include <utility>

namespace basilreach::stand_in
{

namespace
{

// Number of entries that every server must have before they are removed from
// the logs. Removing each entry on its own costs more time than the memory is
// worth.
constexpr std::uint64_t trim_batch = 4096;

} // namespace

replication::replication(std::size_t servers, duration lag) : servers_(servers)
{
    for (auto& it : servers_)
        it.lag = lag;
    servers_.front().is_primary = true;
}

void replication::set_lag(std::size_t server, duration lag)
{
    servers_[server].lag = lag;
}

void replication::set_connected(std::size_t server, bool connected)
{
    servers_[server].connected = connected;
}

log_position replication::position(std::size_t server) const
{
    auto const& log = servers_[server].log;
    return log.empty() ? snapshot_position_ : log.back().position;
}

void replication::commit(std::size_t server,
                         std::vector<operation> changes,
                         instant now)
{
    auto& it = servers_[server];
    it.data.apply(changes);
    it.log.push_back(
        {{it.term, position(server).offset + 1},
         now,
         std::make_shared<std::vector<operation> const>(std::move(changes))});
}

bool replication::promote(std::size_t server, std::uint64_t term, instant now)
{
    auto& it = servers_[server];
    if (term == it.term)
        return it.is_primary;
    if (term < it.term)
        return false;
    it.term = term;
    it.is_primary = true;
    commit(server, {}, now);
    return true;
}

replica_state const* replication::primary_for(std::size_t server) const
{
    auto const& replica = servers_[server];
    if (!replica.connected)
        return nullptr;
    replica_state const* primary = nullptr;
    for (auto const& it : servers_)
        if (it.connected && it.is_primary && it.term >= replica.term &&
            (primary == nullptr || it.term > primary->term))
            primary = &it;
    return primary == &replica ? nullptr : primary;
}

void replication::switch_primary(replica_state& replica,
                                 replica_state const& primary)
{
    if (replica.is_primary)
        ++replica.demotions;
    replica.is_primary = false;
    replica.term = primary.term;
    // A term has only one primary, so logs that agree on the position of an
    // entry agree on all entries before it. The common part therefore ends at
    // the last pair of entries with equal positions.
    auto common = std::min(replica.log.size(), primary.log.size());
    while (common != 0 &&
           replica.log[common - 1].position != primary.log[common - 1].position)
        --common;
    if (common == replica.log.size())
        return;
    replica.log.resize(common);
    replica.data = snapshot_;
    for (auto const& it : replica.log)
        replica.data.apply(*it.changes);
}

void replication::replicate(instant now)
{
    for (std::size_t n = 0; n != servers_.size(); ++n)
    {
        auto const* const primary = primary_for(n);
        if (primary == nullptr)
            continue;
        auto& replica = servers_[n];
        if (primary->term != replica.term)
            switch_primary(replica, *primary);
        while (replica.log.size() < primary->log.size())
        {
            auto const& entry = primary->log[replica.log.size()];
            if (entry.committed + replica.lag > now)
                break;
            replica.data.apply(*entry.changes);
            replica.log.push_back(entry);
        }
    }
    trim();
}

instant replication::next_arrival() const
{
    instant next = never;
    for (std::size_t n = 0; n != servers_.size(); ++n)
    {
        auto const* const primary = primary_for(n);
        auto const& replica = servers_[n];
        if (primary == nullptr || (primary->term == replica.term &&
                                   replica.log.size() >= primary->log.size()))
            continue;
        // A replica learns of a later term at once, and of entries after its
        // lag.
        next = primary->term != replica.term
                   ? instant{}
                   : std::min(next, primary->log[replica.log.size()].committed +
                                        replica.lag);
    }
    return next;
}

void replication::trim()
{
    std::size_t count = servers_.front().log.size();
    for (auto const& it : servers_)
    {
        if (it.term != servers_.front().term)
            return;
        count = std::min(count, it.log.size());
    }
    if (count < trim_batch)
        return;
    auto const& log = servers_.front().log;
    auto const kept = static_cast<std::ptrdiff_t>(count);
    for (std::size_t n = 0; n != count; ++n)
        snapshot_.apply(*log[n].changes);
    snapshot_position_ = log[count - 1].position;
    for (auto& it : servers_)
        it.log.erase(it.log.begin(), it.log.begin() + kept);
}

} // namespace basilreach::stand_in
