#include <basilreach/limits/rate_limiter.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace basilreach::limits
{

namespace
{

constexpr std::int64_t nanotokens_per_token = 1'000'000'000;
constexpr std::int64_t microtokens_per_token = 1'000'000;
constexpr std::int64_t nanotokens_per_microtoken =
    nanotokens_per_token / microtokens_per_token;

// Time constant of the average of the demand. It spans several statements of a
// workspace with a few a second, and is shorter than the time for which clients
// stay at one daemon.
constexpr double demand_window_s = 0.5;

// A request is urgent once less than this fraction (1/16) of the target reserve
// is left.
constexpr std::int64_t urgent_divisor = 16;

// Lifetime of tokens from the floor. It is short, so that the threads of a
// daemon stop using the floor soon after a grant to the daemon has suspended
// it.
constexpr duration floor_token_lifetime = std::chrono::milliseconds(50);

// A floor whose suspension ends within this time is reported with a request of
// its own: contact has not prolonged it.
constexpr duration suspension_margin = std::chrono::milliseconds(200);

// Time for which a grant's statement that the rate is used up is relied on. A
// holder that waits for tokens gets a grant at least every report_interval.
constexpr duration used_up_validity = std::chrono::milliseconds(500);

// A holder that waits for tokens reports at once when it waits for more than
// this many times as many as it has stated. Then a burst of statements does not
// wait for report_interval, and a workspace over its rate costs few reports.
constexpr std::int64_t urgent_growth = 2;

double seconds(duration it)
{
    return std::chrono::duration<double>(it).count();
}

std::int64_t round_up_to_tokens(std::int64_t amount)
{
    return (amount + nanotokens_per_token - 1) / nanotokens_per_token;
}

} // namespace

rate_limiter::rate_limiter(rate_limiter_settings settings,
                           daemon_name holder,
                           std::uint64_t incarnation)
    : settings_(settings), holder_(std::move(holder)), incarnation_(incarnation)
{
}

void rate_limiter::add_workspace(workspace_name const& workspace,
                                 instant now,
                                 instant first_report_at)
{
    if (by_name_.contains(workspace))
        return;
    local_bucket row;
    row.workspace = workspace;
    row.sent = now - settings_.idle_interval;
    row.demand_at = now;
    row.first_report_at = first_report_at;
    auto const id = buckets_.insert(std::move(row));
    by_name_.emplace(workspace, id);
    schedule(id, *buckets_.find(id));
}

void rate_limiter::remove_workspace(workspace_name const& workspace)
{
    auto const it = by_name_.find(workspace);
    if (it == by_name_.end())
        return;
    due_.erase(it->second);
    buckets_.erase(it->second);
    by_name_.erase(it);
}

void rate_limiter::set_first_contact(instant it)
{
    first_contact_ = it;
}

bool rate_limiter::try_consume(workspace_name const& workspace,
                               std::int64_t tokens,
                               instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return false;
    refresh(*it, now);
    if (it->left < tokens * nanotokens_per_token)
        return false;
    it->left -= tokens * nanotokens_per_token;
    record_use(*it, tokens, now);
    return true;
}

void rate_limiter::refund(workspace_name const& workspace, std::int64_t tokens)
{
    if (auto* const it = find(workspace))
        it->left += tokens * nanotokens_per_token;
}

void rate_limiter::set_waiting(workspace_name const& workspace,
                               std::int64_t tokens,
                               instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr || it->waiting == tokens)
        return;
    refresh(*it, now);
    bool const has_grown = it->waiting == 0
                               ? tokens > 0
                               : tokens > urgent_growth * it->reported_waiting;
    it->request_urgent = it->request_urgent || has_grown;
    it->use_unreported = it->use_unreported || tokens > it->waiting;
    it->waiting = tokens;
    schedule(by_name_.at(workspace), *it);
}

