// Dispatches routed statements over connections, and opens and closes the
// connections.
#include <algorithm>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

void send_queued(state& s, server_row& server)
{
    while (!server.idle.empty())
    {
        auto const request = server.queue->pop(s.now);
        if (!request)
            return;
        s.requests.find(*request)->queue_entry.reset();
        if (wait_if_lease_expired(s, *request))
            continue;
        auto const connection = server.idle.back();
        server.idle.pop_back();
        send_request(s, *request, connection);
    }
}

// Returns how many connections must be opened for positions queries.
std::size_t connections_for_polling(state const& s, server_row const& server)
{
    auto const& group = *s.groups.find(server.group);
    auto const* const primary =
        group.primary ? s.servers.find(*group.primary) : nullptr;
    bool const is_primary_queried =
        !group.waiting_sample.empty() && primary == &server;
    bool const is_polled = !group.held.empty() ||
                           !group.waiting_position.empty() ||
                           is_primary_queried;
    return is_polled && server.connections.empty() ? 1 : 0;
}

// Returns how many idle connections are worth keeping. In a server-checked
// group each serves one workspace only, and opening one again costs the server
// more than most statements. In a group with holders, the number is reported
// again once it falls.
std::size_t recently_used(state& s, server_row_id id, server_row const& server)
{
    auto const& group = *s.groups.find(server.group);
    if (!is_server_checked(group))
        return 0;
    bool const is_placed = has_holders(s, group);
    auto const retention = is_placed ? s.settings.placed_idle_retention
                                     : s.settings.idle_retention;
    std::size_t recent = 0;
    auto next_expiry = never;
    for (auto const idle : server.idle)
    {
        auto const expiry =
            s.connections.find(idle)->statement_sent_at + retention;
        if (expiry <= s.now)
            continue;
        ++recent;
        next_expiry = std::min(next_expiry, expiry);
    }
    if (is_placed && recent > 0)
        s.timers.set({timer_kind::idle_retention, id}, next_expiry);
    return recent;
}

void open_needed_connections(state& s, server_row_id id, server_row& server)
{
    if (server.is_removed || server.is_leaving || s.now < server.next_open)
        return;
    auto const needed =
        std::max(server.queue->size(), connections_for_polling(s, server));
    while (server.opening < needed &&
           server.connections.size() < server.connection_share)
        start_connection(s, id, server);
    s.to_report.push_back(id);
}

void remove_from_idle(server_row& server, connection_id id)
{
    auto const it = std::find(server.idle.begin(), server.idle.end(), id);
    if (it != server.idle.end())
        server.idle.erase(it);
}

// Routes the statements that wait for a server again after a connection to it
// could not be opened, reads to another server. This retries only these
// statements and does not mark the server as down.
void reroute_after_open_failure(state& s, server_row_id id, server_row& server)
{
    for (auto const request_id : pop_queued(s, server))
    {
        auto* request = s.requests.find(request_id);
        if (request->is_read && !request->at_primary)
            request->excluded.push_back(id);
        request->state = request_state::arrived;
        s.to_route.push_back(request_id);
    }
}

void handle_open_failure(state& s, server_row_id id)
{
    auto* server = s.servers.find(id);
    server->next_open = s.now + s.settings.reconnect_delay;
    s.timers.set({timer_kind::server_dispatch, id}, server->next_open);
    if (server->connections.empty())
        reroute_after_open_failure(s, id, *server);
}

transaction_wrapping choose_wrapping(state const& s,
                                     request_row const& request,
                                     session_row const& session)
{
    if (session.in_transaction || !is_server_checked(s, request))
        return transaction_wrapping::none;
    // A read-only transaction without a required position runs at the primary
    // and must end with the primary's term, so it is opened as read-write.
    if (request.opens == transaction_opening::read_only && request.after)
        return transaction_wrapping::begin_read_only;
    if (request.opens != transaction_opening::none)
        return transaction_wrapping::begin_read_write;
    return request.is_read && !request.after
               ? transaction_wrapping::primary_check
               : transaction_wrapping::none;
}

bool is_retryable(request_row const& request, bool in_transaction)
{
    return !in_transaction &&
           (request.is_read ||
            request.verb == statement_verb::begin_read_write);
}

// Returns the time without an answer after which reads run at another server.
duration suspicion_limit(state const& s, server_row const& server)
{
    constexpr int answer_time_factor = 4;
    if (s.settings.suspicion_limit >= s.settings.silence_limit)
        return server_silence_limit(s, server);
    if (server.window.answer_time() == duration{})
        return s.settings.silence_limit;
    return std::clamp(answer_time_factor * server.window.answer_time(),
                      s.settings.suspicion_limit, s.settings.silence_limit);
}

} // namespace

