// Forwards statements to the daemons that hold their workspaces, and handles
// what comes of them. To the engine a holder is a server without a limit of
// connections, and each statement or transaction uses a connection of its own.
#include <algorithm>
#include <chrono>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

// Time by which a holder's deadline is earlier than the sender's, so that its
// refusal arrives before the sender gives the statement up. What the sender
// gives up has an unknown outcome if it is a write.
constexpr duration answer_allowance = std::chrono::milliseconds(10);

bool has_usable_server(state const& s,
                       group_row const& group,
                       data_centre_name const& data_centre)
{
    return std::any_of(group.servers.begin(), group.servers.end(),
                       [&](server_row_id id)
                       {
                           auto const& it = *s.servers.find(id);
                           return accepts_statements(it) &&
                                  it.data_centre == data_centre;
                       });
}

// Returns the data centre whose holder runs the statement, or nothing while it
// depends on a primary that is not known.
std::optional<data_centre_name> choose_data_centre(state const& s,
                                                   request_row const& request)
{
    auto const& group = *s.groups.find(request.group);
    if (request.is_read && accepts_replica(request) &&
        has_usable_server(s, group, s.settings.data_centre))
        return s.settings.data_centre;
    if (!group.primary)
        return std::nullopt;
    auto const& primary = *s.servers.find(*group.primary);
    return accepts_statements(primary) ? std::optional(primary.data_centre)
                                       : std::nullopt;
}

// Whether the statement may be sent to a holder at all. One that has taken a
// rate token here, or that a server may have run, is not sent.
bool is_forwardable(state const& s,
                    request_row const& request,
                    session_row const& session)
{
    return s.settings.dispatch != dispatch::dispatch_mode::local &&
           request.may_forward && !request.has_rate_token &&
           !request.was_sent && !session.is_forwarded &&
           !session.in_transaction && is_server_checked(s, request) &&
           has_holders(s, *s.groups.find(request.group));
}

std::optional<daemon_name> choose_holder(state& s,
                                         request_row const& request,
                                         session_row const& session,
                                         data_centre_name const& data_centre)
{
    auto const rule = s.view->workspace_rules.find(session.workspace);
    auto const key = dispatch::make_placement_key(
        session.workspace, s.groups.find(request.group)->name,
        rule == s.view->workspace_rules.end() ? 0 : rule->second.burst,
        s.groups_with_holders.size(), s.data_centres_with_holders);
    return s.holders.choose(key, data_centre, s.now);
}

// The rows of holders need a group whose servers check positions: a transaction
// that is lost with a connection does not end the session there.
group_row_id find_holder_group(state& s)
{
    if (!s.holder_group)
    {
        group_row row;
        row.checked_by = rules::position_check::server;
        s.holder_group = s.groups.insert(std::move(row));
    }
    return *s.holder_group;
}

server_row_id find_holder_row(state& s, daemon_name const& holder)
{
    auto const found = s.holder_by_name.find(holder);
    if (found != s.holder_by_name.end())
        return found->second;
    server_row row;
    row.name = server_name(holder.str());
    row.group = find_holder_group(s);
    row.is_holder = true;
    row.queue = std::make_unique<limits::class_queue<request_row_id>>(
        limits::fair_queue_settings{s.settings.queue_limit, 1});
    auto const id = s.servers.insert(std::move(row));
    s.holder_by_name.emplace(holder, id);
    return id;
}

bool is_rate_refused(state& s,
                     server_row_id holder,
                     workspace_name const& workspace)
{
    auto const it = s.rate_refused.find({holder, workspace});
    if (it == s.rate_refused.end())
        return false;
    if (it->second > s.now)
        return true;
    s.rate_refused.erase(it);
    return false;
}

connection_id
add_connection(state& s, server_row_id holder, workspace_name const& workspace)
{
    connection_row row;
    row.server = holder;
    row.state = connection_state::pinned;
    row.workspace = workspace;
    row.sent_at = s.now;
    auto const id = s.connections.insert(row);
    s.servers.find(holder)->connections.push_back(id);
    return id;
}

