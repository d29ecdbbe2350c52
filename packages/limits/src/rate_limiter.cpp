#include <basilreach/limits/rate_limiter.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace basilreach::limits
{

namespace
{

constexpr std::int64_t nanotokens = 1'000'000'000;
constexpr std::int64_t microtokens = 1'000'000;
constexpr std::int64_t nanotokens_per_microtoken = nanotokens / microtokens;

// Time over which the demand is averaged, in seconds: several statements of a
// workspace with a few a second, and short against a move of the callers.
constexpr double demand_time = 0.5;

// A reserve below this part of the wanted one is asked for at once.
constexpr std::int64_t urgent_divisor = 16;

// Floor tokens lent to the next level are valid for this time at once, so that
// a grant ends the floor on both levels.
constexpr duration floor_lending_time = std::chrono::milliseconds(50);

double seconds(duration it)
{
    return std::chrono::duration<double>(it).count();
}

std::int64_t round_up(std::int64_t amount)
{
    return (amount + nanotokens - 1) / nanotokens;
}

} // namespace

rate_limiter::rate_limiter(rate_limiter_settings settings,
                           daemon_name holder,
                           std::uint64_t incarnation)
    : settings_(settings), holder_(std::move(holder)), incarnation_(incarnation)
{
}

void rate_limiter::add_workspace(workspace_name const& workspace, instant now)
{
    if (by_name_.contains(workspace))
        return;
    purse row;
    row.workspace = workspace;
    row.sent = now - settings_.idle_interval;
    row.demand_at = now;
    row.asking = true;
    auto const id = purses_.insert(std::move(row));
    by_name_.emplace(workspace, id);
    due_.set(id, now);
}

void rate_limiter::remove_workspace(workspace_name const& workspace)
{
    auto const it = by_name_.find(workspace);
    if (it == by_name_.end())
        return;
    due_.erase(it->second);
    purses_.erase(it->second);
    by_name_.erase(it);
}

bool rate_limiter::try_consume(workspace_name const& workspace,
                               std::int64_t tokens,
                               instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return false;
    refresh(*it, now);
    if (it->left < tokens * nanotokens)
        return false;
    it->left -= tokens * nanotokens;
    use(*it, tokens, now);
    return true;
}

void rate_limiter::refund(workspace_name const& workspace, std::int64_t tokens)
{
    if (auto* const it = find(workspace))
        it->left += tokens * nanotokens;
}

void rate_limiter::set_waiting(workspace_name const& workspace,
                               std::int64_t tokens,
                               instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr || it->waiting == tokens)
        return;
    refresh(*it, now);
    // The granting side keeps a place for a holder that waits already.
    it->asking = it->asking || (it->waiting == 0 && tokens > 0);
    it->used = it->used || tokens > it->waiting;
    it->waiting = tokens;
    schedule(by_name_.at(workspace), *it);
}

void rate_limiter::receive(token_grant const& grant, instant now)
{
    auto* const it = find(grant.workspace);
    if (it == nullptr || grant.holder != holder_ ||
        grant.incarnation != incarnation_ || grant.id <= it->heard)
        return;
    refresh(*it, now);
    it->expiry = std::max(it->expiry, grant.echo + grant.lifetime);
    it->left += grant.tokens * nanotokens;
    // A new leader grants nothing before it has the holder's report, and the
    // next one would only follow after the idle interval.
    it->asking = it->asking || it->heard.term != grant.id.term;
    it->heard = grant.id;
    it->heard_sent = grant.sent;
    // The first grant of a leader is sent before it knows the holder's floor.
    if (grant.lifetime > duration{})
        it->floor = grant.floor;
    // A floor that runs goes on after a grant that lets it. An earlier grant
    // may have promised a longer rest.
    auto const rest_until = std::max(now + grant.floor_rest, it->expiry);
    if (it->rest_until == never || rest_until > it->rest_until)
    {
        it->rest_until = rest_until;
        it->refilled = std::max(it->refilled, rest_until);
    }
    it->answered = it->answered || grant.echo >= it->sent;
    refresh(*it, now);
    schedule(by_name_.at(grant.workspace), *it);
}

std::int64_t rate_limiter::lend(workspace_name const& workspace,
                                std::int64_t tokens,
                                instant now)
{
    auto const lent = std::min(tokens, available(workspace, now));
    if (lent <= 0)
        return 0;
    auto& it = *find(workspace);
    it.left -= lent * nanotokens;
    it.lent += lent;
    return lent;
}

void rate_limiter::settle(workspace_name const& workspace,
                          std::int64_t taken_back,
                          std::int64_t still_lent,
                          instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return;
    refresh(*it, now);
    auto const gone = it->lent - still_lent - taken_back;
    auto const expired = it->lent == 0;
    it->lent = expired ? 0 : still_lent;
    it->left += expired ? 0 : taken_back * nanotokens;
    if (gone > 0)
        use(*it, gone, now);
}

std::int64_t rate_limiter::available(workspace_name const& workspace,
                                     instant now)
{
    auto* const it = find(workspace);
    if (it == nullptr)
        return 0;
    refresh(*it, now);
    return it->left / nanotokens;
}

