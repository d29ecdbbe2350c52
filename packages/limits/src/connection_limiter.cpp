#include <basilreach/limits/connection_limiter.hpp>

#include <algorithm>
#include <utility>

namespace basilreach::limits
{

connection_limiter::connection_limiter(connection_limiter_settings settings,
                                       daemon_name holder,
                                       std::uint64_t incarnation)
    : settings_(settings), holder_(std::move(holder)), incarnation_(incarnation)
{
}

void connection_limiter::add_server(server_name const& server,
                                    instant now,
                                    instant first_report_at)
{
    if (by_name_.contains(server))
        return;
    row it;
    it.server = server;
    it.started = now;
    it.sent = now - settings_.idle_interval;
    it.first_report_at = first_report_at;
    auto const id = rows_.insert(std::move(it));
    by_name_.emplace(server, id);
    schedule(id, *rows_.find(id));
}

void connection_limiter::remove_server(server_name const& server)
{
    auto const it = by_name_.find(server);
    if (it == by_name_.end())
        return;
    due_.erase(it->second);
    rows_.erase(it->second);
    by_name_.erase(it);
}

void connection_limiter::report_use(server_name const& server,
                                    std::uint32_t open,
                                    std::uint32_t wanted,
                                    instant now)
{
    auto const found = by_name_.find(server);
    if (found == by_name_.end())
        return;
    auto& it = *rows_.find(found->second);
    if (it.open == open && it.wanted == wanted)
        return;
    // A lower demand is not urgent and is stated in the next request. More
    // demand than the share is urgent, and so is the closing of connections
    // beyond the share, for which the allocator waits.
    auto const current_share = share(server, now);
    bool const urgent = (wanted > it.wanted && wanted > current_share) ||
                        (open < it.open && it.open > current_share);
    it.request_urgent = it.request_urgent || urgent;
    it.open = open;
    it.wanted = wanted;
    schedule(found->second, it);
}

void connection_limiter::receive(share_grant const& grant, instant now)
{
    auto const found = by_name_.find(grant.server);
    if (found == by_name_.end() || grant.holder != holder_ ||
        grant.incarnation != incarnation_)
        return;
    auto& it = *rows_.find(found->second);
    if (grant.id <= it.last_grant)
        return;
    // Other holders cannot use the difference before this holder has confirmed
    // a smaller share.
    it.request_urgent =
        it.request_urgent || grant.share < share(grant.server, now);
    it.last_grant = grant.id;
    it.lifetime = grant.lifetime;
    renewal_term_ = grant.id.term;
    bool const renewed = grant.lifetime > duration{};
    it.share =
        renewed ? grant.share : std::min(share(grant.server, now), grant.share);
    it.base = renewed ? grant.base : std::min(it.base, grant.share);
    if (renewed)
        it.expiry = grant.echo + grant.lifetime;
    else
        it.request_urgent = true;
    it.answered = it.answered || grant.echo >= it.sent;
    schedule(found->second, it);
}

void connection_limiter::receive(share_renewal_grant const& grant, instant now)
{
    if (grant.holder != holder_ || grant.incarnation != incarnation_)
        return;
    for (auto const& [server, id] : by_name_)
    {
        auto& it = *rows_.find(id);
        // The allocator may have given away a share that has expired.
        if (it.last_grant.term == grant.term && now < it.expiry)
            it.expiry = std::max(it.expiry, grant.echo + grant.lifetime);
    }
}

void connection_limiter::change_allocator(instant now)
{
    renewal_term_ = 0;
    for (auto const& [server, id] : by_name_)
    {
        auto& it = *rows_.find(id);
        if (it.answered)
            continue;
        it.retry = settings_.retry_interval;
        it.sent = std::min(it.sent, now);
        schedule(id, it);
    }
}

std::uint32_t connection_limiter::share(server_name const& server,
                                        instant now) const
{
    auto const found = by_name_.find(server);
    if (found == by_name_.end())
        return 0;
    auto const& it = *rows_.find(found->second);
    return now < it.expiry ? it.share : std::min(it.share, it.base);
}

instant connection_limiter::expiry(server_name const& server) const
{
    auto const found = by_name_.find(server);
    return found == by_name_.end() ? instant{}
                                   : rows_.find(found->second)->expiry;
}

std::vector<share_request> connection_limiter::tick(instant now,
                                                    bool is_sent_anyway)
{
    std::vector<share_request> requests;
    while (auto const id = due_.pop_due(now))
    {
        auto& it = *rows_.find(*id);
        if (send_time(it) <= now)
            add_report(requests, it, now);
        schedule(*id, it);
    }
    if (is_sent_anyway || is_renewal_due_ || !requests.empty())
        add_requests_due_soon(requests, now);
    return requests;
}

void connection_limiter::add_requests_due_soon(
    std::vector<share_request>& requests, instant now)
{
    std::vector<row_id> visited;
    while (auto const id = due_.pop_due(now + settings_.batch_window))
    {
        auto& it = *rows_.find(*id);
        visited.push_back(*id);
        // What is sent again, or for the first time, keeps its own time.
        if (it.sequence != 0 && it.answered && !it.request_urgent)
            add_report(requests, it, now);
    }
    for (auto const id : visited)
        schedule(id, *rows_.find(id));
}

// Adds a request for the row, or lets the next renewal stand for it.
void connection_limiter::add_report(std::vector<share_request>& requests,
                                    row& it,
                                    instant now)
{
    if (is_renewable(it, now))
        is_renewal_due_ = true;
    else
        requests.push_back(make_request(it, now));
    it.sent = now;
}

std::optional<share_renewal> connection_limiter::tick_renewal(instant now)
{
    if (!std::exchange(is_renewal_due_, false))
        return std::nullopt;
    // The renewal also stands for the shares that are due later.
    for (auto const& [server, id] : by_name_)
    {
        auto& it = *rows_.find(id);
        if (!is_renewable(it, now))
            continue;
        it.sent = now;
        schedule(id, it);
    }
    return share_renewal{holder_, incarnation_, renewal_term_, now};
}

// Returns whether the present allocator knows all of the row, and a request for
// it can still be sent in time if the renewal is not answered.
bool connection_limiter::is_renewable(row const& it, instant now) const
{
    return settings_.renews_together && renewal_term_ != 0 &&
           it.last_grant.term == renewal_term_ && it.answered &&
           !it.request_urgent && it.share > 0 && it.open == it.reported_open &&
           it.wanted == it.reported_wanted && now + it.lifetime / 2 < it.expiry;
}

share_request connection_limiter::make_request(row& it, instant now)
{
    repeats_ += it.answered ? 0 : 1;
    it.retry = it.answered
                   ? settings_.retry_interval
                   : std::min(2 * it.retry, settings_.max_retry_interval);
    it.sent = now;
    it.answered = false;
    it.request_urgent = false;
    it.reported_open = it.open;
    it.reported_wanted = it.wanted;
    return {it.server, holder_,    incarnation_,  ++it.sequence,
            now,       it.started, it.last_grant, share(it.server, now),
            it.open,   it.wanted};
}

instant connection_limiter::next_deadline() const
{
    return due_.next();
}

void connection_limiter::schedule(row_id id, row const& it)
{
    due_.set(id, send_time(it));
}

instant connection_limiter::send_time(row const& it) const
{
    if (it.sequence == 0 && it.wanted == 0)
        return it.first_report_at;
    // A request that states a change does not wait for the answer to an earlier
    // one.
    if (it.request_urgent)
        return it.sent + settings_.request_interval;
    if (!it.answered)
        return it.sent + it.retry;
    if (has_nothing_to_report(it))
        return never;
    bool const is_withdrawn =
        it.share == 0 && it.wanted == 0 && it.reported_wanted > 0;
    return it.sent + (is_withdrawn ? settings_.withdrawal_interval
                                   : settings_.idle_interval);
}

// Returns whether the allocator needs to know nothing of this holder: it has no
// share that must be renewed and wants none. A daemon uses few of many servers
// at a time.
bool connection_limiter::has_nothing_to_report(row const& it)
{
    return it.answered && !it.request_urgent && it.share == 0 && it.open == 0 &&
           it.wanted == 0 && it.reported_wanted == 0;
}

} // namespace basilreach::limits