void rate_limiter::receive(token_grant const& grant, instant now)
{
    auto* const it = find(grant.workspace);
    if (it == nullptr || grant.holder != holder_ ||
        grant.incarnation != incarnation_ || grant.id <= it->last_grant ||
        grant.id.term < last_contact_.first)
        return;
    refresh(*it, now);
    // The allocator asks for a report: it counts the floor as in use.
    bool const is_probe = grant.tokens == 0 && has_nothing_to_report(*it);
    // The tokens of a grant that came late, or to a process that was stopped
    // for a while, must not live as long as those of the floor: the allocator
    // has written them off.
    auto const grant_expiry = grant.echo + grant.lifetime;
    bool const outlives_floor =
        grant_expiry >= it->expiry || !it->is_floor_expiry;
    if (grant_expiry > now && outlives_floor)
        it->left += grant.tokens * nanotokens_per_token;
    if (grant_expiry >= it->expiry)
        it->is_floor_expiry = false;
    it->expiry = std::max(it->expiry, grant_expiry);
    // A new leader grants nothing before the holder has reported to it, and
    // without traffic the next report would be due after idle_interval only.
    it->request_urgent =
        it->request_urgent || is_probe || it->last_grant.term != grant.id.term;
    it->used_up_at = grant.is_used_up ? std::optional(now) : std::nullopt;
    it->next_token = now + grant.next_token;
    it->last_grant = grant.id;
    it->last_grant_sent = grant.sent;
    // The first grant of a leader has no lifetime and an empty floor: the
    // leader does not know the holder's floor yet.
    if (grant.lifetime > duration{})
        it->floor = grant.floor;
    has_floor_ = has_floor_ || it->floor != rate_floor{};
    // A floor in use continues after a grant without suspension, once the
    // tokens left have expired. The end of a suspension is never moved to an
    // earlier time: the allocator relies on the longer one of an earlier grant.
    auto const floor_suspended_until =
        std::max(now + grant.floor_suspension, it->expiry);
    if (it->floor_suspended_until == never ||
        floor_suspended_until > it->floor_suspended_until)
    {
        it->floor_suspended_until = floor_suspended_until;
        it->floor_refilled_until =
            std::max(it->floor_refilled_until, floor_suspended_until);
    }
    it->answered = it->answered || grant.echo >= it->sent;
    refresh(*it, now);
    schedule(by_name_.at(grant.workspace), *it);
}

void rate_limiter::receive(contact_grant const& grant, instant now)
{
    if (grant.holder != holder_ || grant.incarnation != incarnation_ ||
        std::pair(grant.term, grant.sent) <= last_contact_)
        return;
    // A new allocator prolongs nothing before its first grant is acknowledged,
    // and moves no floors before all holders have reported to it.
    if (grant.term != last_contact_.first)
        contact_sent_ =
            now - std::max(settings_.idle_interval, settings_.contact_interval);
    last_contact_ = {grant.term, grant.sent};
    is_contact_answered_ = true;
    request_reports(grant, now);
    auto const until = now + grant.floor_suspension;
    for (auto const& [workspace, id] : by_name_)
    {
        auto& it = *buckets_.find(id);
        refresh(it, now);
        bool const is_suspended =
            it.floor_suspended_until != never && it.floor_suspended_until > now;
        if (!is_suspended || it.last_grant.term != grant.term ||
            until <= it.floor_suspended_until)
            continue;
        it.floor_suspended_until = until;
        it.floor_refilled_until = std::max(it.floor_refilled_until, until);
        schedule(id, it);
    }
}

// Sends the reports that the allocator asks for, in the next batch.
void rate_limiter::request_reports(contact_grant const& grant, instant now)
{
    lacks_floors_ = grant.lacks_floors;
    for (auto const& workspace : grant.unreported)
    {
        auto* const it = find(workspace);
        // A request that is not answered yet will be sent again.
        if (it == nullptr || !it->answered)
            continue;
        it->first_report_at = now;
        it->request_urgent = true;
        schedule(by_name_.at(workspace), *it);
    }
}

void rate_limiter::change_allocator(instant now)
{
    contact_sent_ = now - settings_.idle_interval;
    for (auto const& [workspace, id] : by_name_)
    {
        auto& it = *buckets_.find(id);
        it.retry = settings_.retry_interval;
        it.sent = std::min(it.sent, now);
        if (it.answered && (it.left > 0 || it.floor != rate_floor{}))
            it.request_urgent = true;
        schedule(id, it);
    }
}

std::int64_t rate_limiter::delegate(workspace_name const& workspace,
                                    std::int64_t tokens,
                                    instant now)
{
    auto const delegated = std::min(tokens, available(workspace, now));
    if (delegated <= 0)
        return 0;
    auto& it = *find(workspace);
    it.left -= delegated * nanotokens_per_token;
    it.delegated += delegated;
    return delegated;
}

void rate_limiter::reconcile(workspace_name const& workspace,
                             std::int64_t taken_back,
                             std::int64_t still_delegated,
                             instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return;
    refresh(*it, now);
    auto const consumed = it->delegated - still_delegated - taken_back;
    auto const already_expired = it->delegated == 0;
    it->delegated = already_expired ? 0 : still_delegated;
    it->left += already_expired ? 0 : taken_back * nanotokens_per_token;
    if (consumed > 0)
        record_use(*it, consumed, now);
}

