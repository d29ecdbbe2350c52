// Decides the reply to a client: whether an answer is relayed, held until a
// majority of the group's servers has the write, or replaced by an error.
#include <algorithm>
#include <functional>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

// Returns the highest position that a majority of the group's servers has
// reached, as far as this thread knows.
log_position majority_position(state const& s, group_row const& group)
{
    std::vector<log_position> positions;
    for (auto const id : group.servers)
    {
        auto const& server = *s.servers.find(id);
        if (!server.is_removed)
            positions.push_back(server.position.value_or(log_position{}));
    }
    if (positions.empty())
        return {};
    std::sort(positions.begin(), positions.end(), std::greater<>{});
    return positions[positions.size() / 2];
}

// Binds the connection to the session's transaction, or makes it idle,
// according to the transaction status that the server reports.
void update_transaction(state& s,
                        connection_id id,
                        request_row_id request_id,
                        transaction_status status)
{
    auto const& request = *s.requests.find(request_id);
    auto* session = s.sessions.find(request.session);
    if (status == transaction_status::idle)
    {
        session->in_transaction.reset();
        return make_idle(s, id);
    }
    auto* connection = s.connections.find(id);
    connection->state = connection_state::pinned;
    connection->pinned_by = request.session;
    if (!session->in_transaction)
        session->in_transaction =
            transaction{id,
                        request.group,
                        request.timeout,
                        s.groups.find(request.group)->term,
                        request.at_primary,
                        request.is_read};
}

// Discards the answer of a primary that may have been superseded. A read
// outside a transaction runs again; for any other statement the client receives
// an error with an unknown outcome.
void discard_answer(state& s, request_row_id id)
{
    auto* request = s.requests.find(id);
    auto* session = s.sessions.find(request->session);
    if (session->in_transaction)
    {
        drop_connection(s, session->in_transaction->connection);
        session->in_transaction.reset();
        return refuse_request(s, id, refusal_outcome::unknown,
                              refusal_reason::transaction_lost, true);
    }
    if (request->is_read)
    {
        request->state = request_state::arrived;
        s.to_admit.push_back(id);
        return;
    }
    refuse_request(s, id, refusal_outcome::unknown, refusal_reason::superseded);
}

void hold_answer(state& s,
                 request_row_id id,
                 request_row& request,
                 log_position position)
{
    request.state = request_state::held;
    s.groups.find(request.group)->held.emplace(position, id);
    ++s.counts.held;
    s.to_release.push_back(request.group);
    s.timers.set({timer_kind::group_poll, request.group}, s.now);
}

bool commits_write(request_row const& request, answer_received const& it)
{
    return !request.is_read && it.status == transaction_status::idle &&
           request.verb != statement_verb::rollback;
}

bool is_behind_session(std::optional<log_position> own,
                       answer_received const& it)
{
    return own && it.position && *it.position < *own;
}

void handle_success(state& s,
                    request_row_id id,
                    std::uint64_t term,
                    answer_received const& it)
{
    auto* request = s.requests.find(id);
    auto const& group = *s.groups.find(request->group);
    auto const& session = *s.sessions.find(request->session);
    auto const own = find_position(session.positions, group.name);
    if (request->at_primary && !may_relay_from_primary(s, group, term))
        return discard_answer(s, id);
    if (commits_write(*request, it))
    {
        if (!it.position)
            return refuse_request(s, id, refusal_outcome::unknown,
                                  refusal_reason::not_replicated);
        request->answer_position = it.position;
        return hold_answer(s, id, *request, *it.position);
    }
    // A read at the primary does not advance a position that its session has:
    // otherwise a session that reads there because replicas are behind would
    // require a newer position of them with each read.
    if (request->at_primary && !(request->is_read && own))
        request->answer_position = it.position;
    else if (request->at_primary)
        return relay_request(s, id);
    else if (s.settings.reads == read_policy::session_position &&
             !session.in_transaction && is_behind_session(own, it))
    {
        // The server's log has been truncated since its position was observed.
        s.servers.find(request->server)->position = it.position;
        request->state = request_state::arrived;
        s.to_route.push_back(id);
        return;
    }
    relay_request(s, id);
}

// Routes a statement again that a server has rejected without running it.
void retry_statement(state& s, request_row_id id, answer_received const& it)
{
    auto* request = s.requests.find(id);
    request->state = request_state::arrived;
    if (it.proof == answer_proof::not_run_not_primary)
        back_off_from_primary(s, request->group);
    else if (!request->at_primary || request->after)
        request->excluded.push_back(request->server);
    s.to_route.push_back(id);
}

