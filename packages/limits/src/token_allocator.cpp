#include <basilreach/limits/token_allocator.hpp>

#include <algorithm>

namespace basilreach::limits
{

namespace
{

constexpr std::int64_t nanotokens_per_token = 1'000'000'000;
constexpr std::int64_t microtokens_per_token = 1'000'000;
constexpr std::int64_t nanotokens_per_microtoken =
    nanotokens_per_token / microtokens_per_token;

// One grant takes at most this fraction (1/4) of the available tokens for the
// holder's reserve, so that tokens are left for waiting requests of others.
constexpr std::int64_t reserve_divisor = 4;

// Tokens of the burst for each holder below which none may keep a reserve. With
// less, the reserves of holders that are not using theirs would leave nothing
// for requests that wait.
constexpr std::int64_t min_burst_per_holder = 2;

constexpr std::int64_t nanoseconds_per_s = 1'000'000'000;

// Longest time until a token is available that a grant states.
constexpr duration max_time_to_next_token = std::chrono::seconds(10);

rate_floor component_max(rate_floor const& a, rate_floor const& b)
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
      recovery_end_(now + with_clock_margin(settings.lifetime))
{
}

void token_allocator::assume_no_earlier_grants(instant now)
{
    recovery_end_ = now;
    has_earlier_grants_ = false;
    unknown_holders_.clear();
}

void token_allocator::configure(
    workspace_name const& workspace,
    std::int64_t rate,
    std::int64_t burst,
    instant now,
    std::optional<std::set<daemon_name>> floor_holders)
{
    if (auto* const it = find(workspace))
    {
        refill(*it, now);
        // Holders that have not reported may still have floors that the earlier
        // limits set.
        it->earlier_floors =
            component_max(it->earlier_floors, floor_total(*it));
        it->rate = rate;
        it->burst = burst * nanotokens_per_token;
        set_floor_holders(by_name_.at(workspace), std::move(floor_holders));
        clamp(*it);
        changed_.insert(by_name_.at(workspace));
        return;
    }
    bucket row;
    row.workspace = workspace;
    row.rate = rate;
    row.burst = burst * nanotokens_per_token;
    row.updated = now;
    row.recovery_end = std::max(recovery_end_, now);
    auto const id = buckets_.insert(std::move(row));
    by_name_.emplace(workspace, id);
    recoveries_.set(id, buckets_.find(id)->recovery_end);
    undivided_.insert(id);
    set_floor_holders(id, std::move(floor_holders));
}

void token_allocator::set_floor_holders(
    row_id id, std::optional<std::set<daemon_name>> floor_holders)
{
    auto& it = *buckets_.find(id);
    it.floor_holders = std::move(floor_holders);
    if (!it.floor_holders)
    {
        undivided_.insert(id);
        return;
    }
    undivided_.erase(id);
    for (auto const& holder : *it.floor_holders)
        divided_[holder].insert(id);
    // Former holders are asked for the report with which they confirm that they
    // have no floor any more.
    for (auto const& [holder, row] : it.allocations)
        if (!has_no_part(it, holder))
            divided_[holder].insert(id);
}

void token_allocator::register_holder(daemon_name const& holder,
                                      instant /*now*/)
{
    if (holders_.insert(holder).second && has_earlier_grants_)
        unknown_holders_.insert(holder);
}

void token_allocator::remove_holder(daemon_name const& holder, instant now)
{
    if (holders_.erase(holder) == 0)
        return;
    contacts_.erase(holder);
    unanswered_contacts_.erase(holder);
    divided_.erase(holder);
    for (auto const& [workspace, id] : by_name_)
    {
        auto& it = *buckets_.find(id);
        refill(it, now);
        changed_.insert(id);
        auto const found = it.allocations.find(holder);
        if (found == it.allocations.end())
            continue;
        it.reported -= allocations_.find(found->second)->reported ? 1 : 0;
        drop_allocation(found->second);
        it.allocations.erase(found);
    }
    remove_unknown_holder(holder, now);
}

void token_allocator::receive(token_request const& request, instant now)
{
    auto* const it = find(request.workspace);
    if (it == nullptr || !holders_.contains(request.holder))
        return;
    auto const id = find_or_add_allocation(by_name_.at(request.workspace),
                                           request.holder, now);
    auto& from = *allocations_.find(id);
    if (request.incarnation < from.incarnation ||
        (request.incarnation == from.incarnation &&
         request.sequence <= from.sequence))
        return;

    advance(now);
    refill(*it, now);
    if (request.incarnation > from.incarnation)
    {
        // The earlier process has ended, and the new one accepts none of its
        // grants, so its tokens can no longer be used.
        set_outstanding(*it, from, 0);
        from.unacknowledged.clear();
        from.incarnation = request.incarnation;
        from.returned = 0;
    }
    from.sequence = request.sequence;
    from.echo = request.sent;
    from.is_busy = now < from.received_at + settings_.busy_interval;
    from.received_at = now;
    // Nothing was granted to a process before its first request, so that it
    // holds nothing of an earlier term. Other requests count only once they
    // acknowledge a grant of this term: the holder then drops earlier grants.
    bool const is_first = request.sequence == 1 && !from.reported;
    if (request.last_grant.term == term_ || is_first)
        apply_report(*it, from, request, now);
    if (from.reported)
    {
        std::int64_t in_flight = 0;
        for (auto const& grant : from.unacknowledged)
            in_flight += grant.tokens;
        auto const waiting =
            std::max<std::int64_t>(request.waiting - in_flight, 0);
        auto const demand = std::max<std::int64_t>(
            request.waiting + request.reserve - in_flight, 0);
        set_demand(*it, id, from, waiting, demand - waiting);
        set_user(*it, from,
                 request.waiting + request.reserve + request.left > 0);
    }
    it->unanswered.insert(id);
    changed_.insert(by_name_.at(request.workspace));
}

void token_allocator::receive(contact_report const& report, instant now)
{
    if (!holders_.contains(report.holder))
        return;
    // Suspensions that have ended by now are not prolonged.
    advance(now);
    auto& it = contacts_[report.holder];
    if (report.incarnation < it.incarnation)
        return;
    if (report.incarnation > it.incarnation)
        it = {report.incarnation, {}, {}};
    unanswered_contacts_.insert(report.holder);
    if (report.term == term_ && report.is_current)
        remove_unknown_holder(report.holder, now);
    if (report.term != term_ || report.heard <= it.heard)
        return;
    if (now >= it.heard + settings_.floor_suspension)
        it.since = now;
    it.heard = report.heard;
}

// Returns until when contact keeps a floor suspended whose own suspension ends
// now. The holder prolonged it only if it was suspended when each of the
// contact grants arrived, and if it had a grant of this term by then.
instant token_allocator::suspended_by_contact(allocation const& it) const
{
    auto const found = contacts_.find(it.holder);
    if (found == contacts_.end())
        return {};
    auto const& row = found->second;
    bool const is_prolonged =
        it.reported && row.incarnation == it.incarnation &&
        row.since < it.floor_suspended_until && row.heard >= it.reported_at;
    return is_prolonged ? row.heard + settings_.floor_suspension : instant{};
}

bool token_allocator::is_in_contact(allocation const& it, instant now) const
{
    auto const found = contacts_.find(it.holder);
    return it.reported && found != contacts_.end() &&
           found->second.incarnation == it.incarnation &&
           now < found->second.heard + settings_.floor_suspension;
}

std::vector<contact_grant> token_allocator::tick_contacts(instant now)
{
    std::vector<contact_grant> out;
    if (now >= leader_until_)
        return out;
    for (auto const& holder : std::exchange(unanswered_contacts_, {}))
    {
        out.push_back({holder,
                       contacts_.at(holder).incarnation,
                       term_,
                       now,
                       with_clock_margin(settings_.floor_suspension),
                       {},
                       false});
        add_missing_floors(out.back());
    }
    return out;
}

// A holder that reported a workspace before others did got no floor, and would
// not report it again while it is not used.
void token_allocator::add_missing_floors(contact_grant& to)
{
    for (auto const id : undivided_)
    {
        auto const& it = *buckets_.find(id);
        if (floor_total(it) != rate_floor{})
            add_missing_floor(to, it);
    }
    auto const found = divided_.find(to.holder);
    if (found == divided_.end())
        return;
    std::erase_if(found->second, [&](row_id id)
                  { return has_no_part(*buckets_.find(id), to.holder); });
    for (auto const id : found->second)
        add_missing_floor(to, *buckets_.find(id));
}

// Returns whether a holder neither has a part of a divided floor nor will get
// one.
bool token_allocator::has_no_part(bucket const& it,
                                  daemon_name const& holder) const
{
    if (!it.floor_holders)
        return true;
    if (it.floor_holders->contains(holder))
        return false;
    auto const found = it.allocations.find(holder);
    if (found == it.allocations.end())
        return true;
    auto const& row = *allocations_.find(found->second);
    return !row.is_unknown && row.confirmed_floor == rate_floor{} &&
           row.granted_floor == rate_floor{};
}

void token_allocator::add_missing_floor(contact_grant& to,
                                        bucket const& it) const
{
    auto const part = floor_part(it, to.holder);
    auto const found = it.allocations.find(to.holder);
    auto const* const row = found == it.allocations.end()
                                ? nullptr
                                : allocations_.find(found->second);
    if (row == nullptr && part == rate_floor{})
        return;
    // A holder that is not used does not confirm a smaller floor by itself, and
    // the part that it had stays reserved until it does.
    bool const is_unconfirmed = it.floor_holders && row != nullptr &&
                                row->confirmed_floor != row->granted_floor;
    if (row == nullptr || !row->reported || is_unconfirmed ||
        next_floor(it, *row) != row->granted_floor)
        to.unreported.push_back(it.workspace);
    if (part != rate_floor{} &&
        (row == nullptr || row->granted_floor == rate_floor{}))
        to.lacks_floors = true;
}

void token_allocator::apply_report(bucket& it,
                                   allocation& from,
                                   token_request const& request,
                                   instant now)
{
    while (!from.unacknowledged.empty() &&
           from.unacknowledged.front().number <= request.last_grant.number)
        from.unacknowledged.pop_front();
    // The tokens in the first report may come from a floor, which has no expiry
    // known to this term, so they count as outstanding for a full lifetime.
    if (!from.reported)
    {
        from.expiry =
            std::max(from.expiry, now + with_clock_margin(settings_.lifetime));
        expiries_.set(it.allocations.at(from.holder), from.expiry);
    }
    std::int64_t new_outstanding = 0;
    if (now < from.expiry)
    {
        new_outstanding = request.left * nanotokens_per_token;
        for (auto const& grant : from.unacknowledged)
            new_outstanding += grant.tokens * nanotokens_per_token;
    }
    // Tokens that expired here count as consumed: returned tokens raise the
    // level only as far as the outstanding ones become fewer.
    auto const freed =
        std::max<std::int64_t>(from.outstanding - new_outstanding, 0);
    auto const returned =
        (request.returned - from.returned) * nanotokens_per_token;
    from.returned = request.returned;
    set_outstanding(it, from, new_outstanding);
    if (from.reported)
        it.level += std::clamp<std::int64_t>(returned, 0, freed);
    // The floor that an earlier leader granted stays in force. Withdrawing it
    // left a holder without any tokens when this leader was lost as well.
    auto const granted_floor =
        from.reported ? from.granted_floor : request.floor;
    if (!from.reported)
    {
        from.reported_at = now;
        ++it.reported;
    }
    from.reported = true;
    set_unknown(it, from, false);
    settle(by_name_.at(it.workspace), now);

    from.acknowledged_number = request.last_grant.number;
    auto const suspended_until =
        request.last_grant_sent + acknowledged_suspension(from);
    if (suspended_until > now)
    {
        from.floor_suspended_until =
            std::max(from.floor_suspended_until, suspended_until);
        floor_resumptions_.set(it.allocations.at(from.holder),
                               from.floor_suspended_until);
    }
    set_floor(it, from, request.floor, granted_floor,
              from.floor_suspended_until > now);
    if (!has_no_part(it, from.holder))
        divided_[from.holder].insert(by_name_.at(it.workspace));
    clamp(it);
}

// Ends the recovery of a bucket, and drops what was reserved for floors of
// earlier limits, once everything that was granted in earlier terms is known.
void token_allocator::settle(row_id id, instant now)
{
    auto& it = *buckets_.find(id);
    if (has_unreported_holder(it))
        return;
    it.earlier_floors = {};
    recoveries_.set(id, now);
}

// States that a holder has nothing of earlier terms in workspaces of which it
// has sent no request.
void token_allocator::remove_unknown_holder(daemon_name const& holder,
                                            instant now)
{
    if (!unknown_holders_.contains(holder))
        return;
    bool const is_last = unknown_holders_.size() == 1;
    // What was reserved for unknown floors is reserved until now.
    if (is_last)
        for (auto const& [workspace, id] : by_name_)
            refill(*buckets_.find(id), now);
    unknown_holders_.erase(holder);
    if (!is_last)
        return;
    for (auto const& [workspace, id] : by_name_)
    {
        if (!buckets_.find(id)->floor_holders)
            continue;
        settle(id, now);
        changed_.insert(id);
    }
}

void token_allocator::set_leader_until(instant until)
{
    leader_until_ = until;
}

void token_allocator::add_tokens(workspace_name const& workspace,
                                 std::int64_t tokens,
                                 instant expiry,
                                 instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return;
    advance(now);
    refill(*it, now);
    it->level += tokens * nanotokens_per_token;
    it->level_expiry = expiry;
    changed_.insert(by_name_.at(workspace));
}

void token_allocator::set_next_token(workspace_name const& workspace,
                                     std::optional<instant> next_token)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return;
    bool const was_known = it->next_token.has_value();
    it->next_token = next_token;
    if (was_known || !next_token)
        return;
    // Threads that wait learn it before their statements are refused.
    for (auto const& [order, id] : it->queue)
        it->unanswered.insert(id);
    changed_.insert(by_name_.at(workspace));
}

std::int64_t token_allocator::take_unallocated(workspace_name const& workspace,
                                               std::int64_t tokens,
                                               instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return 0;
    advance(now);
    refill(*it, now);
    auto const taken = std::min(tokens, it->level / nanotokens_per_token);
    it->level -= taken * nanotokens_per_token;
    return taken;
}

std::int64_t token_allocator::total(workspace_name const& workspace) const
{
    auto const* const it = find(workspace);
    if (it == nullptr)
        return 0;
    return (it->level + it->outstanding + nanotokens_per_token - 1) /
           nanotokens_per_token;
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
    end_recoveries(now);
    while (auto const id = refills_.pop_due(now))
        changed_.insert(*id);
    std::vector<token_grant> grants;
    if (now >= leader_until_)
        return grants;
    for (auto const id : std::exchange(changed_, {}))
        if (buckets_.find(id) != nullptr)
            allocate(id, now, grants);
    return grants;
}

instant token_allocator::next_deadline() const
{
    return std::min({expiries_.next(), floor_resumptions_.next(),
                     recoveries_.next(), refills_.next()});
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

// Holders that use a workspace get a row with their first request. Rows for all
// pairs of holder and workspace occupied a new leader for longer than an
// election timeout.
row_id token_allocator::find_or_add_allocation(row_id id,
                                               daemon_name const& holder,
                                               instant now)
{
    auto& it = *buckets_.find(id);
    auto const found = it.allocations.find(holder);
    if (found != it.allocations.end())
        return found->second;
    allocation row;
    row.bucket = id;
    row.holder = holder;
    row.expiry = it.recovering ? it.recovery_end : now;
    set_unknown(it, row, unknown_holders_.contains(holder));
    auto const added = allocations_.insert(std::move(row));
    it.allocations.emplace(holder, added);
    return added;
}

void token_allocator::drop_allocation(row_id id)
{
    auto& row = *allocations_.find(id);
    auto& it = *buckets_.find(row.bucket);
    set_demand(it, id, row, 0, 0);
    set_outstanding(it, row, 0);
    set_floor(it, row, {}, {}, false);
    set_unknown(it, row, false);
    set_user(it, row, false);
    it.unanswered.erase(id);
    expiries_.erase(id);
    floor_resumptions_.erase(id);
    allocations_.erase(id);
}

void token_allocator::refill(bucket& it, instant now) const
{
    if (now >= it.level_expiry)
        it.level = 0;
    if (now <= it.updated)
        return;
    auto const elapsed = (now - it.updated).count();
    it.updated = now;
    auto const reserved = reserved_floors(it);
    auto const rate = it.rate * microtokens_per_token - reserved.rate;
    auto const room = it.burst - reserved.burst * nanotokens_per_microtoken -
                      it.level - it.outstanding;
    if (it.recovering || rate <= 0 || room <= 0)
        return;
    // After a longer time the bucket is full. The product below could overflow.
    auto const fill_time = (room / rate + 1) * microtokens_per_token;
    if (elapsed >= fill_time)
        it.level += room;
    else
        it.level += std::min(room, rate / microtokens_per_token * elapsed +
                                       rate % microtokens_per_token * elapsed /
                                           microtokens_per_token);
}

void token_allocator::clamp(bucket& it) const
{
    auto const max_level =
        it.burst - reserved_floors(it).burst * nanotokens_per_microtoken -
        it.outstanding;
    it.level = std::max<std::int64_t>(std::min(it.level, max_level), 0);
}

bool token_allocator::has_unreported_holder(bucket const& it) const
{
    if (!it.floor_holders)
        return it.reported < holders_.size();
    return it.unknown_allocations > 0 || !unknown_holders_.empty();
}

std::int64_t token_allocator::holder_count() const
{
    return static_cast<std::int64_t>(holders_.size());
}

// Returns the number of holders among which the floor is divided.
std::int64_t token_allocator::floor_parts(bucket const& it) const
{
    return it.floor_holders
               ? static_cast<std::int64_t>(it.floor_holders->size())
               : holder_count();
}

rate_floor token_allocator::floor_part(bucket const& it,
                                       daemon_name const& holder) const
{
    if (it.floor_holders && !it.floor_holders->contains(holder))
        return {};
    auto const all = floor_total(it);
    auto const parts = floor_parts(it);
    return {all.rate / parts, all.burst / parts};
}

rate_floor token_allocator::floor_total(bucket const& it) const
{
    rate_floor const all{it.rate * settings_.floor_rate_per_mille *
                             microtokens_per_token / 1000,
                         it.burst / nanotokens_per_microtoken / 1000 *
                             settings_.floor_burst_per_mille};
    // A floor that cannot hold one token is not granted, so nothing is reserved
    // for it: a holder that never reports would keep the whole rate.
    auto const parts = floor_parts(it);
    if ((it.floor_holders && parts == 0) ||
        all.burst < parts * microtokens_per_token)
        return {};
    // If the floors left less than one whole token of the burst, nothing could
    // be granted. The holders then have no floor.
    bool const room = it.burst - all.burst * nanotokens_per_microtoken >=
                      nanotokens_per_token;
    return room ? all : rate_floor{};
}

rate_floor token_allocator::reserved_floors(bucket const& it) const
{
    auto sum = it.active_floors;
    if (has_unreported_holder(it))
    {
        auto const all = component_max(floor_total(it), it.earlier_floors);
        sum.rate +=
            std::max<std::int64_t>(all.rate - it.assigned_floors.rate, 0);
        sum.burst +=
            std::max<std::int64_t>(all.burst - it.assigned_floors.burst, 0);
    }
    return sum;
}

std::int64_t token_allocator::grantable(bucket const& it) const
{
    auto const max_level = max_outstanding(it) - it.outstanding;
    return std::max<std::int64_t>(std::min(it.level, max_level), 0) /
           nanotokens_per_token;
}

// Outstanding tokens stay below the burst less all floors. When a holder loses
// contact, lowering the level is then enough to make room for its floor.
std::int64_t token_allocator::max_outstanding(bucket const& it) const
{
    return it.burst - floor_total(it).burst * nanotokens_per_microtoken;
}

// Returns how many tokens may be granted now for the reserve of one holder. At
// least half of what may be outstanding is left for requests that wait: a token
// in a reserve is of no use to other holders.
std::int64_t token_allocator::reservable(bucket const& it) const
{
    auto const holders =
        it.floor_holders ? static_cast<std::int64_t>(it.users) : holder_count();
    if (it.burst < holders * min_burst_per_holder * nanotokens_per_token)
        return 0;
    auto const room =
        (max_outstanding(it) / 2 - it.outstanding) / nanotokens_per_token;
    return std::clamp<std::int64_t>(room, 0, grantable(it) / reserve_divisor);
}

void token_allocator::set_outstanding(bucket& it,
                                      allocation& to,
                                      std::int64_t new_outstanding) const
{
    it.outstanding += new_outstanding - to.outstanding;
    to.outstanding = new_outstanding;
}

void token_allocator::set_unknown(bucket& it,
                                  allocation& to,
                                  bool is_unknown) const
{
    it.unknown_allocations += is_unknown ? 1 : 0;
    it.unknown_allocations -= to.is_unknown ? 1 : 0;
    to.is_unknown = is_unknown;
}

void token_allocator::set_user(bucket& it, allocation& to, bool is_user) const
{
    it.users += is_user ? 1 : 0;
    it.users -= to.is_user ? 1 : 0;
    to.is_user = is_user;
}

void token_allocator::set_demand(bucket& it,
                                 row_id id,
                                 allocation& to,
                                 std::int64_t waiting,
                                 std::int64_t reserve)
{
    bool const was_waiting = to.waiting > 0;
    it.waiting += waiting - to.waiting;
    it.reserve += reserve - to.reserve;
    to.waiting = waiting;
    to.reserve = reserve;
    if (was_waiting && waiting == 0)
        it.queue.erase({to.order, id});
    if (!was_waiting && waiting > 0)
    {
        to.order = ++order_;
        it.queue.insert({to.order, id});
    }
}

void token_allocator::set_floor(bucket& it,
                                allocation& to,
                                rate_floor confirmed_floor,
                                rate_floor granted_floor,
                                bool floor_suspended) const
{
    auto const before = component_max(to.confirmed_floor, to.granted_floor);
    auto const after = component_max(confirmed_floor, granted_floor);
    add(it.assigned_floors, before, -1);
    add(it.assigned_floors, after, 1);
    if (!to.floor_suspended)
        add(it.active_floors, before, -1);
    if (!floor_suspended)
        add(it.active_floors, after, 1);
    to.confirmed_floor = confirmed_floor;
    to.granted_floor = granted_floor;
    to.floor_suspended = floor_suspended;
}

rate_floor token_allocator::next_floor(bucket const& it,
                                       allocation const& to) const
{
    auto const all = floor_total(it);
    auto const next = floor_part(it, to.holder);
    // The floor changes again only after the holder has confirmed the last
    // change, so that the greater of two floors covers what it may use.
    if (to.confirmed_floor != to.granted_floor)
        return to.granted_floor;
    auto const sum_rate =
        it.assigned_floors.rate - to.granted_floor.rate + next.rate;
    auto const sum_burst =
        it.assigned_floors.burst - to.granted_floor.burst + next.burst;
    bool const grows = next.rate > to.granted_floor.rate ||
                       next.burst > to.granted_floor.burst;
    // Holders that have not reported may still have floors of a time with fewer
    // holders, which were greater.
    if (grows && (has_unreported_holder(it) || sum_rate > all.rate ||
                  sum_burst > all.burst))
        return to.granted_floor;
    return next;
}

duration token_allocator::acknowledged_suspension(allocation const& it)
{
    return it.acknowledged_number >= it.suspension_number
               ? it.suspension
               : std::min(it.suspension, it.earlier_suspension);
}

// Returns how long the grant that is sent next suspends the floor. During the
// recovery no tokens are granted, so floors stay in use.
duration token_allocator::update_suspension(bucket const& it,
                                            allocation& to) const
{
    duration suspension = to.is_busy ? settings_.busy_floor_suspension
                                     : settings_.floor_suspension;
    if (it.recovering)
        suspension = {};
    if (suspension != to.suspension)
    {
        to.earlier_suspension = acknowledged_suspension(to);
        to.suspension = suspension;
        to.suspension_number = to.number;
    }
    return suspension;
}

void token_allocator::advance(instant now)
{
    expire_allocations(now);
    resume_floors(now);
}

void token_allocator::expire_allocations(instant now)
{
    while (auto const id = expiries_.pop_due(now))
    {
        auto& row = *allocations_.find(*id);
        auto& it = *buckets_.find(row.bucket);
        refill(it, now);
        row.unacknowledged.clear();
        set_outstanding(it, row, 0);
        set_user(it, row, false);
        changed_.insert(row.bucket);
    }
}

void token_allocator::resume_floors(instant now)
{
    while (auto const id = floor_resumptions_.pop_due(now))
    {
        auto& row = *allocations_.find(*id);
        auto& it = *buckets_.find(row.bucket);
        if (auto const until = suspended_by_contact(row);
            until > row.floor_suspended_until)
        {
            row.floor_suspended_until = until;
            floor_resumptions_.set(*id, until);
            continue;
        }
        // The floor is reserved from the end of its suspension on, also if the
        // tick comes late.
        refill(it, row.floor_suspended_until);
        set_floor(it, row, row.confirmed_floor, row.granted_floor, false);
        clamp(it);
        // A holder in contact may take the floor for suspended and would not
        // report it.
        if (is_in_contact(row, now))
        {
            it.unanswered.insert(*id);
            changed_.insert(row.bucket);
        }
    }
}

void token_allocator::end_recoveries(instant now)
{
    while (auto const id = recoveries_.pop_due(now))
    {
        auto& it = *buckets_.find(*id);
        refill(it, now);
        it.recovering = false;
        changed_.insert(*id);
    }
}

void token_allocator::allocate(row_id id,
                               instant now,
                               std::vector<token_grant>& grants)
{
    auto& it = *buckets_.find(id);
    refill(it, now);
    auto const over_limit = it.outstanding > max_outstanding(it);
    if (over_limit && !it.recovering)
    {
        // The burst has been lowered. The surplus has to expire, and a grant
        // would renew the expiry.
        it.unanswered.clear();
        return;
    }
    auto const queue_length = it.queue.size();
    for (std::size_t n = 0; n != queue_length && !it.recovering; ++n)
    {
        auto const tokens = grantable(it);
        if (tokens == 0)
            break;
        auto const next = it.queue.begin()->second;
        auto& to = *allocations_.find(next);
        auto const granted = std::min(tokens, to.waiting);
        it.queue.erase(it.queue.begin());
        to.order = ++order_;
        it.queue.insert({to.order, next});
        set_demand(it, next, to, to.waiting - granted, to.reserve);
        auto const granted_reserve =
            std::min({to.reserve, it.queue.empty() ? reservable(it) : 0,
                      (tokens - granted) / reserve_divisor});
        set_demand(it, next, to, to.waiting, to.reserve - granted_reserve);
        add_grant(it, next, granted + granted_reserve, now, grants);
    }
    for (auto const next : std::exchange(it.unanswered, {}))
    {
        auto& to = *allocations_.find(next);
        auto const granted_reserve = it.recovering || !it.queue.empty()
                                         ? 0
                                         : std::min(to.reserve, reservable(it));
        set_demand(it, next, to, to.waiting, to.reserve - granted_reserve);
        add_grant(it, next, granted_reserve, now, grants);
    }
    if (!it.queue.empty() && !it.recovering)
    {
        auto const token_interval =
            it.rate > 0 ? duration(nanotokens_per_token / it.rate + 1)
                        : settings_.lifetime;
        refills_.set(id,
                     now + std::max(token_interval, settings_.refill_interval));
    }
}

// Returns the time until the bucket has a token beyond those that holders wait
// for, if the rate is used up.
std::optional<duration> token_allocator::time_to_next_token(bucket const& it,
                                                            instant now) const
{
    if (it.next_token)
        return std::max(*it.next_token - now, duration{});
    // The buckets for the threads of a daemon have no rate of their own.
    if (it.recovering || grantable(it) > 0 || it.level_expiry != never)
        return std::nullopt;
    auto const rate =
        it.rate * microtokens_per_token - reserved_floors(it).rate;
    auto const missing = (it.waiting + 1) * nanotokens_per_token - it.level;
    if (rate <= 0)
        return max_time_to_next_token;
    auto const seconds = static_cast<double>(missing) /
                         static_cast<double>(nanotokens_per_microtoken) /
                         static_cast<double>(rate);
    return std::min(max_time_to_next_token,
                    duration(static_cast<duration::rep>(
                        seconds * static_cast<double>(nanoseconds_per_s))));
}

void token_allocator::add_grant(bucket& it,
                                row_id id,
                                std::int64_t tokens,
                                instant now,
                                std::vector<token_grant>& grants)
{
    auto& to = *allocations_.find(id);
    it.unanswered.erase(id);
    set_floor(it, to, to.confirmed_floor, next_floor(it, to),
              to.floor_suspended);
    clamp(it);
    tokens = std::min(tokens, grantable(it));
    it.level -= tokens * nanotokens_per_token;
    set_outstanding(it, to, to.outstanding + tokens * nanotokens_per_token);
    ++to.number;
    if (tokens > 0)
        to.unacknowledged.push_back({to.number, tokens});
    // Tokens of a holder that has not reported were granted in an earlier term.
    // Their expiry is not renewed, as this term waits only until they expire.
    auto const max_lifetime =
        to.is_busy ? settings_.busy_lifetime : settings_.lifetime;
    auto const lifetime = to.reported ? std::clamp(it.level_expiry - now,
                                                   duration{}, max_lifetime)
                                      : duration{};
    if (to.reported)
    {
        to.expiry = std::max(to.expiry, now + with_clock_margin(lifetime));
        expiries_.set(id, to.expiry);
    }
    auto const next_token = time_to_next_token(it, now);
    grants.push_back({it.workspace,
                      to.holder,
                      to.incarnation,
                      {term_, to.number},
                      now,
                      to.echo,
                      lifetime,
                      tokens,
                      to.granted_floor,
                      with_clock_margin(update_suspension(it, to)),
                      next_token.has_value(),
                      next_token.value_or(duration{})});
}

} // namespace basilreach::limits