std::int64_t rate_limiter::available(workspace_name const& workspace,
                                     instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return 0;
    refresh(*it, now);
    return it->left / nanotokens_per_token;
}

std::optional<instant> rate_limiter::next_token(workspace_name const& workspace,
                                                instant now) const
{
    auto const* const it = find(workspace);
    if (it == nullptr || !it->used_up_at ||
        now >= *it->used_up_at + used_up_validity)
        return std::nullopt;
    return std::max(it->next_token, now);
}

instant rate_limiter::expiry(workspace_name const& workspace) const
{
    auto const* const it = find(workspace);
    return it == nullptr ? instant{} : it->expiry;
}

std::vector<token_request> rate_limiter::tick(instant now)
{
    std::vector<token_request> requests;
    auto const next_batch = settings_.batch_reports
                                ? last_batch_sent_ + settings_.report_interval
                                : now;
    while (auto const id = due_.pop_due(now))
    {
        auto& it = *buckets_.find(*id);
        refresh(it, now);
        if (send_time(it) > now)
            schedule(*id, it);
        else if (!is_urgent(it) && now < next_batch)
            due_.set(*id, next_batch);
        else
        {
            requests.push_back(make_request(it, now));
            schedule(*id, it);
        }
    }
    if (requests.empty() || !settings_.batch_reports)
        return requests;
    last_batch_sent_ = now;
    for (auto const& [workspace, id] : by_name_)
    {
        auto& it = *buckets_.find(id);
        if (!is_due_soon(it, now))
            continue;
        refresh(it, now);
        requests.push_back(make_request(it, now));
        schedule(id, it);
    }
    return requests;
}

std::optional<contact_report> rate_limiter::tick_contact(instant now)
{
    if (now < next_contact())
        return std::nullopt;
    contact_sent_ = now;
    is_contact_answered_ = false;
    return contact_report{holder_, incarnation_, last_contact_.first,
                          last_contact_.second, is_current()};
}

// Returns whether the holder has nothing of terms before that of the last
// contact grant.
bool rate_limiter::is_current() const
{
    return std::all_of(by_name_.begin(), by_name_.end(),
                       [this](auto const& name)
                       {
                           auto const& it = *buckets_.find(name.second);
                           bool const is_empty = it.left == 0 &&
                                                 it.delegated == 0 &&
                                                 it.floor == rate_floor{};
                           return is_empty ||
                                  it.last_grant.term >= last_contact_.first;
                       });
}

instant rate_limiter::next_contact() const
{
    if (has_floor_ || lacks_floors_ || !is_contact_answered_)
        return contact_sent_ + settings_.idle_interval;
    if (settings_.contact_interval == duration{})
        return never;
    return std::max(first_contact_, contact_sent_ + settings_.contact_interval);
}

instant rate_limiter::next_deadline() const
{
    return std::min(due_.next(), next_contact());
}

rate_limiter::local_bucket* rate_limiter::find(workspace_name const& workspace)
{
    auto const it = by_name_.find(workspace);
    return it == by_name_.end() ? nullptr : buckets_.find(it->second);
}

rate_limiter::local_bucket const*
rate_limiter::find(workspace_name const& workspace) const
{
    auto const it = by_name_.find(workspace);
    return it == by_name_.end() ? nullptr : buckets_.find(it->second);
}

void rate_limiter::refresh(local_bucket& it, instant now)
{
    if (now >= it.expiry && it.floor_refilled_until <= it.floor_suspended_until)
    {
        it.left = 0;
        it.delegated = 0;
    }
    if (now <= it.floor_refilled_until || now <= it.floor_suspended_until)
        return;
    // Without contact, granted tokens have expired and the floor is refilled.
    auto const elapsed = (now - it.floor_refilled_until).count();
    it.floor_refilled_until = now;
    it.expiry = now + floor_token_lifetime;
    it.is_floor_expiry = true;
    auto const room = it.floor.burst * nanotokens_per_microtoken - it.left -
                      it.delegated * nanotokens_per_token;
    if (room <= 0 || it.floor.rate <= 0)
        return;
    auto const fill_time = (room / it.floor.rate + 1) * microtokens_per_token;
    it.left +=
        elapsed >= fill_time
            ? room
            : std::min(room, it.floor.rate / microtokens_per_token * elapsed +
                                 it.floor.rate % microtokens_per_token *
                                     elapsed / microtokens_per_token);
}