void forward(state& s,
             request_row_id id,
             server_row_id row,
             daemon_name const& holder)
{
    auto* request = s.requests.find(id);
    auto const& workspace = s.sessions.find(request->session)->workspace;
    auto const connection = add_connection(s, row, workspace);
    s.timers.erase({timer_kind::token_wait, id});
    request->server = row;
    request->at_primary = false;
    request->is_forwarded = true;
    request->after.reset();
    s.servers.find(row)->is_leaving = false;
    ++s.counts.forwarded;
    s.actions.emplace_back(open_connection{
        connection, s.servers.find(row)->name,
        s.view->members.at(holder).address, s.groups.find(request->group)->name,
        workspace, false, holder});
    record_decision(s, id, decision_kind::route,
                    decision_reason::workspace_holder, row);
    send_request(s, id, connection);
}

// Whether a statement that the holder refused is to run here.
bool runs_here_after(forward_refused const& it)
{
    return it.outcome == refusal_outcome::not_run &&
           (it.is_undelivered || it.reason == refusal_reason::draining ||
            it.reason == refusal_reason::no_lease ||
            it.reason == refusal_reason::behind);
}

bool is_unanswered_read(state const& s, connection_row const& connection)
{
    if (!connection.request || connection.state != connection_state::busy)
        return false;
    auto const& request = *s.requests.find(*connection.request);
    return request.is_read && !s.sessions.find(request.session)->in_transaction;
}

// Retries the reads at a silent holder here, as far as the retry budget goes.
// Other statements stay: the holder may still answer, and their outcome would
// be unknown.
void retry_reads_of(state& s, daemon_name const& holder)
{
    auto const row = s.holder_by_name.find(holder);
    if (row == s.holder_by_name.end())
        return;
    auto const connections = s.servers.find(row->second)->connections;
    for (auto const id : connections)
    {
        if (s.retry_budget < 1)
            return;
        if (is_unanswered_read(s, *s.connections.find(id)))
            handle_holder_loss(s, id);
    }
}

} // namespace

bool forward_request(state& s, request_row_id id)
{
    auto* request = s.requests.find(id);
    auto const& session = *s.sessions.find(request->session);
    if (!is_forwardable(s, *request, session))
        return false;
    auto const data_centre = choose_data_centre(s, *request);
    if (!data_centre)
    {
        // It is admitted afterwards: in which data centre it runs, and whose
        // rate token it takes, depends on the primary.
        s.timers.erase({timer_kind::token_wait, id});
        request->awaits_admission = true;
        wait_for_primary(s, id, *request);
        return true;
    }
    auto const holder = choose_holder(s, *request, session, *data_centre);
    if (!holder)
    {
        request->may_forward = false;
        return false;
    }
    auto const row = find_holder_row(s, *holder);
    if (s.servers.find(row)->outstanding >= s.settings.forward_limit)
    {
        ++s.counts.local_above_limit;
        request->may_forward = false;
        return false;
    }
    if (is_rate_refused(s, row, session.workspace))
        refuse_request(s, id, refusal_outcome::not_run,
                       refusal_reason::rate_exceeded);
    else
        forward(s, id, row, *holder);
    return true;
}

void send_to_holder(state& s, request_row_id id, connection_id connection)
{
    auto const& request = *s.requests.find(id);
    auto const& session = *s.sessions.find(request.session);
    auto const& holder =
        *s.servers.find(s.connections.find(connection)->server);
    s.holders.record_sent(daemon_name(holder.name.str()), s.now);
    forward_details details;
    details.request = request.number;
    details.revision = s.view->revision;
    details.group = s.groups.find(request.group)->name;
    details.position = find_position(session.positions, details.group);
    details.time_left = request.deadline - s.now;
    if (details.time_left > 2 * answer_allowance)
        details.time_left -= answer_allowance;
    details.time_since_arrival = s.now - request.arrived_at;
    details.verb = request.verb;
    details.opens =
        session.in_transaction ? transaction_opening::opened : request.opens;
    s.actions.emplace_back(send_statement{session.id, connection,
                                          transaction_wrapping::none,
                                          std::nullopt, details});
}

void settle_at_holder(state& s, server_row& holder, bool is_answered)
{
    --holder.outstanding;
    daemon_name const name(holder.name.str());
    s.holders.record_settled(name);
    // One that has begun a planned stop answers, but takes no more statements.
    if (is_answered && !holder.is_leaving)
        s.holders.record_received(name, s.now);
}

void leave_holder(state& s, daemon_name const& holder)
{
    auto const row = s.holder_by_name.find(holder);
    if (row != s.holder_by_name.end())
        s.servers.find(row->second)->is_leaving = true;
    s.holders.record_failure(holder, s.now);
}