duration server_silence_limit(state const& s, server_row const& server)
{
    constexpr int answer_time_factor = 8;
    constexpr int first_answer_factor = 3;
    if (server.window.answer_time() == duration{})
        return first_answer_factor * s.settings.silence_limit;
    return std::clamp(answer_time_factor * server.window.answer_time(),
                      s.settings.silence_limit,
                      first_answer_factor * s.settings.silence_limit);
}

void start_connection(state& s,
                      server_row_id id,
                      server_row& server,
                      workspace_name const& workspace)
{
    auto const& group = *s.groups.find(server.group);
    connection_row row;
    row.server = id;
    row.read_only = group.primary != id;
    row.workspace = workspace;
    row.sent_at = s.now;
    auto const connection = s.connections.insert(row);
    server.connections.push_back(connection);
    ++server.opening;
    server.pacer.record_start(s.now);
    start_silence_timer(s, id, server);
    s.timers.set({timer_kind::connection, connection},
                 s.now + s.settings.probe_timeout);
    s.actions.emplace_back(open_connection{connection, server.name,
                                           server.address, group.name,
                                           workspace, row.read_only});
}

void start_silence_timer(state& s, server_row_id id, server_row& server)
{
    if (server.silent_since || server.is_holder)
        return;
    server.silent_since = s.now;
    s.timers.set({timer_kind::server_silence, id},
                 s.now + suspicion_limit(s, server));
}

void mark_responsive(state& s, server_row_id id, server_row& server)
{
    server.silent_since.reset();
    server.is_suspect = false;
    if (std::exchange(server.is_reported_silent, false))
        s.actions.emplace_back(server_reachability{server.name, true});
    // Messages sent before this answer are still outstanding; their silence is
    // measured from this answer on.
    if (server.outstanding > 0 || server.opening > 0)
        return start_silence_timer(s, id, server);
    s.timers.erase({timer_kind::server_silence, id});
}

bool wait_if_lease_expired(state& s, request_row_id id)
{
    auto const& request = *s.requests.find(id);
    auto const& session = *s.sessions.find(request.session);
    if (!s.may_use_view(session.key.has_value()))
        handle_missing_lease(s, id);
    else if (!s.has_lease() && needs_lease_to_commit(s, request))
        wait_for_lease(s, id);
    else
        return false;
    return true;
}

void handle_missing_lease(state& s, request_row_id id)
{
    auto& session = *s.sessions.find(s.requests.find(id)->session);
    // The sender of a forwarded statement can run it itself.
    if (!s.settings.serves_without_lease && !session.is_forwarded)
        return wait_for_lease(s, id);
    abort_transaction_of(s, session);
    refuse_request(s, id, refusal_outcome::not_run, refusal_reason::no_lease);
}

void wait_for_lease(state& s, request_row_id id)
{
    auto const& session = *s.sessions.find(s.requests.find(id)->session);
    if (session.is_forwarded && !session.in_transaction)
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::no_lease);
    s.requests.find(id)->state = request_state::waiting_lease;
    s.waiting_lease.push_back(id);
    record_decision(s, id, decision_kind::wait, decision_reason::lease_missing);
}

std::vector<request_row_id> pop_queued(state& s, server_row& server)
{
    std::vector<request_row_id> out;
    while (auto const request = server.queue->pop(s.now))
    {
        s.requests.find(*request)->queue_entry.reset();
        out.push_back(*request);
    }
    return out;
}

void send_request(state& s, request_row_id id, connection_id connection)
{
    auto* request = s.requests.find(id);
    auto* row = s.connections.find(connection);
    auto const& session = *s.sessions.find(request->session);
    row->state = connection_state::busy;
    row->request = id;
    row->sent_at = s.now;
    request->state = request_state::sent;
    request->was_sent = true;
    // An earlier attempt may have been rejected after its group was fenced.
    request->is_fenced = false;
    request->connection = connection;
    count_sent(s, *request);
    auto* server = s.servers.find(row->server);
    ++server->outstanding;
    server->window.record_send(s.now);
    start_silence_timer(s, row->server, *server);
    row->statement_sent_at = s.now;
    s.timers.erase({timer_kind::connection, connection});
    if (is_retryable(*request, session.in_transaction.has_value()))
        s.timers.set({timer_kind::read_try, id},
                     s.now + s.settings.read_try_timeout);
    if (server->is_holder)
        return send_to_holder(s, id, connection);
    s.actions.emplace_back(send_statement{
        session.id, connection, choose_wrapping(s, *request, session),
        session.in_transaction ? std::nullopt : request->after});
}

void send_positions_query(state& s,
                          connection_id connection,
                          bool verify_primary)
{
    auto* row = s.connections.find(connection);
    row->state = connection_state::querying_position;
    row->sent_at = s.now;
    s.timers.set({timer_kind::connection, connection},
                 s.now + s.settings.probe_timeout);
    s.actions.emplace_back(query_position{connection, verify_primary});
}

