// Handles what has become due: statements past their deadline, connections that
// do not answer, and waits that have ended.
#include <array>
#include <utility>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

// Indexed by request_state; says why a statement that was not sent is refused.
constexpr std::array<refusal_reason, 9> reason_while = {
    refusal_reason::deadline,      refusal_reason::no_lease,
    refusal_reason::rate_exceeded, refusal_reason::deadline,
    refusal_reason::deadline,      refusal_reason::deadline,
    refusal_reason::deadline,      refusal_reason::deadline,
    refusal_reason::not_replicated};

void expire_request(state& s, row_id id)
{
    auto* request = s.requests.find(id);
    if (request == nullptr)
        return;
    if (request->state == request_state::held)
        return refuse_request(s, id, refusal_outcome::unknown,
                              refusal_reason::not_replicated);
    if (request->state != request_state::sent)
        return refuse_request(
            s, id, refusal_outcome::not_run,
            reason_while[static_cast<std::size_t>(request->state)]);
    auto* session = s.sessions.find(request->session);
    bool const in_transaction = session->in_transaction.has_value();
    auto const outcome = may_have_effect(s, *request)
                             ? refusal_outcome::unknown
                             : refusal_outcome::not_run;
    request->was_sent = outcome == refusal_outcome::unknown;
    bool const ends_session = in_transaction && !is_server_checked(s, *request);
    session->in_transaction.reset();
    ++s.counts.silent_connections;
    drop_connection(s, request->connection);
    refuse_request(s, id, outcome, refusal_reason::deadline, ends_session);
}

void expire_read_try(state& s, row_id id)
{
    auto const* request = s.requests.find(id);
    if (request == nullptr || request->state != request_state::sent)
        return;
    // Without a budget the first try goes on until the statement's deadline.
    if (is_server_checked(s, *request) && s.retry_budget < 1)
        return;
    s.retry_budget -= is_server_checked(s, *request) ? 1 : 0;
    ++s.counts.silent_connections;
    lose_connection(s, request->connection, refusal_reason::connection_lost);
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
    if (request == nullptr || request->state != request_state::waiting_tokens)
        return;
    refuse_request(s, id, refusal_outcome::not_run,
                   refusal_reason::rate_exceeded);
}

void expire_connection(state& s, row_id id)
{
    auto const* row = s.connections.find(id);
    if (row == nullptr)
        return;
    if (row->state != connection_state::idle)
    {
        s.counts.silent_connections +=
            row->state == connection_state::asking ? 1 : 0;
        return lose_connection(s, id, refusal_reason::connection_lost);
    }
    std::erase(s.servers.find(row->server)->idle, id);
    ask_over(s, id);
}

void expire_group_poll(state& s, row_id id)
{
    s.to_poll.push_back(id);
}

void expire_server_reconnect(state& s, row_id id)
{
    s.to_dispatch.push_back(id);
}

void expire_primary_retry(state& s, row_id id)
{
    auto* group = s.groups.find(id);
    for (auto const request : std::exchange(group->waiting_primary, {}))
        s.to_route.push_back(request);
}

// What waits for a server that has gone silent is routed anew: reads to another
// server, and the rest is refused.
void reconsider_waiting(state& s, row_id id, server_row& server)
{
    requeue_waiting(s, id);
    auto& group = *s.groups.find(server.group);
    if (group.primary == id)
        route_waiting_for_sample(s, group);
}

void expire_server_silence(state& s, row_id id)
{
    auto* server = s.servers.find(id);
    if (server == nullptr || !server->silent_since)
        return;
    // A verdict ends the reports; the server says itself when it is back.
    if (server->is_removed || server->is_down)
        return server->silent_since.reset();
    server->next_trial = s.now;
    if (!std::exchange(server->is_reported_silent, true))
        reconsider_waiting(s, id, *server);
    s.actions.emplace_back(server_reachability{server->name, false});
    s.timers.set({timer_kind::server_silence, id},
                 s.now + s.settings.silence_repeat);
}

using expiry = void (*)(state&, row_id);

// Indexed by timer_kind.
constexpr std::array<expiry, 9> expiries = {
    expire_request,          expire_read_try,      expire_position_wait,
    expire_token_wait,       expire_connection,    expire_group_poll,
    expire_server_reconnect, expire_primary_retry, expire_server_silence};

} // namespace

void expire_deadlines(state& s)
{
    while (auto const key = s.timers.pop_due(s.now))
        expiries[static_cast<std::size_t>(key->kind)](s, key->row);
}

} // namespace basilreach::traffic::detail
