// Admission control: checks a statement's route, its key, the control lease and
// the rate limit of its workspace.
#include <algorithm>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

// Whether the statement ends a transaction that is open at a server. The commit
// of a transaction without a statement opens it there, and is admitted like any
// other first statement.
bool ends_open_transaction(session_row const& session,
                           request_row const& request)
{
    return session.in_transaction && (request.verb == statement_verb::commit ||
                                      request.verb == statement_verb::rollback);
}

// Returns why the session may not use its route, or nothing if it may.
std::optional<refusal_reason> check_access(state const& s,
                                           session_row const& session,
                                           rules::route_rule const& route)
{
    if (!session.key)
        return route.open ? std::nullopt
                          : std::optional{refusal_reason::key_withdrawn};
    auto const key = s.view->keys.find(*session.key);
    if (key == s.view->keys.end() || key->second != session.workspace)
        return refusal_reason::key_withdrawn;
    if (!route.open && !route.workspaces.empty() &&
        !route.workspaces.contains(session.workspace))
        return refusal_reason::workspace_not_allowed;
    return std::nullopt;
}

// Returns the group at whose servers the statement runs. A transaction stays in
// its group when its route moves to another one.
std::optional<group_row_id> find_group(state const& s,
                                       session_row const& session,
                                       rules::route_rule const& route)
{
    if (session.in_transaction)
        return session.in_transaction->group;
    auto const it = s.group_by_name.find(route.group);
    if (it == s.group_by_name.end())
        return std::nullopt;
    return it->second;
}

bool declares_read(request_row const& request,
                   session_row const& session,
                   rules::route_rule const& route)
{
    if (session.in_transaction)
        return session.in_transaction->read_only;
    if (request.opens == transaction_opening::read_write ||
        request.verb == statement_verb::write)
        return false;
    if (request.opens == transaction_opening::read_only ||
        request.verb == statement_verb::read ||
        request.verb == statement_verb::begin_read_only)
        return true;
    return session.read_only || route.kind == rules::route_class::read;
}

// Consumes a rate token for the statement, or leaves the request waiting for
// one. The end of an open transaction needs none: refusing it would leave the
// transaction open.
bool consume_rate_token(state& s,
                        request_row_id id,
                        request_row& request,
                        session_row const& session)
{
    // In a server-checked group the protocol marks the start of a transaction,
    // so a transaction consumes one token, at its first statement.
    bool const needs_no_token =
        request.has_rate_token ||
        (session.in_transaction && is_server_checked(s, request));
    if (!s.settings.limits_enabled || needs_no_token ||
        ends_open_transaction(session, request))
        return true;
    if (s.rate_limiter.try_consume(session.workspace, 1, s.now))
    {
        request.has_rate_token = true;
        request.rate_token_taken_at = s.now;
        return true;
    }
    auto& waiting = s.waiting_rate_token[session.workspace];
    waiting.push_back(id);
    s.rate_limiter.set_waiting(
        session.workspace, static_cast<std::int64_t>(waiting.size()), s.now);
    // A statement that has to wait again keeps its first time limit.
    if (request.state != request_state::waiting_rate_token)
        s.timers.set({timer_kind::token_wait, id},
                     s.now + s.settings.token_wait);
    request.state = request_state::waiting_rate_token;
    record_decision(s, id, decision_kind::wait,
                    decision_reason::tokens_missing);
    expect_connections(s, id);
    return false;
}

void admit(state& s, request_row_id id)
{
    auto* request = s.requests.find(id);
    if (request == nullptr)
        return;
    auto const& session = *s.sessions.find(request->session);
    auto const route = s.view->routes.find(session.route);
    if (route == s.view->routes.end())
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::unknown_route, true);
    if (auto const refusal = check_access(s, session, route->second))
        return refuse_request(s, id, refusal_outcome::not_run, *refusal, true);
    if (request->verb == statement_verb::session_state)
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::session_state_unsupported);
    // Without a lease a withdrawal of the key could have been missed. The end
    // of a transaction runs nevertheless: its statements were admitted.
    if (!s.may_use_view(session.key.has_value()) &&
        !ends_open_transaction(session, *request))
        return handle_missing_lease(s, id);
    auto const group = find_group(s, session, route->second);
    if (!group)
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::unknown_route);
    request->group = *group;
    request->is_read = declares_read(*request, session, route->second);
    request->max_age = route->second.max_age;
    request->reads = route->second.reads;
    classify(s, *request, session, route->second);
    if (!s.has_lease() && needs_lease_to_commit(s, *request))
        return wait_for_lease(s, id);
    if (forward_request(s, id))
        return;
    if (!consume_rate_token(s, id, *request, session))
        return;
    s.timers.erase({timer_kind::token_wait, id});
    request->state = request_state::arrived;
    s.to_route.push_back(id);
}

} // namespace

void admit_requests(state& s)
{
    for (auto const id : std::exchange(s.to_admit, {}))
        admit(s, id);
}

void request_rate_tokens(state& s)
{
    if (s.rate_limiter.next_deadline() > s.now)
        return;
    for (auto const& it : s.rate_limiter.tick(s.now))
        s.actions.emplace_back(it);
}

} // namespace basilreach::traffic::detail