// Handles an answer in a server-checked group.
void handle_server_checked_answer(state& s,
                                  request_row_id id,
                                  instant sent_at,
                                  bool was_in_transaction,
                                  answer_received const& it)
{
    auto* request = s.requests.find(id);
    auto* group = s.groups.find(request->group);
    auto* session = s.sessions.find(request->session);
    if (it.position && it.is_from_primary)
        add_primary_sample(s, *group, sent_at, *it.position);
    if (it.proof != answer_proof::none)
    {
        request->was_sent = false;
        if (!was_in_transaction && it.status == transaction_status::idle &&
            ++request->rejected_attempts < s.settings.max_attempts)
            return retry_statement(s, id, it);
        return relay_request(s, id);
    }
    bool const is_committed = !it.is_error && !request->is_read &&
                              it.status == transaction_status::idle &&
                              request->verb != statement_verb::rollback;
    if (is_committed && !may_acknowledge_commit(s, *request))
        return refuse_request(s, id, refusal_outcome::unknown,
                              refusal_reason::superseded);
    if (is_committed)
        request->answer_position = it.position;
    // The primary reports a later term than the session's position has. Writes
    // of the earlier term beyond the start of the later one are lost, so reads
    // need not wait for them.
    auto const own = find_position(session->positions, group->name);
    if (it.is_from_primary && it.position && own &&
        it.position->term > own->term)
        session->positions.insert_or_assign(group->name, *it.position);
    relay_request(s, id);
}

// Records the answer in the server's concurrency window and queue. A statement
// that the server rejects takes it no time: counted as an answer, it would make
// a full server look fast.
void record_answer(state const& s,
                   server_row& server,
                   instant sent_at,
                   answer_proof proof)
{
    auto const outstanding = server.outstanding--;
    if (proof == answer_proof::not_run_busy)
        server.window.record_refusal(sent_at, s.now);
    if (proof != answer_proof::none)
        return;
    server.queue->record_service(s.now - sent_at);
    server.window.record_answer(outstanding, s.now - sent_at);
    server.queue->set_slots(server.window.size());
}

void finish_request(state& s, request_row_id id)
{
    auto const session_id = s.requests.find(id)->session;
    remove_request(s, id);
    auto* session = s.sessions.find(session_id);
    if (session->end_reason)
        close_idle_session(s, session_id, *session->end_reason);
    else if (s.drain != drain_stage::none && !session->in_transaction)
        close_idle_session(s, session_id, refusal_reason::draining);
}

} // namespace

bool may_have_effect(state const& s, request_row const& request)
{
    if (!is_server_checked(s, request))
        return true;
    auto const& session = *s.sessions.find(request.session);
    // The server rolls back an open transaction when its connection closes.
    bool const is_open =
        session.in_transaction || request.opens != transaction_opening::none;
    return !request.is_read && request.verb != statement_verb::read &&
           (!is_open || request.verb == statement_verb::commit);
}

bool may_relay_from_primary(state const& s,
                            group_row const& group,
                            std::uint64_t term)
{
    return s.has_lease() && group.primary && group.term == term;
}

void handle_answer(state& s, connection_id id, answer_received const& it)
{
    auto* connection = s.connections.find(id);
    if (connection == nullptr || !connection->request)
        return;
    auto const request_id = *connection->request;
    auto const sent_at = connection->sent_at;
    auto const server_id = connection->server;
    connection->request.reset();
    auto* server = s.servers.find(server_id);
    if (server->is_holder)
        settle_at_holder(s, *server, true);
    else
    {
        record_answer(s, *server, sent_at, it.proof);
        mark_responsive(s, server_id, *server);
    }
    s.retry_budget = std::min(s.retry_budget + s.settings.retry_budget_ratio,
                              s.settings.retry_budget_limit);
    // The outstanding statement has been subtracted; a busy connection would
    // be subtracted again if it were dropped.
    connection->state = connection_state::pinned;
    s.timers.erase({timer_kind::read_try, request_id});
    auto const& request = *s.requests.find(request_id);
    auto const& session = *s.sessions.find(request.session);
    bool const was_in_transaction = session.in_transaction.has_value();
    auto const start_term = session.in_transaction
                                ? session.in_transaction->term
                                : s.groups.find(request.group)->term;
    update_transaction(s, id, request_id, it.status);
    if (is_server_checked(s, request))
        return handle_server_checked_answer(s, request_id, sent_at,
                                            was_in_transaction, it);
    if (it.position)
        observe_position(s, server_id, *it.position, sent_at);
    if (it.is_error)
        return relay_request(s, request_id);
    handle_success(s, request_id, it.position ? it.position->term : start_term,
                   it);
}

void release_held_answers(state& s)
{
    for (auto const group_id : std::exchange(s.to_release, {}))
    {
        auto* group = s.groups.find(group_id);
        auto const reached = majority_position(s, *group);
        while (!group->held.empty() && group->held.begin()->first <= reached)
        {
            auto const [position, id] = *group->held.begin();
            if (!may_relay_from_primary(s, *group, position.term))
                break;
            record_decision(s, id, decision_kind::relay,
                            decision_reason::majority_reached);
            group->acknowledged =
                std::max(group->acknowledged.value_or(position), position);
            relay_request(s, id);
        }
    }
}

