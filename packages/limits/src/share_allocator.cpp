#include <basilreach/limits/share_allocator.hpp>

#include <algorithm>

namespace basilreach::limits
{

namespace
{

// Least time between two connections that move between busy holders. Opening
// one costs 10 or 25 ms at both ends.
constexpr duration balance_interval = std::chrono::milliseconds(50);

} // namespace

share_allocator::share_allocator(share_allocator_settings settings,
                                 std::uint64_t term,
                                 instant now)
    : settings_(settings), term_(term), started_(now),
      settled_(now + with_clock_margin(settings.lifetime) +
               settings.lost_host_hold)
{
}

void share_allocator::assume_no_earlier_grants(instant now)
{
    settled_ = now;
    first_ = true;
}

void share_allocator::configure(server_name const& name,
                                std::uint32_t limit,
                                instant now,
                                limit_check check)
{
    auto const place = by_name_.find(name);
    if (place != by_name_.end())
    {
        servers_.find(place->second)->limit = grantable(limit, check);
        servers_.find(place->second)->check = check;
        changed_.insert(place->second);
        return;
    }
    server row;
    row.name = name;
    row.limit = grantable(limit, check);
    row.check = check;
    auto const id = servers_.insert(std::move(row));
    by_name_.emplace(name, id);
    auto const settled =
        check == limit_check::server
            ? std::min(settled_, started_ + settings_.report_time)
            : settled_;
    settling_.set(id, std::max(settled, now));
    for (auto const& holder : holders_)
        add_account(id, holder);
}

void share_allocator::remove_server(server_name const& name)
{
    auto const place = by_name_.find(name);
    if (place == by_name_.end())
        return;
    for (auto const& [holder, id] : servers_.find(place->second)->accounts)
    {
        expiries_.erase(id);
        abandonments_.erase(id);
        accounts_.erase(id);
    }
    settling_.erase(place->second);
    reclaims_.erase(place->second);
    servers_.erase(place->second);
    by_name_.erase(place);
}

void share_allocator::register_holder(daemon_name const& holder,
                                      instant /*now*/)
{
    if (!holders_.insert(holder).second)
        return;
    for (auto const& [name, id] : by_name_)
        add_account(id, holder);
}

void share_allocator::remove_holder(daemon_name const& holder, instant now)
{
    if (holders_.erase(holder) == 0)
        return;
    for (auto const& [name, id] : by_name_)
    {
        auto& it = *servers_.find(id);
        auto const place = it.accounts.find(holder);
        auto& row = *accounts_.find(place->second);
        row.heard = row.open = row.wanted = row.abandoned = 0;
        row.unheard.clear();
        set_share(it, place->second, 0, now);
        it.by_share.erase({0, place->second});
        it.unreported.erase(holder);
        it.unanswered.erase(place->second);
        expiries_.erase(place->second);
        abandonments_.erase(place->second);
        accounts_.erase(place->second);
        it.accounts.erase(place);
        changed_.insert(id);
    }
}

void share_allocator::set_leader_until(instant until)
{
    authority_ = until;
}

void share_allocator::receive(share_request const& request, instant now)
{
    auto const place = by_name_.find(request.server);
    if (place == by_name_.end())
        return;
    expire_accounts(now);
    auto& it = *servers_.find(place->second);
    auto const found = it.accounts.find(request.holder);
    if (found == it.accounts.end())
        return;
    auto& from = *accounts_.find(found->second);
    if (request.incarnation < from.incarnation ||
        (request.incarnation == from.incarnation &&
         request.sequence <= from.sequence))
        return;
    if (request.incarnation > from.incarnation)
    {
        restart(it, found->second, from, now);
        from.incarnation = request.incarnation;
    }
    from.sequence = request.sequence;
    from.echo = request.sent;
    from.wanted = request.wanted;
    if (request.heard.term == term_ && request.heard.number >= from.first_valid)
        report(it, found->second, from, request, now);
    update(it, found->second, from, now);
    it.unanswered.insert(found->second);
    changed_.insert(place->second);
}

// Connections of the earlier process may still be open at the server, so they
// stay counted until its lease and the hold have passed.
void share_allocator::restart(server& it, row_id id, account& from, instant now)
{
    // A server that checks its limit has closed what the process left behind,
    // or refuses a connection too many.
    from.abandoned = it.check == limit_check::server ? 0 : from.counted;
    // A base outlives the lease, so it may have been open until just now.
    auto const until =
        std::max({from.expiry, settled_, now + settings_.lost_host_hold});
    abandonments_.set(id, until);
    from.first_valid = from.number + 1;
    from.heard = 0;
    from.open = 0;
    from.unheard.clear();
    set_share(it, id, 0, now);
}

void share_allocator::report(server& it,
                             row_id id,
                             account& from,
                             share_request const& request,
                             instant now)
{
    while (!from.unheard.empty() &&
           from.unheard.front().number <= request.heard.number)
    {
        from.heard = from.unheard.front().share;
        from.unheard.pop_front();
    }
    from.open = request.open;
    if (!from.reported)
    {
        // The earlier term bounded the shares of all holders together. Once
        // this term has settled without the holder, only a base can be left.
        auto const adopted = it.settling || it.check == limit_check::server
                                 ? request.share
                                 : std::min(request.share, 1U);
        from.reported = true;
        from.heard = adopted;
        set_share(it, id, adopted, now);
        // A new incarnation knows nothing of the connections of the one before,
        // which an earlier term has counted.
        auto const abandoned_for =
            with_clock_margin(settings_.lifetime) + settings_.lost_host_hold;
        if (it.check == limit_check::server ||
            request.sent - request.started >= with_clock_margin(abandoned_for))
            it.unreported.erase(from.holder);
        if (it.unreported.empty())
            settling_.set(by_name_.at(it.name), instant{});
    }
}

std::vector<share_grant> share_allocator::tick(instant now)
{
    expire_accounts(now);
    settle_servers(now);
    while (auto const id = reclaims_.pop_due(now))
        changed_.insert(*id);
    std::vector<share_grant> grants;
    if (now >= authority_)
        return grants;
    for (auto const id : std::exchange(changed_, {}))
        if (servers_.find(id) != nullptr)
            allocate(id, now, grants);
    return grants;
}

instant share_allocator::next_deadline() const
{
    return std::min({expiries_.next(), abandonments_.next(), settling_.next(),
                     reclaims_.next()});
}

void share_allocator::add_account(row_id id, daemon_name const& holder)
{
    auto& it = *servers_.find(id);
    account row;
    row.server = id;
    row.holder = holder;
    auto const added = accounts_.insert(std::move(row));
    it.accounts.emplace(holder, added);
    it.unreported.insert(holder);
    it.by_share.insert({0, added});
}

std::uint32_t share_allocator::grantable(std::uint32_t limit,
                                         limit_check check) const
{
    return check == limit_check::server
               ? limit - std::min(settings_.reserved, limit / 2)
               : limit;
}

std::uint32_t share_allocator::base(server const& it) const
{
    return it.accounts.size() <= it.limit ? 1 : 0;
}

// Recomputes what follows from the fields of an account.
void share_allocator::update(server& it, row_id id, account& to, instant now)
{
    auto counted = std::max({to.share, to.heard, to.open});
    for (auto const& grant : to.unheard)
        counted = std::max(counted, grant.share);
    counted += to.abandoned;
    it.counted += counted - to.counted;
    to.counted = counted;

    it.wishing.erase({to.share, id});
    if (to.reported && std::max(to.wanted, base(it)) > to.share)
        it.wishing.insert({to.share, id});
    bool const idle = to.wanted < to.share && to.share > base(it);
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

void share_allocator::set_share(server& it,
                                row_id id,
                                std::uint32_t share,
                                instant now)
{
    auto& to = *accounts_.find(id);
    it.wishing.erase({to.share, id});
    it.by_share.erase({to.share, id});
    it.shares += share - to.share;
    to.share = share;
    it.by_share.insert({share, id});
    update(it, id, to, now);
}

void share_allocator::expire_accounts(instant now)
{
    while (auto const id = abandonments_.pop_due(now))
    {
        auto& to = *accounts_.find(*id);
        to.abandoned = 0;
        update(*servers_.find(to.server), *id, to, now);
        changed_.insert(to.server);
    }
    while (auto const id = expiries_.pop_due(now))
    {
        auto& to = *accounts_.find(*id);
        auto& it = *servers_.find(to.server);
        // The holder has closed all but its base, or the servers have.
        auto const left = std::min(to.counted - to.abandoned, 1U);
        to.unheard.clear();
        to.heard = left;
        to.open = 0;
        to.wanted = 0;
        to.first_valid = to.number + 1;
        set_share(it, *id, left, now);
        changed_.insert(to.server);
    }
}

void share_allocator::settle_servers(instant now)
{
    while (auto const id = settling_.pop_due(now))
    {
        auto& it = *servers_.find(*id);
        it.settling = false;
        // Holders that have not reported keep the base of an earlier term.
        for (auto const& holder : it.unreported)
        {
            auto const account_id = it.accounts.at(holder);
            auto& row = *accounts_.find(account_id);
            if (!row.reported && !first_)
                row.heard = 1;
            update(it, account_id, row, now);
        }
        changed_.insert(*id);
    }
}

void share_allocator::allocate(row_id id,
                               instant now,
                               std::vector<share_grant>& grants)
{
    auto& it = *servers_.find(id);
    std::set<row_id> raised;
    while (!it.settling && !it.wishing.empty() && it.counted < it.limit)
    {
        auto const next = it.wishing.begin()->second;
        auto const& to = *accounts_.find(next);
        // What is counted already for this holder costs nothing.
        set_share(it, next, to.share + 1, now);
        raised.insert(next);
    }
    for (auto const next : raised)
        answer(it, next, now, grants);
    if (!it.settling && (!it.wishing.empty() || it.counted > it.limit))
        reclaim(id, it, now);
    for (auto const next : std::exchange(it.unanswered, {}))
        answer(it, next, now, grants);
}

// Takes connections back for the holders that wish for them: first from those
// that have not used theirs for a while, then one at a time from the holder
// with the most.
void share_allocator::reclaim(row_id id, server& it, instant now)
{
    std::uint32_t missing = 0;
    for (auto const& [share, next] : it.wishing)
    {
        auto const wanted = std::max(accounts_.find(next)->wanted, base(it));
        missing += wanted - share;
        if (missing >= it.limit)
            break;
    }
    // Connections that are counted and not in a share are on their way back.
    auto const returning = it.counted - std::min(it.counted, it.shares);
    auto const over = it.counted - std::min(it.counted, it.limit);
    auto wanted = missing + over;
    wanted -= std::min(wanted, returning);
    while (wanted > 0 && !it.idle.empty() &&
           it.idle.begin()->first + settings_.reclaim_after <= now)
    {
        auto const from = it.idle.begin()->second;
        auto const& row = *accounts_.find(from);
        auto const least = std::max(row.wanted, base(it));
        auto const taken = std::min(row.share - least, wanted);
        wanted -= taken;
        set_share(it, from, row.share - taken, now);
        it.unanswered.insert(from);
        if (taken == 0)
            break;
    }
    auto const most = *it.by_share.rbegin();
    bool const uneven =
        !it.wishing.empty() && most.first > it.wishing.begin()->first + 1;
    bool const excess = over > returning && most.first > 0;
    if (wanted > 0 && (uneven || excess) && it.balance_at <= now)
    {
        it.balance_at = now + balance_interval;
        set_share(it, most.second, most.first - 1, now);
        it.unanswered.insert(most.second);
    }
    if (wanted == 0)
        return;
    auto wake = uneven || excess ? it.balance_at : never;
    if (!it.idle.empty())
        wake = std::min(wake, it.idle.begin()->first + settings_.reclaim_after);
    if (wake != never)
        reclaims_.set(id, std::max(wake, now + duration(1)));
}

void share_allocator::answer(server& it,
                             row_id id,
                             instant now,
                             std::vector<share_grant>& grants)
{
    auto& to = *accounts_.find(id);
    it.unanswered.erase(id);
    ++to.number;
    if (!to.unheard.empty() && to.unheard.back().share == to.share)
        to.unheard.back().number = to.number;
    else if (to.reported)
        to.unheard.push_back({to.number, to.share});
    // Until the holder has reported, its share is known to the earlier term
    // only: it must not outlive the time for which this term counts it.
    auto const lifetime = to.reported ? settings_.lifetime : duration{};
    if (to.reported)
    {
        to.expiry =
            now + with_clock_margin(lifetime) + settings_.lost_host_hold;
        expiries_.set(id, to.expiry);
    }
    // Before that, the answer only ends the earlier term's authority.
    auto const share = to.reported ? to.share : it.limit;
    grants.push_back(
        {it.name,
         to.holder,
         to.incarnation,
         {term_, to.number},
         to.echo,
         lifetime,
         share,
         it.check == limit_check::server ? share : std::min(share, base(it))});
}

} // namespace basilreach::limits