// The first of the waiting statements gets the next token, so a further one
// would be refused like the last if the tokens for those before it take longer
// than it may wait. Holders share the rate, so this is a lower bound.
duration rate_retry_time(state const& s, workspace_name const& workspace)
{
    auto const rule = s.view->workspace_rules.find(workspace);
    auto const waiting = s.waiting_rate_token.find(workspace);
    if (rule == s.view->workspace_rules.end() || rule->second.rate == 0 ||
        waiting == s.waiting_rate_token.end() || waiting->second.empty())
        return {};
    // The statement that is being refused is still one of those that wait.
    auto const others = static_cast<std::int64_t>(waiting->second.size()) - 1;
    duration const second = std::chrono::seconds(1);
    duration const needed =
        second * others / static_cast<std::int64_t>(rule->second.rate);
    return std::max(needed - s.settings.token_wait, duration{});
}

void run_here(state& s, request_row_id id)
{
    auto* request = s.requests.find(id);
    request->state = request_state::arrived;
    request->is_forwarded = false;
    request->may_forward = false;
    s.to_admit.push_back(id);
}

void handle_forward_refusal(state& s, forward_refused const& it)
{
    auto* connection = s.connections.find(it.connection);
    if (connection == nullptr || !connection->request)
        return;
    auto const id = *connection->request;
    auto* holder = s.servers.find(connection->server);
    auto const holder_id = connection->server;
    settle_at_holder(s, *holder, !it.is_undelivered);
    connection->request.reset();
    connection->state = connection_state::pinned;
    s.timers.erase({timer_kind::read_try, id});
    auto* request = s.requests.find(id);
    auto* session = s.sessions.find(request->session);
    bool const was_in_transaction = session->in_transaction.has_value();
    session->in_transaction.reset();
    drop_connection(s, it.connection);
    if (it.reason == refusal_reason::draining)
        leave_holder(s, daemon_name(holder->name.str()));
    request->was_sent = it.outcome == refusal_outcome::unknown;
    if (!was_in_transaction && runs_here_after(it))
    {
        ++(it.is_undelivered ? s.counts.local_after_undelivered
                             : s.counts.local_after_rejection);
        return run_here(s, id);
    }
    if (it.reason == refusal_reason::rate_exceeded &&
        it.retry_after > duration{})
        s.rate_refused.insert_or_assign(
            std::pair(holder_id, session->workspace), s.now + it.retry_after);
    // What a transaction cannot continue without is lost with the holder.
    bool const is_lost = was_in_transaction && runs_here_after(it);
    refuse_request(s, id, it.outcome,
                   is_lost ? refusal_reason::transaction_lost : it.reason,
                   it.ends_session);
}

void handle_holder_loss(state& s, connection_id id)
{
    auto const& connection = *s.connections.find(id);
    if (!is_unanswered_read(s, connection))
        return handle_connection_loss(s, id, refusal_reason::connection_lost);
    if (s.retry_budget < 1)
        return abandon_request(s, *connection.request,
                               refusal_reason::connection_lost);
    s.retry_budget -= 1;
    handle_connection_loss(s, id, refusal_reason::connection_lost);
}

void adopt_members(state& s)
{
    auto const& members = s.view->members;
    s.groups_with_holders.clear();
    for (auto const& [name, it] : s.view->groups)
        if (dispatch::has_holders(s.settings.dispatch, members.size(),
                                  it.connections))
            s.groups_with_holders.insert(name);
    s.data_centres_with_holders = dispatch::data_centres_of(members).size();
    s.holders.set_members(members, s.now);
    std::erase_if(s.rate_refused,
                  [&s](auto const& it) { return it.second <= s.now; });
}

std::optional<refusal_reason> check_origin(state const& s,
                                           session_row const& session,
                                           statement_origin const& origin)
{
    if (session.in_transaction)
        return std::nullopt;
    if (s.drain != drain_stage::none)
        return refusal_reason::draining;
    if (s.view->revision < origin.revision)
        return refusal_reason::behind;
    // The session's position belongs to the sender's group.
    auto const route = s.view->routes.find(session.route);
    if (route != s.view->routes.end() && route->second.group != origin.group)
        return refusal_reason::behind;
    return std::nullopt;
}

void check_holders(state& s)
{
    if (s.holders.next_deadline() > s.now)
        return;
    auto const events = s.holders.tick(s.now);
    for (auto const& it : events.probes)
        s.actions.emplace_back(probe_holder{it});
    for (auto const& it : events.silent)
        retry_reads_of(s, it);
}

} // namespace basilreach::traffic::detail
