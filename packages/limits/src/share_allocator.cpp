#include <basilreach/limits/share_allocator.hpp>

#include <algorithm>
#include <utility>

namespace basilreach::limits
{

namespace
{

// Minimum time between two connections that move from one busy holder to
// another. Opening a connection costs 10 or 25 ms at the daemon and at the
// server.
constexpr duration rebalance_interval = std::chrono::milliseconds(50);

// Minimum time between two connections that are taken from holders for others
// without any. It covers the round trip until the first holder has reported
// what it wants now.
constexpr duration rotation_interval = std::chrono::milliseconds(10);

} // namespace

share_allocator::share_allocator(share_allocator_settings settings,
                                 std::uint64_t term,
                                 instant now)
    : settings_(settings), term_(term), started_(now),
      recovery_end_(now + with_clock_margin(settings.lifetime) +
                    settings.lost_host_hold)
{
}

void share_allocator::assume_no_earlier_grants(instant now)
{
    recovery_end_ = now;
    no_earlier_grants_ = true;
}

void share_allocator::configure(server_name const& name,
                                std::uint32_t limit,
                                instant now,
                                limit_check check)
{
    auto const found = by_name_.find(name);
    if (found != by_name_.end())
    {
        servers_.find(found->second)->limit = grantable_limit(limit, check);
        servers_.find(found->second)->check = check;
        changed_.insert(found->second);
        return;
    }
    server row;
    row.name = name;
    row.limit = grantable_limit(limit, check);
    row.check = check;
    auto const id = servers_.insert(std::move(row));
    by_name_.emplace(name, id);
    auto const recovery_end =
        check == limit_check::server
            ? std::min(recovery_end_,
                       started_ + settings_.server_checked_recovery_time)
            : recovery_end_;
    recoveries_.set(id, std::max(recovery_end, now));
}

void share_allocator::remove_server(server_name const& name)
{
    auto const found = by_name_.find(name);
    if (found == by_name_.end())
        return;
    for (auto const& [holder, id] : servers_.find(found->second)->allocations)
    {
        expiries_.erase(id);
        abandoned_expiries_.erase(id);
        allocations_.erase(id);
    }
    recoveries_.erase(found->second);
    reclaims_.erase(found->second);
    servers_.erase(found->second);
    by_name_.erase(found);
}

void share_allocator::register_holder(daemon_name const& holder,
                                      instant /*now*/)
{
    holders_.insert(holder);
}

void share_allocator::remove_holder(daemon_name const& holder, instant now)
{
    if (holders_.erase(holder) == 0)
        return;
    renewals_.erase(holder);
    unanswered_renewals_.erase(holder);
    for (auto const& [name, id] : by_name_)
    {
        auto& it = *servers_.find(id);
        changed_.insert(id);
        auto const found = it.allocations.find(holder);
        if (found == it.allocations.end())
            continue;
        auto& row = *allocations_.find(found->second);
        it.settled -= row.is_settled ? 1 : 0;
        row.acknowledged_share = row.open = row.wanted = row.abandoned = 0;
        row.unacknowledged.clear();
        set_share(it, found->second, 0, now);
        it.by_share.erase({0, found->second});
        it.held.erase({row.held_since, found->second});
        it.unanswered.erase(found->second);
        expiries_.erase(found->second);
        abandoned_expiries_.erase(found->second);
        allocations_.erase(found->second);
        it.allocations.erase(found);
    }
}

void share_allocator::set_leader_until(instant until)
{
    leader_until_ = until;
}

void share_allocator::receive(share_request const& request, instant now)
{
    auto const found_server = by_name_.find(request.server);
    if (found_server == by_name_.end() || !holders_.contains(request.holder))
        return;
    expire_allocations(now);
    auto const id =
        find_or_add_allocation(found_server->second, request.holder);
    auto& it = *servers_.find(found_server->second);
    auto& from = *allocations_.find(id);
    if (request.incarnation < from.incarnation ||
        (request.incarnation == from.incarnation &&
         request.sequence <= from.sequence))
        return;
    if (request.incarnation > from.incarnation)
    {
        handle_restart(it, id, from, now);
        from.incarnation = request.incarnation;
    }
    from.sequence = request.sequence;
    from.echo = request.sent;
    from.wanted = request.wanted;
    if (request.last_grant.term == term_ &&
        request.last_grant.number >= from.first_valid_grant)
        apply_report(it, id, from, request, now);
    update_derived(it, id, from, now);
    it.unanswered.insert(id);
    changed_.insert(found_server->second);
}

void share_allocator::receive(share_renewal const& renewal, instant now)
{
    if (!holders_.contains(renewal.holder) || renewal.term != term_)
        return;
    // Shares that have expired by now are not renewed.
    expire_allocations(now);
    auto& last = renewals_[renewal.holder];
    if (renewal.incarnation < last.incarnation ||
        (renewal.incarnation == last.incarnation && renewal.sent <= last.sent))
        return;
    last = {renewal.incarnation, renewal.sent,
            now + with_clock_margin(settings_.lifetime) +
                settings_.lost_host_hold};
    unanswered_renewals_.insert(renewal.holder);
}

std::vector<share_renewal_grant> share_allocator::tick_renewals(instant now)
{
    std::vector<share_renewal_grant> out;
    if (now >= leader_until_)
        return out;
    for (auto const& holder : std::exchange(unanswered_renewals_, {}))
    {
        auto const& last = renewals_.at(holder);
        out.push_back(
            {holder, last.incarnation, term_, last.sent, settings_.lifetime});
    }
    return out;
}

// Returns until when a share is valid by its holder's last renewal. Renewals
// are applied when a share would expire, so that one costs the same for any
// number of shares.
instant share_allocator::renewed_until(allocation const& it) const
{
    auto const found = renewals_.find(it.holder);
    bool const is_renewed = found != renewals_.end() && it.reported &&
                            found->second.incarnation == it.incarnation;
    return is_renewed ? found->second.until : instant{};
}

// Connections of the earlier process may still be open at the server. They stay
// counted until the process's share has expired and lost_host_hold has passed.
void share_allocator::handle_restart(server& it,
                                     row_id id,
                                     allocation& from,
                                     instant now)
{
    // A server that checks its limit refuses a connection too many if it has
    // not yet closed those of the earlier process.
    from.abandoned = it.check == limit_check::server ? 0 : from.counted;
    // The base has no expiry, so its connection may have been open until now.
    auto const until =
        std::max({from.expiry, recovery_end_, now + settings_.lost_host_hold});
    abandoned_expiries_.set(id, until);
    from.first_valid_grant = from.number + 1;
    from.acknowledged_share = 0;
    from.open = 0;
    from.unacknowledged.clear();
    set_share(it, id, 0, now);
}

void share_allocator::apply_report(server& it,
                                   row_id id,
                                   allocation& from,
                                   share_request const& request,
                                   instant now)
{
    while (!from.unacknowledged.empty() &&
           from.unacknowledged.front().number <= request.last_grant.number)
    {
        from.acknowledged_share = from.unacknowledged.front().share;
        from.unacknowledged.pop_front();
    }
    from.open = request.open;
    if (!from.reported)
    {
        // During the recovery, the share was granted in the earlier term, which
        // kept the sum of all shares within the limit. After the recovery, that
        // share has expired but for its base. Where the server checks the
        // limit, shares do not expire.
        auto const adopted = it.recovering || it.check == limit_check::server
                                 ? request.share
                                 : std::min(request.share, 1U);
        from.reported = true;
        from.acknowledged_share = adopted;
        set_share(it, id, adopted, now);
        // An earlier incarnation of the holder may have left connections that
        // only the earlier term counted. They are closed once this incarnation
        // has run for abandoned_for.
        auto const abandoned_for =
            with_clock_margin(settings_.lifetime) + settings_.lost_host_hold;
        if (it.check == limit_check::server ||
            request.sent - request.started >= with_clock_margin(abandoned_for))
        {
            from.is_settled = true;
            ++it.settled;
        }
        if (it.settled == holders_.size())
            recoveries_.set(by_name_.at(it.name), instant{});
    }
}

std::vector<share_grant> share_allocator::tick(instant now)
{
    expire_allocations(now);
    end_recoveries(now);
    while (auto const id = reclaims_.pop_due(now))
        changed_.insert(*id);
    std::vector<share_grant> grants;
    if (now >= leader_until_)
        return grants;
    for (auto const id : std::exchange(changed_, {}))
        if (servers_.find(id) != nullptr)
            allocate(id, now, grants);
    return grants;
}

instant share_allocator::next_deadline() const
{
    return std::min({expiries_.next(), abandoned_expiries_.next(),
                     recoveries_.next(), reclaims_.next()});
}

row_id share_allocator::find_or_add_allocation(row_id id,
                                               daemon_name const& holder)
{
    auto& it = *servers_.find(id);
    auto const found = it.allocations.find(holder);
    if (found != it.allocations.end())
        return found->second;
    allocation row;
    row.server = id;
    row.holder = holder;
    auto const added = allocations_.insert(std::move(row));
    it.allocations.emplace(holder, added);
    it.by_share.insert({0, added});
    return added;
}

std::uint32_t share_allocator::grantable_limit(std::uint32_t limit,
                                               limit_check check) const
{
    return check == limit_check::server
               ? limit - std::min(settings_.reserved_for_leader, limit / 2)
               : limit;
}

std::uint32_t share_allocator::base_share(server const& it) const
{
    return holders_.size() <= it.limit ? 1 : 0;
}

// Recomputes the values derived from the fields of an allocation.
void share_allocator::update_derived(server& it,
                                     row_id id,
                                     allocation& to,
                                     instant now)
{
    auto counted = std::max({to.share, to.acknowledged_share, to.open});
    for (auto const& grant : to.unacknowledged)
        counted = std::max(counted, grant.share);
    counted += to.abandoned;
    it.counted += counted - to.counted;
    to.counted = counted;

    update_order(it, id, to);
    bool const idle = to.wanted < to.share && to.share > base_share(it);
    if (idle && to.idle_since == never)
    {
        to.idle_since = now;
        it.idle.insert({now, id});
    }
    if (!idle && to.idle_since != never)
    {
        it.idle.erase({to.idle_since, id});
        to.idle_since = never;
    }
}

void share_allocator::update_order(server& it, row_id id, allocation& to)
{
    it.unsatisfied.erase({to.share, to.order, id});
    if (!to.reported || std::max(to.wanted, base_share(it)) <= to.share)
    {
        to.order = 0;
        return;
    }
    if (to.order == 0)
        to.order = ++last_order_;
    it.unsatisfied.insert({to.share, to.order, id});
}

void share_allocator::set_share(server& it,
                                row_id id,
                                std::uint32_t share,
                                instant now)
{
    auto& to = *allocations_.find(id);
    it.unsatisfied.erase({to.share, to.order, id});
    it.by_share.erase({to.share, id});
    if (share == 0)
        set_held_since(it, id, to, never);
    else if (share > to.share)
        set_held_since(it, id, to, now);
    it.shares += share - to.share;
    to.share = share;
    it.by_share.insert({share, id});
    update_derived(it, id, to, now);
}

void share_allocator::set_held_since(server& it,
                                     row_id id,
                                     allocation& to,
                                     instant since)
{
    if (to.held_since != never)
        it.held.erase({to.held_since, id});
    to.held_since = since;
    if (since != never)
        it.held.insert({since, id});
}

void share_allocator::expire_allocations(instant now)
{
    while (auto const id = abandoned_expiries_.pop_due(now))
    {
        auto& to = *allocations_.find(*id);
        to.abandoned = 0;
        update_derived(*servers_.find(to.server), *id, to, now);
        changed_.insert(to.server);
    }
    while (auto const id = expiries_.pop_due(now))
    {
        auto& to = *allocations_.find(*id);
        if (auto const until = renewed_until(to); until > now)
        {
            to.expiry = until;
            expiries_.set(*id, until);
            continue;
        }
        auto& it = *servers_.find(to.server);
        // By now the holder has closed all connections but its base, or the
        // server has closed those of a lost holder.
        auto const remaining = std::min(to.counted - to.abandoned, 1U);
        to.unacknowledged.clear();
        to.acknowledged_share = remaining;
        to.open = 0;
        to.wanted = 0;
        to.first_valid_grant = to.number + 1;
        set_share(it, *id, remaining, now);
        changed_.insert(to.server);
    }
}

void share_allocator::end_recoveries(instant now)
{
    while (auto const id = recoveries_.pop_due(now))
    {
        servers_.find(*id)->recovering = false;
        // A server that checks its limit refuses a connection beyond it.
        if (servers_.find(*id)->check == limit_check::leader)
            keep_earlier_bases(*id, now);
        changed_.insert(*id);
    }
}

// Holders that have not reported keep the base that an earlier term granted.
void share_allocator::keep_earlier_bases(row_id id, instant now)
{
    for (auto const& holder : holders_)
    {
        auto const allocation_id = find_or_add_allocation(id, holder);
        auto& row = *allocations_.find(allocation_id);
        if (row.is_settled)
            continue;
        if (!row.reported && !no_earlier_grants_)
            row.acknowledged_share = 1;
        update_derived(*servers_.find(id), allocation_id, row, now);
    }
}

void share_allocator::allocate(row_id id,
                               instant now,
                               std::vector<share_grant>& grants)
{
    auto& it = *servers_.find(id);
    std::set<row_id> raised_allocations;
    while (!it.recovering && !it.unsatisfied.empty() && it.counted < it.limit)
    {
        auto const next = std::get<row_id>(*it.unsatisfied.begin());
        auto const& to = *allocations_.find(next);
        // This raises it.counted only if the holder's connections that are
        // counted already do not cover the new share.
        set_share(it, next, to.share + 1, now);
        raised_allocations.insert(next);
    }
    for (auto const next : raised_allocations)
        add_grant(it, next, now, grants);
    if (!it.recovering && (!it.unsatisfied.empty() || it.counted > it.limit))
        reclaim(id, it, now);
    for (auto const next : std::exchange(it.unanswered, {}))
        add_grant(it, next, now, grants);
}

// Takes connections back for unsatisfied holders or for a lowered limit: first
// from holders that have not used theirs for reclaim_after, then one at a time
// from the holder with the largest share.
void share_allocator::reclaim(row_id id, server& it, instant now)
{
    std::uint32_t missing = 0;
    for (auto const& [share, order, next] : it.unsatisfied)
    {
        auto const wanted =
            std::max(allocations_.find(next)->wanted, base_share(it));
        missing += wanted - share;
        if (missing >= it.limit)
            break;
    }
    // Connections that are counted beyond the shares are being given back.
    auto const returning = it.counted - std::min(it.counted, it.shares);
    auto const surplus = it.counted - std::min(it.counted, it.limit);
    auto wanted = missing + surplus;
    wanted -= std::min(wanted, returning);
    while (wanted > 0 && !it.idle.empty() &&
           it.idle.begin()->first + settings_.reclaim_after <= now)
    {
        auto const from = it.idle.begin()->second;
        auto const& row = *allocations_.find(from);
        auto const needed = std::max(row.wanted, base_share(it));
        auto const taken = std::min(row.share - needed, wanted);
        wanted -= taken;
        set_share(it, from, row.share - taken, now);
        it.unanswered.insert(from);
        if (taken == 0)
            break;
    }
    auto const next_rotation =
        wanted > 0 && has_holder_without_share(it) ? rotate(it, now) : never;
    auto const largest = it.by_share.empty()
                             ? std::pair<std::uint32_t, row_id>{}
                             : *it.by_share.rbegin();
    bool const uneven =
        !it.unsatisfied.empty() &&
        largest.first > std::get<0>(*it.unsatisfied.begin()) + 1;
    bool const excess = surplus > returning && largest.first > 0;
    if (wanted > 0 && (uneven || excess) && it.next_rebalance <= now)
    {
        it.next_rebalance = now + rebalance_interval;
        set_share(it, largest.second, largest.first - 1, now);
        it.unanswered.insert(largest.second);
    }
    if (wanted == 0)
        return;
    auto retry_at = uneven || excess ? it.next_rebalance : never;
    retry_at = std::min(retry_at, next_rotation);
    if (!it.idle.empty())
        retry_at = std::min(retry_at,
                            it.idle.begin()->first + settings_.reclaim_after);
    if (retry_at != never)
        reclaims_.set(id, std::max(retry_at, now + duration(1)));
}

bool share_allocator::has_holder_without_share(server const& it)
{
    return !it.unsatisfied.empty() && std::get<0>(*it.unsatisfied.begin()) == 0;
}

// Takes a connection from the holder that has had its share for longest, for
// one that has none. Holders keep connections for their next statements, so
// with fewer connections than holders some would never get one. Returns when to
// rotate next.
instant share_allocator::rotate(server& it, instant now)
{
    if (it.held.empty())
        return never;
    auto const [held_since, from] = *it.held.begin();
    auto const due =
        std::max(held_since + settings_.reclaim_after, it.next_rotation);
    if (now < due)
        return due;
    it.next_rotation = now + rotation_interval;
    auto const share = allocations_.find(from)->share - 1;
    set_share(it, from, share, now);
    // A holder that keeps other connections comes last in the next rotations.
    if (share > 0)
        set_held_since(it, from, *allocations_.find(from), now);
    it.unanswered.insert(from);
    return it.next_rotation;
}

void share_allocator::add_grant(server& it,
                                row_id id,
                                instant now,
                                std::vector<share_grant>& grants)
{
    auto& to = *allocations_.find(id);
    it.unanswered.erase(id);
    ++to.number;
    if (!to.unacknowledged.empty() &&
        to.unacknowledged.back().share == to.share)
        to.unacknowledged.back().number = to.number;
    else if (to.reported)
        to.unacknowledged.push_back({to.number, to.share});
    // The share of a holder that has not reported was granted in an earlier
    // term. It is not renewed, as this term waits only until it expires.
    auto const lifetime = to.reported ? settings_.lifetime : duration{};
    if (to.reported)
    {
        to.expiry =
            now + with_clock_margin(lifetime) + settings_.lost_host_hold;
        expiries_.set(id, to.expiry);
    }
    // The holder keeps that share as far as the limit allows. The grant makes
    // it ignore later grants of the earlier term.
    auto const share = to.reported ? to.share : it.limit;
    grants.push_back({it.name,
                      to.holder,
                      to.incarnation,
                      {term_, to.number},
                      to.echo,
                      lifetime,
                      share,
                      it.check == limit_check::server
                          ? share
                          : std::min(share, base_share(it))});
}

} // namespace basilreach::limits