void rate_limiter::record_use(local_bucket& it,
                              std::int64_t tokens,
                              instant now)
{
    it.demand =
        it.demand * std::exp(-seconds(now - it.demand_at) / demand_window_s) +
        static_cast<double>(tokens) / demand_window_s;
    it.demand_at = now;
    it.use_unreported = true;
    // The next request states what is missing in the reserve. It is sent early
    // if the reserve is nearly used up. The division rounds up, so that this
    // includes a target reserve of one token when none is left.
    if (it.left / nanotokens_per_token <
        (target_reserve(it, now) + urgent_divisor - 1) / urgent_divisor)
        it.request_urgent = true;
    schedule(by_name_.at(it.workspace), it);
}

std::int64_t rate_limiter::target_reserve(local_bucket const& it,
                                          instant now) const
{
    auto const demand =
        it.demand * std::exp(-seconds(now - it.demand_at) / demand_window_s);
    auto const expected = static_cast<std::int64_t>(
        std::ceil(demand * seconds(settings_.reserve_time) - 0.05));
    bool const is_recent =
        demand > 0 && now < it.demand_at + settings_.recent_time;
    return is_recent ? std::max(expected, settings_.min_reserve) : expected;
}

instant rate_limiter::send_time(local_bucket const& it) const
{
    if (it.sequence == 0 && it.waiting == 0)
        return it.first_report_at;
    if (!it.answered)
        return it.sent + it.retry;
    if (has_nothing_to_report(it))
    {
        if (it.floor == rate_floor{})
            return never;
        auto const idle_until = it.sent + settings_.idle_interval;
        return it.floor_suspended_until == never
                   ? idle_until
                   : std::max(idle_until,
                              it.floor_suspended_until - suspension_margin);
    }
    if (it.request_urgent)
        return it.sent + settings_.request_interval;
    if (it.use_unreported || it.waiting > 0 || it.reported_waiting > 0)
        return it.sent + settings_.report_interval;
    return it.sent + settings_.idle_interval;
}

// Returns whether the request must not wait for the next batch, because
// statements wait for its answer or soon will.
bool rate_limiter::is_urgent(local_bucket const& it)
{
    return !it.answered || it.request_urgent;
}

// Returns whether the allocator needs to know nothing of this holder but that
// it is in contact: it has no tokens whose expiry must be renewed. A daemon
// uses few of many workspaces at a time.
bool rate_limiter::has_nothing_to_report(local_bucket const& it)
{
    return it.answered && !it.request_urgent && !it.use_unreported &&
           it.waiting == 0 && it.reported_waiting == 0 && it.left == 0 &&
           it.delegated == 0;
}

// Returns whether at least half of the time until the next request has passed.
bool rate_limiter::is_due_soon(local_bucket const& it, instant now) const
{
    return it.sequence != 0 && it.answered && !has_nothing_to_report(it) &&
           it.sent + (send_time(it) - it.sent) / 2 <= now;
}

void rate_limiter::schedule(row_id id, local_bucket const& it)
{
    due_.set(id, send_time(it));
}

token_request rate_limiter::make_request(local_bucket& it, instant now)
{
    auto const target = target_reserve(it, now);
    auto const whole_tokens = it.left / nanotokens_per_token;
    // The minimum reserve may be at the threads of the daemon.
    auto const held = target == settings_.min_reserve
                          ? whole_tokens + it.delegated
                          : whole_tokens;
    // Only tokens beyond twice the target are returned, so that the holder does
    // not alternate between returning and requesting them.
    auto const surplus =
        it.waiting > 0 ? 0
                       : std::max<std::int64_t>(whole_tokens - 2 * target, 0);
    it.left -= surplus * nanotokens_per_token;
    it.returned += surplus;
    repeats_ += it.answered ? 0 : 1;
    it.retry = it.answered
                   ? settings_.retry_interval
                   : std::min(2 * it.retry, settings_.max_retry_interval);
    it.sent = now;
    it.answered = false;
    it.request_urgent = false;
    it.use_unreported = false;
    it.reported_waiting = it.waiting;
    return {it.workspace,
            holder_,
            incarnation_,
            ++it.sequence,
            now,
            it.last_grant,
            it.last_grant_sent,
            round_up_to_tokens(it.left) + it.delegated,
            it.returned,
            it.waiting,
            std::max<std::int64_t>(target - held, 0),
            it.floor};
}

} // namespace basilreach::limits
