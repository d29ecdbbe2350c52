#include <basilreach/limits/token_allocator.hpp>

#include <algorithm>

namespace basilreach::limits
{

namespace
{

constexpr std::int64_t nanotokens = 1'000'000'000;
constexpr std::int64_t microtokens = 1'000'000;
constexpr std::int64_t nanotokens_per_microtoken = nanotokens / microtokens;

// Part of the bucket's level that one holder receives beyond the requests that
// wait, so that the others find tokens for theirs.
constexpr std::int64_t reserve_divisor = 4;

rate_floor greater(rate_floor const& a, rate_floor const& b)
{
    return {std::max(a.rate, b.rate), std::max(a.burst, b.burst)};
}

void add(rate_floor& sum, rate_floor const& it, std::int64_t sign)
{
    sum.rate += sign * it.rate;
    sum.burst += sign * it.burst;
}

} // namespace

token_allocator::token_allocator(token_allocator_settings settings,
                                 std::uint64_t term,
                                 instant now)
    : settings_(settings), term_(term),
      settled_(now + with_clock_margin(settings.lifetime))
{
}

void token_allocator::assume_no_earlier_grants(instant now)
{
    settled_ = now;
}

void token_allocator::configure(workspace_name const& workspace,
                                std::int64_t rate,
                                std::int64_t burst,
                                instant now)
{
    if (auto* const it = find(workspace))
    {
        refill(*it, now);
        // Holders that have not reported may still have floors of the earlier
        // limits.
        it->earlier = greater(it->earlier, floors(*it));
        it->rate = rate;
        it->burst = burst * nanotokens;
        clamp(*it);
        changed_.insert(by_name_.at(workspace));
        return;
    }
    bucket row;
    row.workspace = workspace;
    row.rate = rate;
    row.burst = burst * nanotokens;
    row.updated = now;
    row.settled = std::max(settled_, now);
    auto const id = buckets_.insert(std::move(row));
    by_name_.emplace(workspace, id);
    settling_.set(id, buckets_.find(id)->settled);
    for (auto const& holder : holders_)
        add_account(id, holder, now);
}

void token_allocator::register_holder(daemon_name const& holder, instant now)
{
    if (!holders_.insert(holder).second)
        return;
    for (auto const& [workspace, id] : by_name_)
        add_account(id, holder, now);
}

void token_allocator::remove_holder(daemon_name const& holder, instant now)
{
    if (holders_.erase(holder) == 0)
        return;
    for (auto const& [workspace, id] : by_name_)
    {
        auto& it = *buckets_.find(id);
        refill(it, now);
        it.unreported.erase(holder);
        auto const place = it.accounts.find(holder);
        drop_account(place->second);
        it.accounts.erase(place);
        changed_.insert(id);
    }
}

void token_allocator::receive(token_request const& request, instant now)
{
    auto* const it = find(request.workspace);
    if (it == nullptr)
        return;
    auto const place = it->accounts.find(request.holder);
    if (place == it->accounts.end())
        return;
    auto const id = place->second;
    auto& from = *accounts_.find(id);
    if (request.incarnation < from.incarnation ||
        (request.incarnation == from.incarnation &&
         request.sequence <= from.sequence))
        return;

    advance(now);
    refill(*it, now);
    if (request.incarnation > from.incarnation)
    {
        // The earlier process has ended, and the new one accepts none of its
        // grants: what it held is spent.
        set_outstanding(*it, from, 0);
        from.unheard.clear();
        from.incarnation = request.incarnation;
        from.returned = 0;
    }
    from.sequence = request.sequence;
    from.echo = request.sent;
    from.is_busy = now < from.received_at + settings_.busy_interval;
    from.received_at = now;
    if (request.heard.term == term_)
        report(*it, from, request, now);
    if (from.reported)
    {
        std::int64_t in_flight = 0;
        for (auto const& grant : from.unheard)
            in_flight += grant.tokens;
        auto const waiting =
            std::max<std::int64_t>(request.waiting - in_flight, 0);
        auto const both = std::max<std::int64_t>(
            request.waiting + request.reserve - in_flight, 0);
        set_wishes(*it, id, from, waiting, both - waiting);
    }
    it->unanswered.insert(id);
    changed_.insert(by_name_.at(request.workspace));
}

void token_allocator::report(bucket& it,
                             account& from,
                             token_request const& request,
                             instant now)
{
    while (!from.unheard.empty() &&
           from.unheard.front().number <= request.heard.number)
        from.unheard.pop_front();
    // Counts what the first report states for a full lifetime: it may be a
    // floor, which no grant of this term has bounded.
    if (!from.reported)
    {
        from.expiry =
            std::max(from.expiry, now + with_clock_margin(settings_.lifetime));
        expiries_.set(it.accounts.at(from.holder), from.expiry);
    }
    std::int64_t value = 0;
    if (now < from.expiry)
    {
        value = request.left * nanotokens;
        for (auto const& grant : from.unheard)
            value += grant.tokens * nanotokens;
    }
    // Tokens that expired here count as spent, so a late return adds nothing.
    auto const freed = std::max<std::int64_t>(from.outstanding - value, 0);
    auto const returned = (request.returned - from.returned) * nanotokens;
    from.returned = request.returned;
    set_outstanding(it, from, value);
    if (from.reported)
        it.level += std::clamp<std::int64_t>(returned, 0, freed);
    // The floor of an earlier leader stays in force: taking it back left a
    // holder without any tokens when this leader was lost as well.
    auto const told = from.reported ? from.told : request.floor;
    from.reported = true;
    it.unreported.erase(from.holder);
    if (it.unreported.empty())
    {
        it.earlier = {};
        settling_.set(by_name_.at(it.workspace), now);
    }

    from.heard_number = request.heard.number;
    auto const rest = request.heard_sent + heard_rest(from);
    if (rest > now)
    {
        from.rest_until = std::max(from.rest_until, rest);
        rests_.set(it.accounts.at(from.holder), from.rest_until);
    }
    set_floor(it, from, request.floor, told, from.rest_until > now);
    clamp(it);
}

void token_allocator::set_leader_until(instant until)
{
    authority_ = until;
}

void token_allocator::fund(workspace_name const& workspace,
                           std::int64_t tokens,
                           instant expiry,
                           instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return;
    advance(now);
    refill(*it, now);
    it->level += tokens * nanotokens;
    it->funded_until = expiry;
    changed_.insert(by_name_.at(workspace));
}

std::int64_t token_allocator::withdraw(workspace_name const& workspace,
                                       std::int64_t tokens,
                                       instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return 0;
    advance(now);
    refill(*it, now);
    auto const taken = std::min(tokens, it->level / nanotokens);
    it->level -= taken * nanotokens;
    return taken;
}

std::int64_t token_allocator::total(workspace_name const& workspace) const
{
    auto const* const it = find(workspace);
    if (it == nullptr)
        return 0;
    return (it->level + it->outstanding + nanotokens - 1) / nanotokens;
}

std::int64_t token_allocator::waiting(workspace_name const& workspace) const
{
    auto const* const it = find(workspace);
    return it == nullptr ? 0 : it->waiting;
}

std::int64_t token_allocator::reserve(workspace_name const& workspace) const
{
    auto const* const it = find(workspace);
    return it == nullptr ? 0 : it->reserve;
}

std::vector<token_grant> token_allocator::tick(instant now)
{
    advance(now);
    settle_buckets(now);
    while (auto const id = refills_.pop_due(now))
        changed_.insert(*id);
    std::vector<token_grant> grants;
    if (now >= authority_)
        return grants;
    for (auto const id : std::exchange(changed_, {}))
        if (buckets_.find(id) != nullptr)
            allocate(id, now, grants);
    return grants;
}

instant token_allocator::next_deadline() const
{
    return std::min(
        {expiries_.next(), rests_.next(), settling_.next(), refills_.next()});
}

token_allocator::bucket* token_allocator::find(workspace_name const& workspace)
{
    auto const it = by_name_.find(workspace);
    return it == by_name_.end() ? nullptr : buckets_.find(it->second);
}

token_allocator::bucket const*
token_allocator::find(workspace_name const& workspace) const
{
    auto const it = by_name_.find(workspace);
    return it == by_name_.end() ? nullptr : buckets_.find(it->second);
}

void token_allocator::add_account(row_id id,
                                  daemon_name const& holder,
                                  instant now)
{
    auto& it = *buckets_.find(id);
    account row;
    row.bucket = id;
    row.holder = holder;
    row.expiry = it.settling ? it.settled : now;
    it.accounts.emplace(holder, accounts_.insert(std::move(row)));
    it.unreported.insert(holder);
}

void token_allocator::drop_account(row_id id)
{
    auto& row = *accounts_.find(id);
    auto& it = *buckets_.find(row.bucket);
    set_wishes(it, id, row, 0, 0);
    set_outstanding(it, row, 0);
    set_floor(it, row, {}, {}, false);
    it.unanswered.erase(id);
    expiries_.erase(id);
    rests_.erase(id);
    accounts_.erase(id);
}

void token_allocator::refill(bucket& it, instant now) const
{
    if (now >= it.funded_until)
        it.level = 0;
    if (now <= it.updated)
        return;
    auto const elapsed = (now - it.updated).count();
    it.updated = now;
    auto const kept = reserved(it);
    auto const rate = it.rate * microtokens - kept.rate;
    auto const room = it.burst - kept.burst * nanotokens_per_microtoken -
                      it.level - it.outstanding;
    if (it.settling || rate <= 0 || room <= 0)
        return;
    // Beyond this time the bucket is full, and the product could overflow.
    auto const full = (room / rate + 1) * microtokens;
    if (elapsed >= full)
        it.level += room;
    else
        it.level +=
            std::min(room, rate / microtokens * elapsed +
                               rate % microtokens * elapsed / microtokens);
}

void token_allocator::clamp(bucket& it) const
{
    auto const most = it.burst -
                      reserved(it).burst * nanotokens_per_microtoken -
                      it.outstanding;
    it.level = std::max<std::int64_t>(std::min(it.level, most), 0);
}

rate_floor token_allocator::floors(bucket const& it) const
{
    rate_floor const all{it.rate * settings_.floor_rate_per_mille *
                             microtokens / 1000,
                         it.burst / nanotokens_per_microtoken / 1000 *
                             settings_.floor_burst_per_mille};
    // With less than one whole token besides the floors nothing could be
    // granted.
    bool const room =
        it.burst - all.burst * nanotokens_per_microtoken >= nanotokens;
    return room ? all : rate_floor{};
}

rate_floor token_allocator::reserved(bucket const& it) const
{
    auto sum = it.reserved;
    if (!it.unreported.empty())
    {
        auto const all = greater(floors(it), it.earlier);
        sum.rate += std::max<std::int64_t>(all.rate - it.assigned.rate, 0);
        sum.burst += std::max<std::int64_t>(all.burst - it.assigned.burst, 0);
    }
    return sum;
}

std::int64_t token_allocator::grantable(bucket const& it) const
{
    // Outstanding tokens stay below burst less all floors. When a holder loses
    // contact, only the level has to make room for its floor.
    auto const most = it.burst - floors(it).burst * nanotokens_per_microtoken -
                      it.outstanding;
    return std::max<std::int64_t>(std::min(it.level, most), 0) / nanotokens;
}

void token_allocator::set_outstanding(bucket& it,
                                      account& to,
                                      std::int64_t value) const
{
    it.outstanding += value - to.outstanding;
    to.outstanding = value;
}

void token_allocator::set_wishes(bucket& it,
                                 row_id id,
                                 account& to,
                                 std::int64_t waiting,
                                 std::int64_t reserve)
{
    bool const waited = to.waiting > 0;
    it.waiting += waiting - to.waiting;
    it.reserve += reserve - to.reserve;
    to.waiting = waiting;
    to.reserve = reserve;
    if (waited && waiting == 0)
        it.queue.erase({to.order, id});
    if (!waited && waiting > 0)
    {
        to.order = ++order_;
        it.queue.insert({to.order, id});
    }
}

void token_allocator::set_floor(bucket& it,
                                account& to,
                                rate_floor confirmed,
                                rate_floor told,
                                bool resting) const
{
    auto const before = greater(to.confirmed, to.told);
    auto const after = greater(confirmed, told);
    add(it.assigned, before, -1);
    add(it.assigned, after, 1);
    if (!to.resting)
        add(it.reserved, before, -1);
    if (!resting)
        add(it.reserved, after, 1);
    to.confirmed = confirmed;
    to.told = told;
    to.resting = resting;
}

rate_floor token_allocator::next_floor(bucket const& it,
                                       account const& to) const
{
    auto const all = floors(it);
    auto const holders = static_cast<std::int64_t>(it.accounts.size());
    rate_floor next{all.rate / holders, all.burst / holders};
    if (next.burst < microtokens)
        next = {};
    // One change at a time, so that the greater of two covers what the holder
    // may have.
    if (to.confirmed != to.told)
        return to.told;
    auto const sum_rate = it.assigned.rate - to.told.rate + next.rate;
    auto const sum_burst = it.assigned.burst - to.told.burst + next.burst;
    bool const grows = next.rate > to.told.rate || next.burst > to.told.burst;
    // Holders that have not reported may still have the floors of a smaller
    // number of holders.
    if (grows && (!it.unreported.empty() || sum_rate > all.rate ||
                  sum_burst > all.burst))
        return to.told;
    return next;
}

duration token_allocator::heard_rest(account const& it)
{
    return it.heard_number >= it.rest_number
               ? it.rest
               : std::min(it.rest, it.earlier_rest);
}

// Returns how long the floor rests after the grant that is sent next. While the
// ledger settles it grants nothing, so that floors go on.
duration token_allocator::tell_rest(bucket const& it, account& to) const
{
    duration rest = to.is_busy ? settings_.busy_contact : settings_.contact;
    if (it.settling)
        rest = {};
    if (rest != to.rest)
    {
        to.earlier_rest = heard_rest(to);
        to.rest = rest;
        to.rest_number = to.number;
    }
    return rest;
}

void token_allocator::advance(instant now)
{
    expire_accounts(now);
    wake_floors(now);
}

void token_allocator::expire_accounts(instant now)
{
    while (auto const id = expiries_.pop_due(now))
    {
        auto& row = *accounts_.find(*id);
        auto& it = *buckets_.find(row.bucket);
        refill(it, now);
        row.unheard.clear();
        set_outstanding(it, row, 0);
        changed_.insert(row.bucket);
    }
}

void token_allocator::wake_floors(instant now)
{
    while (auto const id = rests_.pop_due(now))
    {
        auto& row = *accounts_.find(*id);
        auto& it = *buckets_.find(row.bucket);
        // The floor counts from the deadline on, however late the tick is.
        refill(it, row.rest_until);
        set_floor(it, row, row.confirmed, row.told, false);
        clamp(it);
    }
}

void token_allocator::settle_buckets(instant now)
{
    while (auto const id = settling_.pop_due(now))
    {
        auto& it = *buckets_.find(*id);
        refill(it, now);
        it.settling = false;
        changed_.insert(*id);
    }
}

void token_allocator::allocate(row_id id,
                               instant now,
                               std::vector<token_grant>& grants)
{
    auto& it = *buckets_.find(id);
    refill(it, now);
    if (now >= it.funded_until)
        return;
    auto const over = it.outstanding >
                      it.burst - floors(it).burst * nanotokens_per_microtoken;
    if (over && !it.settling)
    {
        // After a smaller burst the surplus has to expire: an answer would
        // renew it.
        it.unanswered.clear();
        return;
    }
    auto const turns = it.queue.size();
    for (std::size_t n = 0; n != turns && !it.settling; ++n)
    {
        auto const tokens = grantable(it);
        if (tokens == 0)
            break;
        auto const next = it.queue.begin()->second;
        auto& to = *accounts_.find(next);
        auto const given = std::min(tokens, to.waiting);
        it.queue.erase(it.queue.begin());
        to.order = ++order_;
        it.queue.insert({to.order, next});
        set_wishes(it, next, to, to.waiting - given, to.reserve);
        auto const spare =
            std::min(to.reserve,
                     it.queue.empty() ? (tokens - given) / reserve_divisor : 0);
        set_wishes(it, next, to, to.waiting, to.reserve - spare);
        answer(it, next, given + spare, now, grants);
    }
    for (auto const next : std::exchange(it.unanswered, {}))
    {
        auto& to = *accounts_.find(next);
        auto const spare =
            it.settling || !it.queue.empty()
                ? 0
                : std::min(to.reserve, grantable(it) / reserve_divisor);
        set_wishes(it, next, to, to.waiting, to.reserve - spare);
        answer(it, next, spare, now, grants);
    }
    if (!it.queue.empty() && !it.settling)
    {
        auto const token = it.rate > 0 ? duration(nanotokens / it.rate + 1)
                                       : settings_.lifetime;
        refills_.set(id, now + std::max(token, settings_.refill_interval));
    }
}

void token_allocator::answer(bucket& it,
                             row_id id,
                             std::int64_t tokens,
                             instant now,
                             std::vector<token_grant>& grants)
{
    auto& to = *accounts_.find(id);
    it.unanswered.erase(id);
    set_floor(it, to, to.confirmed, next_floor(it, to), to.resting);
    clamp(it);
    tokens = std::min(tokens, grantable(it));
    it.level -= tokens * nanotokens;
    set_outstanding(it, to, to.outstanding + tokens * nanotokens);
    ++to.number;
    if (tokens > 0)
        to.unheard.push_back({to.number, tokens});
    // Until the holder has reported, its tokens are known to the earlier term
    // only: they must not outlive the time for which this term counts them.
    auto const longest =
        to.is_busy ? settings_.busy_lifetime : settings_.lifetime;
    auto const lifetime =
        to.reported ? std::min(longest, it.funded_until - now) : duration{};
    if (to.reported)
    {
        to.expiry = std::max(to.expiry, now + with_clock_margin(lifetime));
        expiries_.set(id, to.expiry);
    }
    grants.push_back({it.workspace,
                      to.holder,
                      to.incarnation,
                      {term_, to.number},
                      now,
                      to.echo,
                      lifetime,
                      tokens,
                      to.told,
                      with_clock_margin(tell_rest(it, to))});
}

} // namespace basilreach::limits
