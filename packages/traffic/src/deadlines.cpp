// Handles expired timers: statements past their deadline, connections that do
// not answer, and waits that have ended.
#include <algorithm>
#include <array>
#include <utility>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

// Reasons for refusing a statement at its deadline, indexed by request_state.
constexpr std::array<refusal_reason, 9> unsent_refusal_reasons = {
    refusal_reason::deadline,      refusal_reason::no_lease,
    refusal_reason::rate_exceeded, refusal_reason::deadline,
    refusal_reason::deadline,      refusal_reason::deadline,
    refusal_reason::deadline,      refusal_reason::deadline,
    refusal_reason::not_replicated};

void expire_request(state& s, row_id id)
{
    auto const* request = s.requests.find(id);
    if (request == nullptr)
        return;
    if (request->state != request_state::sent)
        return abandon_request(
            s, id,
            unsent_refusal_reasons[static_cast<std::size_t>(request->state)]);
    ++s.counts.silent_connections;
    abandon_request(s, id, refusal_reason::deadline);
}

void expire_read_try(state& s, row_id id)
{
    auto const* request = s.requests.find(id);
    if (request == nullptr || request->state != request_state::sent)
        return;
    // Without retry budget the first attempt goes on until the statement's
    // deadline.
    if (is_server_checked(s, *request) && s.retry_budget < 1)
        return;
    s.retry_budget -= is_server_checked(s, *request) ? 1 : 0;
    ++s.counts.silent_connections;
    handle_connection_loss(s, request->connection,
                           refusal_reason::connection_lost);
}

void expire_position_wait(state& s, row_id id)
{
    auto* request = s.requests.find(id);
    if (request == nullptr || request->state != request_state::waiting_position)
        return;
    auto& waiting = s.groups.find(request->group)->waiting_position;
    std::erase_if(waiting, [id](auto const& it) { return it.second == id; });
    request->state = request_state::arrived;
    s.to_route.push_back(id);
}

void expire_token_wait(state& s, row_id id)
{
    auto const* request = s.requests.find(id);
    if (request == nullptr ||
        request->state != request_state::waiting_rate_token)
        return;
    // Without a lease there is no contact to the leader, which grants tokens. A
    // new leader grants none while it recovers.
    auto const& workspace = s.sessions.find(request->session)->workspace;
    bool const is_used_up =
        s.has_lease() && s.rate_limiter.next_token(workspace, s.now);
    refuse_request(s, id, refusal_outcome::not_run,
                   is_used_up ? refusal_reason::rate_exceeded
                              : refusal_reason::no_lease);
}

void expire_connection(state& s, row_id id)
{
    auto const* row = s.connections.find(id);
    if (row == nullptr)
        return;
    if (row->state != connection_state::idle)
    {
        s.counts.silent_connections +=
            row->state == connection_state::querying_position ? 1 : 0;
        return handle_connection_loss(s, id, refusal_reason::connection_lost);
    }
    std::erase(s.servers.find(row->server)->idle, id);
    send_positions_query(s, id);
}

void expire_group_poll(state& s, row_id id)
{
    s.to_poll.push_back(id);
}

void expire_server_dispatch(state& s, row_id id)
{
    s.to_dispatch.push_back(id);
}

void expire_primary_retry(state& s, row_id id)
{
    route_waiting_for_primary(s, *s.groups.find(id));
}

// Routes the statements that wait for a server that has become silent again:
// reads go to another server if there is one, and statements for the primary of
// a server-checked group are refused.
void reroute_waiting(state& s, row_id id, server_row& server)
{
    reroute_queued(s, id);
    auto& group = *s.groups.find(server.group);
    if (group.primary == id)
        route_waiting_for_sample(s, group);
}

// Whether the request is a read that any server may run.
bool may_move(state const& s, row_id id)
{
    auto const& request = *s.requests.find(id);
    return request.is_read && request.after;
}

// Whether a server of the same group answers.
bool has_responsive_server(state const& s, server_row const& sibling)
{
    auto const& servers = s.groups.find(sibling.group)->servers;
    return std::any_of(servers.begin(), servers.end(),
                       [&s](row_id id)
                       {
                           auto const& it = *s.servers.find(id);
                           return !it.is_suspect && accepts_statements(it);
                       });
}