instant rate_limiter::expiry(workspace_name const& workspace) const
{
    auto const* const it = find(workspace);
    return it == nullptr ? instant{} : it->expiry;
}

std::vector<token_request> rate_limiter::tick(instant now)
{
    std::vector<token_request> requests;
    auto const next_report =
        settings_.batch_reports ? sent_ + settings_.report_interval : now;
    while (auto const id = due_.pop_due(now))
    {
        auto& it = *purses_.find(*id);
        refresh(it, now);
        if (send_time(it) > now)
            schedule(*id, it);
        else if (!is_urgent(it) && now < next_report)
            due_.set(*id, next_report);
        else
        {
            requests.push_back(make_request(it, now));
            schedule(*id, it);
        }
    }
    if (requests.empty() || !settings_.batch_reports)
        return requests;
    sent_ = now;
    for (auto const& [workspace, id] : by_name_)
    {
        auto& it = *purses_.find(id);
        if (!is_due_soon(it, now))
            continue;
        refresh(it, now);
        requests.push_back(make_request(it, now));
        schedule(id, it);
    }
    return requests;
}

instant rate_limiter::next_deadline() const
{
    return due_.next();
}

rate_limiter::purse* rate_limiter::find(workspace_name const& workspace)
{
    auto const it = by_name_.find(workspace);
    return it == by_name_.end() ? nullptr : purses_.find(it->second);
}

rate_limiter::purse const*
rate_limiter::find(workspace_name const& workspace) const
{
    auto const it = by_name_.find(workspace);
    return it == by_name_.end() ? nullptr : purses_.find(it->second);
}

void rate_limiter::refresh(purse& it, instant now)
{
    if (now >= it.expiry && it.refilled <= it.rest_until)
    {
        it.left = 0;
        it.lent = 0;
    }
    if (now <= it.refilled || now <= it.rest_until)
        return;
    // Out of contact: granted tokens have expired, the floor refills.
    auto const elapsed = (now - it.refilled).count();
    it.refilled = now;
    it.expiry = now + floor_lending_time;
    auto const room = it.floor.burst * nanotokens_per_microtoken - it.left -
                      it.lent * nanotokens;
    if (room <= 0 || it.floor.rate <= 0)
        return;
    auto const full = (room / it.floor.rate + 1) * microtokens;
    it.left += elapsed >= full
                   ? room
                   : std::min(room, it.floor.rate / microtokens * elapsed +
                                        it.floor.rate % microtokens * elapsed /
                                            microtokens);
}

void rate_limiter::use(purse& it, std::int64_t tokens, instant now)
{
    it.demand =
        it.demand * std::exp(-seconds(now - it.demand_at) / demand_time) +
        static_cast<double>(tokens) / demand_time;
    it.demand_at = now;
    it.used = true;
    // The next report asks for what is missing in the reserve. It is not waited
    // for when the reserve is nearly gone; a reserve of one token is then gone.
    if (it.left / nanotokens <
        (target(it, now) + urgent_divisor - 1) / urgent_divisor)
        it.asking = true;
    schedule(by_name_.at(it.workspace), it);
}

std::int64_t rate_limiter::target(purse const& it, instant now) const
{
    auto const demand =
        it.demand * std::exp(-seconds(now - it.demand_at) / demand_time);
    auto const expected = static_cast<std::int64_t>(
        std::ceil(demand * seconds(settings_.reserve_time) - 0.05));
    bool const is_recent =
        demand > 0 && now < it.demand_at + settings_.recent_time;
    return is_recent ? std::max(expected, settings_.min_reserve) : expected;
}

instant rate_limiter::send_time(purse const& it) const
{
    if (!it.answered)
        return it.sent + settings_.retry_interval;
    if (it.asking)
        return it.sent + settings_.request_interval;
    if (it.used || it.waiting > 0)
        return it.sent + settings_.report_interval;
    return it.sent + settings_.idle_interval;
}

// Whether statements wait for the answer, or soon will.
bool rate_limiter::is_urgent(purse const& it)
{
    return !it.answered || it.asking;
}

bool rate_limiter::is_due_soon(purse const& it, instant now) const
{
    return it.answered && it.sent + (send_time(it) - it.sent) / 2 <= now;
}

void rate_limiter::schedule(row_id id, purse const& it)
{
    due_.set(id, send_time(it));
}

token_request rate_limiter::make_request(purse& it, instant now) const
{
    auto const wanted = target(it, now);
    auto const whole = it.left / nanotokens;
    // Twice the target may stay, so that returns and requests do not
    // alternate.
    auto const surplus =
        it.waiting > 0 ? 0 : std::max<std::int64_t>(whole - 2 * wanted, 0);
    it.left -= surplus * nanotokens;
    it.returned += surplus;
    it.sent = now;
    it.answered = false;
    it.asking = false;
    it.used = false;
    return {it.workspace,
            holder_,
            incarnation_,
            ++it.sequence,
            now,
            it.heard,
            it.heard_sent,
            round_up(it.left) + it.lent,
            it.returned,
            it.waiting,
            std::max<std::int64_t>(wanted - whole, 0),
            it.floor};
}

} // namespace basilreach::limits