void make_idle(state& s, connection_id id)
{
    auto* row = s.connections.find(id);
    row->state = connection_state::idle;
    row->pinned_by.reset();
    auto* server = s.servers.find(row->server);
    // A connection to a holder serves one statement or transaction.
    bool const is_surplus =
        server->is_holder || server->is_leaving || server->is_removed ||
        server->connections.size() > server->connection_share;
    if (is_surplus)
        return drop_connection(s, id);
    server->idle.push_back(id);
    s.timers.set({timer_kind::connection, id}, s.now + s.settings.probe_after);
    s.to_dispatch.push_back(row->server);
}

void drop_connection(state& s, connection_id id)
{
    auto const* row = s.connections.find(id);
    if (row == nullptr)
        return;
    auto* server = s.servers.find(row->server);
    server->opening -= row->state == connection_state::opening ? 1 : 0;
    if (row->state == connection_state::busy && server->is_holder)
        settle_at_holder(s, *server, false);
    else if (row->state == connection_state::busy)
        --server->outstanding;
    if (row->state == connection_state::querying_position)
    {
        server->is_queried = false;
        // Reads that wait for the answer need another query.
        auto* group = s.groups.find(server->group);
        if (group->primary == row->server &&
            std::exchange(group->is_querying_primary, false))
            group->needs_primary_query = !group->waiting_sample.empty();
    }
    remove_from_idle(*server, id);
    std::erase(server->connections, id);
    s.timers.erase({timer_kind::connection, id});
    if (!server->queue->empty())
        s.to_dispatch.push_back(row->server);
    s.to_report.push_back(row->server);
    s.connections.erase(id);
    s.actions.emplace_back(close_connection{id});
}

void handle_connection_loss(state& s, connection_id id, refusal_reason reason)
{
    auto const* found = s.connections.find(id);
    if (found == nullptr)
        return;
    auto const row = *found;
    drop_connection(s, id);
    if (row.state == connection_state::opening)
        handle_open_failure(s, row.server);
    if (row.request)
    {
        auto* request = s.requests.find(*row.request);
        auto* session = s.sessions.find(request->session);
        bool const in_transaction = session->in_transaction.has_value();
        auto const outcome = may_have_effect(s, *request)
                                 ? refusal_outcome::unknown
                                 : refusal_outcome::not_run;
        bool const ends_session =
            in_transaction && !is_server_checked(s, *request);
        session->in_transaction.reset();
        s.timers.erase({timer_kind::read_try, *row.request});
        if (is_retryable(*request, in_transaction))
        {
            if (request->is_forwarded)
            {
                ++s.counts.local_after_loss;
                return run_here(s, *row.request);
            }
            request->state = request_state::arrived;
            s.to_route.push_back(*row.request);
            return;
        }
        request->was_sent = outcome == refusal_outcome::unknown;
        refuse_request(s, *row.request, outcome,
                       in_transaction ? refusal_reason::transaction_lost
                                      : reason,
                       ends_session);
    }
    else if (row.pinned_by)
    {
        auto* session = s.sessions.find(*row.pinned_by);
        session->in_transaction.reset();
        auto const* server = s.servers.find(row.server);
        if (is_server_checked(*s.groups.find(server->group)))
        {
            if (session->request)
                return refuse_request(s, *session->request,
                                      refusal_outcome::not_run,
                                      refusal_reason::transaction_lost);
            s.actions.emplace_back(abort_transaction{session->id});
            return;
        }
        // A statement of the transaction that was not sent yet must not run
        // outside it.
        if (session->request)
            return refuse_request(s, *session->request,
                                  refusal_outcome::not_run,
                                  refusal_reason::transaction_lost, true);
        close_idle_session(s, *row.pinned_by, refusal_reason::transaction_lost);
    }
}

// Adds the reports after the actions that open or close connections, so that
// the control thread never receives a smaller number before the connections are
// closed.
void report_connections(state& s)
{
    for (auto const id : std::exchange(s.to_report, {}))
    {
        auto* server = s.servers.find(id);
        if (server->is_holder)
            continue;
        auto const open =
            static_cast<std::uint32_t>(server->connections.size());
        auto const busy = open - server->idle.size() - server->opening;
        auto const wanted = static_cast<std::uint32_t>(
            busy + recently_used(s, id, *server) +
            std::max(server->queue->size() + server->expected.size(),
                     connections_for_polling(s, *server)));
        if (open == server->reported_open && wanted == server->reported_wanted)
            continue;
        server->reported_open = open;
        server->reported_wanted = wanted;
        s.actions.emplace_back(connections_used{server->name, open, wanted});
    }
}

void dispatch_requests(state& s)
{
    for (auto const id : std::exchange(s.to_dispatch, {}))
    {
        auto* server = s.servers.find(id);
        shed_queued(s, *server);
        if (is_server_checked(*s.groups.find(server->group)))
        {
            dispatch_by_workspace(s, id, *server);
            continue;
        }
        send_queued(s, *server);
        open_needed_connections(s, id, *server);
    }
}

} // namespace basilreach::traffic::detail