void relay_request(state& s, request_row_id id)
{
    auto const& request = *s.requests.find(id);
    auto* session = s.sessions.find(request.session);
    std::optional<group_position> changed;
    if (request.answer_position)
    {
        auto const& group = s.groups.find(request.group)->name;
        if (advance_position(session->positions, group,
                             *request.answer_position))
            changed = group_position{group, *request.answer_position};
    }
    session->has_written = session->has_written || !request.is_read;
    auto& count = !request.is_read     ? s.counts.writes
                  : request.at_primary ? s.counts.reads_at_primaries
                                       : s.counts.reads_at_replicas;
    // The holder counts what it runs.
    count += request.is_forwarded ? 0 : 1;
    count_served(s, request);
    s.actions.emplace_back(relay_answer{session->id, changed, request.is_read});
    finish_request(s, id);
}

void refuse_request(state& s,
                    request_row_id id,
                    refusal_outcome outcome,
                    refusal_reason reason,
                    bool close_session)
{
    auto const& request = *s.requests.find(id);
    if (request.was_sent)
        outcome = refusal_outcome::unknown;
    // A statement that is refused at once reaches no server, so its rate token
    // is refunded. Otherwise statements for a silent primary use up the rate
    // that reads need.
    if (request.has_rate_token && request.rate_token_taken_at == s.now &&
        !request.was_sent)
        s.rate_limiter.refund(s.sessions.find(request.session)->workspace, 1);
    count_refused(s, request, reason);
    auto const& workspace = s.sessions.find(request.session)->workspace;
    auto const rate_wait = reason == refusal_reason::rate_exceeded
                               ? rate_retry_time(s, workspace)
                               : duration{};
    refuse const refusal{
        s.sessions.find(request.session)->id, outcome,  reason, close_session,
        retry_after(s, request, reason),      rate_wait};
    s.actions.emplace_back(log_decision{
        refusal.session, request.number, decision_kind::refuse,
        decision_reason::refused, std::nullopt, refusal, request.priority});
    auto* session = s.sessions.find(request.session);
    // The client takes its transaction for failed, so it must not stay open at
    // the server: the next one would run inside it.
    if (is_server_checked(s, request))
        abort_transaction_of(s, *session);
    ++(outcome == refusal_outcome::not_run ? s.counts.refused_not_run
                                           : s.counts.outcome_unknown);
    session->is_ending = session->is_ending || close_session;
    s.actions.emplace_back(refusal);
    finish_request(s, id);
}

namespace
{

// Removes a request from those that wait for a rate token. Tokens granted for a
// statement that no longer exists would be missing at other hosts.
void stop_waiting_for_rate_token(state& s,
                                 request_row_id id,
                                 request_row const& request)
{
    auto const& workspace = s.sessions.find(request.session)->workspace;
    auto& waiting = s.waiting_rate_token[workspace];
    std::erase(waiting, id);
    s.rate_limiter.set_waiting(
        workspace, static_cast<std::int64_t>(waiting.size()), s.now);
}

} // namespace

void remove_request(state& s, request_row_id id)
{
    withdraw_expectations(s, id);
    auto const& request = *s.requests.find(id);
    for (auto const kind : {timer_kind::request, timer_kind::read_try,
                            timer_kind::position_wait, timer_kind::token_wait})
        s.timers.erase({kind, id});
    auto const erase_from = [id](auto& waiting)
    {
        std::erase_if(waiting,
                      [id](auto const& it) { return it.second == id; });
    };
    if (request.state == request_state::held)
    {
        auto& held = s.groups.find(request.group)->held;
        if (request.answer_position)
        {
            auto const [begin, end] =
                held.equal_range(*request.answer_position);
            auto const it = std::find_if(begin, end,
                                         [id](auto const& entry)
                                         { return entry.second == id; });
            if (it != end)
                held.erase(it);
        }
        --s.counts.held;
    }
    else if (request.state == request_state::waiting_position)
        erase_from(s.groups.find(request.group)->waiting_position);
    else if (request.state == request_state::waiting_rate_token)
        stop_waiting_for_rate_token(s, id, request);
    if (request.queue_entry)
        s.servers.find(request.server)->queue->erase(*request.queue_entry);
    s.sessions.find(request.session)->request.reset();
    s.requests.erase(id);
}

void abort_transaction_of(state& s, session_row& session)
{
    if (session.in_transaction)
        drop_connection(s, session.in_transaction->connection);
    session.in_transaction.reset();
}

void close_idle_session(state& s, session_row_id id, refusal_reason reason)
{
    auto* session = s.sessions.find(id);
    abort_transaction_of(s, *session);
    session->is_ending = true;
    s.actions.emplace_back(end_session{session->id, reason});
}

void record_decision(state& s,
                     request_row_id id,
                     decision_kind kind,
                     decision_reason reason,
                     std::optional<server_row_id> server)
{
    auto const& request = *s.requests.find(id);
    std::optional<server_name> name;
    if (server)
        name = s.servers.find(*server)->name;
    s.actions.emplace_back(log_decision{s.sessions.find(request.session)->id,
                                        request.number, kind, reason, name,
                                        std::nullopt, request.priority});
}

} // namespace basilreach::traffic::detail