// Routes reads again that wait for a connection to the server.
void move_queued_reads(state& s, server_row& server)
{
    for (auto const id :
         server.queue->remove_if([&s](row_id it) { return may_move(s, it); }))
    {
        auto* request = s.requests.find(id);
        request->queue_entry.reset();
        request->state = request_state::arrived;
        s.to_route.push_back(id);
    }
}

// Routes reads again that wait for an answer of the server, within the budget
// for retries.
void move_sent_reads(state& s, server_row const& server)
{
    std::vector<row_id> reads;
    for (auto const id : server.connections)
        if (auto const& request = s.connections.find(id)->request;
            request && may_move(s, *request))
            reads.push_back(*request);
    for (auto const id : reads)
        if (s.retry_budget >= 1 && s.timers.erase({timer_kind::read_try, id}))
            expire_read_try(s, id);
}

void suspect_server(state& s, row_id id, server_row& server)
{
    server.is_suspect = true;
    s.timers.set({timer_kind::server_silence, id},
                 *server.silent_since + server_silence_limit(s, server));
    if (!is_server_checked(*s.groups.find(server.group)) ||
        !has_responsive_server(s, server))
        return;
    move_queued_reads(s, server);
    move_sent_reads(s, server);
}

void expire_server_silence(state& s, row_id id)
{
    auto* server = s.servers.find(id);
    if (server == nullptr || !server->silent_since)
        return;
    // Reports end once a health verdict has marked the server as down, or it is
    // removed: the server itself announces that it is back.
    if (server->is_removed || server->is_down)
    {
        server->is_suspect = false;
        return server->silent_since.reset();
    }
    if (!server->is_reported_silent &&
        s.now < *server->silent_since + server_silence_limit(s, *server))
        return suspect_server(s, id, *server);
    server->next_trial_at = s.now;
    if (!std::exchange(server->is_reported_silent, true))
        reroute_waiting(s, id, *server);
    s.actions.emplace_back(server_reachability{server->name, false});
    s.timers.set({timer_kind::server_silence, id},
                 s.now + s.settings.silence_report_interval);
}

// Ends the transactions at a server of a data centre out of service. Statements
// in progress are answered first; no other one follows in their transactions.
void end_transactions(state& s, row_id id)
{
    auto* server = s.servers.find(id);
    if (server == nullptr || !server->is_out_of_service)
        return;
    server->ends_transactions = true;
    auto const connections = server->connections;
    for (auto const connection : connections)
    {
        auto const* row = s.connections.find(connection);
        if (row != nullptr && row->state == connection_state::pinned)
            handle_connection_loss(s, connection,
                                   refusal_reason::transaction_lost);
    }
    if (!server->connections.empty())
        s.timers.set({timer_kind::out_of_service, id},
                     s.now + s.settings.silence_report_interval);
}

// The stage confirm_view() runs in each tick.
void expire_view_confirmation(state& /*s*/, row_id /*id*/)
{
}

void expire_idle_retention(state& s, row_id id)
{
    if (s.servers.find(id) != nullptr)
        s.to_report.push_back(id);
}

using expiry = void (*)(state&, row_id);

// Indexed by timer_kind.
constexpr std::array<expiry, 12> expiries = {
    expire_request,           expire_read_try,      expire_position_wait,
    expire_token_wait,        expire_connection,    expire_group_poll,
    expire_server_dispatch,   expire_primary_retry, expire_server_silence,
    expire_view_confirmation, end_transactions,     expire_idle_retention};

} // namespace

void abandon_request(state& s, request_row_id id, refusal_reason reason)
{
    auto* request = s.requests.find(id);
    if (request->state == request_state::held)
        return refuse_request(s, id, refusal_outcome::unknown,
                              refusal_reason::not_replicated);
    if (request->state != request_state::sent)
        return refuse_request(s, id, refusal_outcome::not_run, reason);
    auto* session = s.sessions.find(request->session);
    bool const in_transaction = session->in_transaction.has_value();
    auto const outcome = may_have_effect(s, *request)
                             ? refusal_outcome::unknown
                             : refusal_outcome::not_run;
    request->was_sent = outcome == refusal_outcome::unknown;
    bool const ends_session = in_transaction && !is_server_checked(s, *request);
    session->in_transaction.reset();
    drop_connection(s, request->connection);
    refuse_request(s, id, outcome, reason, ends_session);
}

void expire_deadlines(state& s)
{
    while (auto const key = s.timers.pop_due(s.now))
        expiries[static_cast<std::size_t>(key->kind)](s, key->row);
}

} // namespace basilreach::traffic::detail
