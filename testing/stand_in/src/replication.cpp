#include <basilreach/stand_in/replication.hpp>

#include <algorithm>
#include <utility>

namespace basilreach::stand_in
{

namespace
{

// Entries that every server holds before they are removed from the logs; a
// removal for each entry would cost more than the memory is worth.
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
    return log.empty() ? base_position_ : log.back().position;
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

replica_state const* replication::leader_of(std::size_t server) const
{
    auto const& follower = servers_[server];
    if (!follower.connected)
        return nullptr;
    replica_state const* leader = nullptr;
    for (auto const& it : servers_)
        if (it.connected && it.is_primary && it.term >= follower.term &&
            (leader == nullptr || it.term > leader->term))
            leader = &it;
    return leader == &follower ? nullptr : leader;
}

void replication::follow(replica_state& follower, replica_state const& leader)
{
    if (follower.is_primary)
        ++follower.demotions;
    follower.is_primary = false;
    follower.term = leader.term;
    // Two entries with equal positions have equal predecessors, because a term
    // has one primary. The first equal pair from the end is the common part.
    auto common = std::min(follower.log.size(), leader.log.size());
    while (common != 0 &&
           follower.log[common - 1].position != leader.log[common - 1].position)
        --common;
    if (common == follower.log.size())
        return;
    follower.log.resize(common);
    follower.data = base_;
    for (auto const& it : follower.log)
        follower.data.apply(*it.changes);
}

void replication::replicate(instant now)
{
    for (std::size_t n = 0; n != servers_.size(); ++n)
    {
        auto const* const leader = leader_of(n);
        if (leader == nullptr)
            continue;
        auto& follower = servers_[n];
        if (leader->term != follower.term)
            follow(follower, *leader);
        while (follower.log.size() < leader->log.size())
        {
            auto const& entry = leader->log[follower.log.size()];
            if (entry.committed + follower.lag > now)
                break;
            follower.data.apply(*entry.changes);
            follower.log.push_back(entry);
        }
    }
    trim();
}

instant replication::next_arrival() const
{
    instant next = never;
    for (std::size_t n = 0; n != servers_.size(); ++n)
    {
        auto const* const leader = leader_of(n);
        auto const& follower = servers_[n];
        if (leader == nullptr || (leader->term == follower.term &&
                                  follower.log.size() >= leader->log.size()))
            continue;
        // A later term is heard of at once; entries arrive after the lag.
        next = leader->term != follower.term
                   ? instant{}
                   : std::min(next, leader->log[follower.log.size()].committed +
                                        follower.lag);
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
        base_.apply(*log[n].changes);
    base_position_ = log[count - 1].position;
    for (auto& it : servers_)
        it.log.erase(it.log.begin(), it.log.begin() + kept);
}

} // namespace basilreach::stand_in
