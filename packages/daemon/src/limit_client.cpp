#include <basilreach/daemon/limit_client.hpp>

#include <utility>
#include <vector>

#include <basilreach/limits/first_report.hpp>
#include <basilreach/limits/token_transfer.hpp>

namespace basilreach::daemon
{

namespace
{

constexpr char holder_prefix[] = "thread-";

// Interval at which a daemon without floors asks whether a workspace has one.
constexpr duration contact_interval = std::chrono::seconds(2);

// Time after which an unanswered batch counts as lost. The link to the leader
// delivers what was sent over it, so only a batch that arrived at a host that
// did not lead yet, or over a link that has ended, gets no answer.
constexpr duration batch_timeout = std::chrono::seconds(1);

limits::rate_limiter_settings limiter_settings()
{
    limits::rate_limiter_settings out;
    out.min_reserve = 1;
    out.contact_interval = contact_interval;
    out.batch_reports = true;
    return out;
}

limits::connection_limiter_settings connection_settings()
{
    limits::connection_limiter_settings out;
    out.renews_together = true;
    return out;
}

// Whether the server itself refuses connections beyond its limit. The leader
// then needs no report of a daemon that has no connections.
bool is_limit_checked_by_server(control::control_state const& state,
                                server_name const& server)
{
    auto const& limits = state.rules()->server_limits;
    auto const* const entry = state.find(server);
    auto const found =
        entry == nullptr ? limits.end() : limits.find(entry->group);
    return found != limits.end() &&
           found->second.checked_by == rules::position_check::server;
}

// Returns the thread that token_holder_name() was called with.
std::size_t thread_index_of(daemon_name const& holder)
{
    return std::stoul(holder.str().substr(sizeof(holder_prefix) - 1));
}

} // namespace

daemon_name token_holder_name(std::size_t thread)
{
    return daemon_name(holder_prefix + std::to_string(thread));
}

limit_client::limit_client(
    daemon_context const& context,
    std::uint64_t incarnation,
    std::function<void(messages::message const&)> send_to_leader,
    instant now)
    : context_(context), incarnation_(incarnation),
      send_to_leader_(std::move(send_to_leader)),
      rate_limiter_(limiter_settings(), context.settings.name, incarnation),
      thread_allocator_(limits::thread_level_settings(), 1, now),
      connection_limiter_(
          connection_settings(), context.settings.name, incarnation)
{
    // Traffic threads live as long as this process, so none of them holds a
    // grant yet.
    thread_allocator_.assume_no_earlier_grants(now);
    for (std::size_t n = 0; n != context.threads.size(); ++n)
        thread_allocator_.register_holder(token_holder_name(n), now);
}

void limit_client::configure(control::control_state const& state, instant now)
{
    // The control thread calls this in every iteration of its loop, so it
    // returns early when the state has not changed.
    if (std::exchange(configured_revision_, state.revision()) ==
        state.revision())
        return;
    configure_workspaces(*state.rules(), now);
    configure_servers(state, now);
}

void limit_client::configure_workspaces(rules::rule_set const& all, instant now)
{
    auto const& rules = all.workspaces;
    if (workspaces_.empty())
        rate_limiter_.set_first_contact(
            now + limits::first_report_delay(context_.settings.name, 0,
                                             rules.size()));
    for (auto const& [name, rule] : rules)
        if (workspaces_.insert(name).second)
        {
            // The leader asks for the reports that it needs.
            rate_limiter_.add_workspace(name, now, never);
            thread_allocator_.configure(name, 0, limits::thread_level_burst,
                                        now);
        }
    for (auto it = workspaces_.begin(); it != workspaces_.end();)
    {
        if (rules.contains(*it))
        {
            ++it;
            continue;
        }
        rate_limiter_.remove_workspace(*it);
        it = workspaces_.erase(it);
    }
}

void limit_client::configure_servers(control::control_state const& state,
                                     instant now)
{
    auto const& servers = state.parts().servers;
    std::vector<server_name> added;
    for (auto const& [name, it] : servers)
        if (!it.is_removed && known_shares_.emplace(name, 0).second)
            added.push_back(name);
    for (std::size_t n = 0; n != added.size(); ++n)
        connection_limiter_.add_server(
            added[n], now,
            is_limit_checked_by_server(state, added[n])
                ? never
                : now + limits::first_report_delay(context_.settings.name, n,
                                                   added.size()));
    for (auto it = known_shares_.begin(); it != known_shares_.end();)
    {
        auto const known = servers.find(it->first);
        if (known != servers.end() && !known->second.is_removed)
        {
            ++it;
            continue;
        }
        connection_limiter_.remove_server(it->first);
        it = known_shares_.erase(it);
    }
}

void limit_client::receive(limits::token_request const& it, instant now)
{
    thread_allocator_.receive(it, now);
}

void limit_client::receive(messages::limit_grants const& batch, instant now)
{
    auto const pass_on = [&](auto& limiter, auto grant)
    {
        messages::copy_batch_fields(batch, grant);
        limiter.receive(grant, now);
    };
    for (auto const& it : batch.tokens)
        pass_on(rate_limiter_, it);
    if (batch.contact)
        pass_on(rate_limiter_, *batch.contact);
    if (batch.renewal)
        pass_on(connection_limiter_, *batch.renewal);
    for (auto const& it : batch.shares)
        pass_on(connection_limiter_, it);
    if (batch.incarnation == incarnation_ && batch.answered == last_batch_)
        is_batch_answered_ = true;
}

void limit_client::receive(traffic::connections_used const& it, instant now)
{
    if (known_shares_.contains(it.server))
        connection_limiter_.report_use(it.server, it.open, it.wanted, now);
}

void limit_client::change_allocator(instant now)
{
    rate_limiter_.change_allocator(now);
    connection_limiter_.change_allocator(now);
    is_batch_answered_ = true;
}

void limit_client::set_contact(bool is_in_contact)
{
    is_in_contact_ = is_in_contact;
}

void limit_client::tick(instant now)
{
    for (auto const& it : workspaces_)
        limits::transfer_tokens(rate_limiter_, thread_allocator_, it, now);
    for (auto const& it : thread_allocator_.tick(now))
        context_.threads[thread_index_of(it.holder)]->post(traffic::event(it));
    if (is_in_contact_ && next_batch() <= now)
        send_requests(now);
    post_share_changes(now);
}

// A leader that is late gets the next requests in one message. With a message
// as soon as something was due, a leader without enough processor time got
// several times the usual number of messages.
instant limit_client::next_batch() const
{
    return is_batch_answered_ ? instant::min() : batch_sent_ + batch_timeout;
}

void limit_client::send_requests(instant now)
{
    messages::limit_requests batch{context_.settings.name,
                                   incarnation_,
                                   now,
                                   rate_limiter_.tick(now),
                                   rate_limiter_.tick_contact(now),
                                   {},
                                   0,
                                   last_batch_ + 1,
                                   {}};
    bool const is_sent_anyway = !batch.tokens.empty() || batch.contact;
    batch.shares = connection_limiter_.tick(now, is_sent_anyway);
    batch.renewal = connection_limiter_.tick_renewal(now);
    if (!is_sent_anyway && batch.shares.empty() && !batch.renewal)
        return;
    auto const repeats =
        rate_limiter_.repeats() + connection_limiter_.repeats();
    batch.repeated = repeats - std::exchange(stated_repeats_, repeats);
    last_batch_ = batch.number;
    batch_sent_ = now;
    is_batch_answered_ = false;
    send_to_leader_(batch);
}

void limit_client::post_share_changes(instant now)
{
    for (auto& [name, known] : known_shares_)
    {
        auto const share = connection_limiter_.share(name, now);
        if (share == known)
            continue;
        bool const is_expired =
            share < known && connection_limiter_.expiry(name) <= now;
        known = share;
        for (auto* thread : context_.threads)
            thread->post(traffic::event(
                traffic::connection_share_changed{name, share, is_expired}));
    }
}

instant limit_client::next_deadline() const
{
    auto next = thread_allocator_.next_deadline();
    if (is_in_contact_)
        next = std::min(
            next, std::max(next_batch(),
                           std::min(rate_limiter_.next_deadline(),
                                    connection_limiter_.next_deadline())));
    for (auto const& [name, share] : known_shares_)
        if (share > 0 && connection_limiter_.share(
                             name, connection_limiter_.expiry(name)) < share)
            next = std::min(next, connection_limiter_.expiry(name));
    return next;
}

} // namespace basilreach::daemon
