#include <basilreach/traffic/engine.hpp>

#include <array>
#include <utility>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic
{

using detail::state;

namespace
{

void on(state& s, session_opened const& it)
{
    detail::session_row row;
    row.id = it.session;
    row.name = it.name;
    row.route = it.route;
    row.workspace = it.workspace;
    row.key = it.key;
    row.positions = it.positions;
    row.read_only = it.read_only;
    row.is_forwarded = it.is_forwarded;
    auto const id = s.sessions.insert(std::move(row));
    s.session_by_id.emplace(static_cast<std::uint64_t>(it.session), id);
    if (it.key)
        s.sessions_by_key[*it.key].insert(id);
}

std::optional<detail::session_row_id> find_session(state const& s,
                                                   session_id id)
{
    auto const it = s.session_by_id.find(static_cast<std::uint64_t>(id));
    if (it == s.session_by_id.end())
        return std::nullopt;
    return it->second;
}

// Removes a session's request, and closes the connection on which its statement
// or transaction runs: an answer that arrives later must not reach the next
// user of the connection.
void cancel_request(state& s, detail::session_row& session)
{
    if (session.request)
    {
        auto const request = *session.request;
        auto const* row = s.requests.find(request);
        if (row->state == detail::request_state::sent)
            detail::drop_connection(s, row->connection);
        detail::remove_request(s, request);
    }
    detail::abort_transaction_of(s, session);
}

void on(state& s, session_closed const& it)
{
    auto const id = find_session(s, it.session);
    if (!id)
        return;
    auto* session = s.sessions.find(*id);
    cancel_request(s, *session);
    if (session->key)
    {
        auto const by_key = s.sessions_by_key.find(*session->key);
        by_key->second.erase(*id);
        if (by_key->second.empty())
            s.sessions_by_key.erase(by_key);
    }
    s.session_by_id.erase(static_cast<std::uint64_t>(it.session));
    s.sessions.erase(*id);
}

void on(state& s, session_token_presented const& it)
{
    auto const id = find_session(s, it.session);
    if (!id)
        return;
    auto* session = s.sessions.find(*id);
    for (auto const& [group, position] : it.positions)
        advance_position(session->positions, group, position);
}

duration statement_timeout(state const& s, detail::session_row const& session)
{
    if (session.in_transaction)
        return session.in_transaction->timeout;
    auto const route = s.view->routes.find(session.route);
    auto const timeout =
        route == s.view->routes.end() ? std::nullopt : route->second.timeout;
    return timeout.value_or(s.settings.request_timeout);
}

void on(state& s, statement_received const& it)
{
    auto const id = find_session(s, it.session);
    if (!id)
        return;
    auto* session = s.sessions.find(*id);
    // The client is being notified that its session has ended. A statement that
    // it sent before it knew must not run outside its transaction.
    if (session->is_ending)
        return;
    detail::request_row row;
    row.number = ++s.last_request_number;
    row.session = *id;
    row.verb = it.verb;
    bool const is_continued = it.opens == transaction_opening::opened;
    row.opens = is_continued ? transaction_opening::none : it.opens;
    row.arrived_at = s.now;
    row.timeout = statement_timeout(s, *session);
    if (it.origin)
    {
        row.arrived_at -= it.origin->time_since_arrival;
        row.timeout = it.origin->time_left;
        ++s.counts.received;
    }
    row.deadline = s.now + row.timeout;
    auto const deadline = row.deadline;
    auto const request = s.requests.insert(std::move(row));
    session->request = request;
    s.timers.set({detail::timer_kind::request, request}, deadline);
    // The process could end before the server answers.
    if (s.drain >= drain_stage::transactions)
    {
        detail::abort_transaction_of(s, *session);
        return detail::refuse_request(s, request, refusal_outcome::not_run,
                                      refusal_reason::draining);
    }
    // The transaction was lost, and the client has not been notified yet.
    if (is_continued && !session->in_transaction)
        return detail::refuse_request(s, request, refusal_outcome::not_run,
                                      refusal_reason::transaction_lost);
    if (auto const reason = it.origin && !is_continued
                                ? detail::check_origin(s, *session, *it.origin)
                                : std::nullopt)
        return detail::refuse_request(s, request, refusal_outcome::not_run,
                                      *reason);
    s.to_admit.push_back(request);
}

void on(state& s, connection_opened const& it)
{
    auto* connection = s.connections.find(it.connection);
    if (connection == nullptr)
        return;
    auto* server = s.servers.find(connection->server);
    --server->opening;
    server->pacer.record_open(s.now - connection->sent_at, s.now);
    detail::mark_responsive(s, connection->server, *server);
    ++s.counts.connections_opened;
    detail::make_idle(s, it.connection);
}

void on(state& s, connection_failed const& it)
{
    auto const* connection = s.connections.find(it.connection);
    if (connection != nullptr && s.servers.find(connection->server)->is_holder)
        return detail::handle_holder_loss(s, it.connection);
    detail::handle_connection_loss(s, it.connection,
                                   refusal_reason::connection_lost);
}

void on(state& s, answer_received const& it)
{
    detail::handle_answer(s, it.connection, it);
}

void on(state& s, position_observed const& it)
{
    auto const* connection = s.connections.find(it.connection);
    if (connection == nullptr)
        return;
    auto const server = connection->server;
    auto const sent_at = connection->sent_at;
    auto const group_id = s.servers.find(server)->group;
    s.servers.find(server)->is_queried = false;
    detail::make_idle(s, it.connection);
    detail::observe_position(s, server, it.position, sent_at);
    auto* group = s.groups.find(group_id);
    if (group->primary != server ||
        !std::exchange(group->is_querying_primary, false))
        return;
    detail::mark_responsive(s, server, *s.servers.find(server));
    if (it.is_from_primary)
        return detail::add_primary_sample(s, *group, sent_at, it.position);
    detail::back_off_from_primary(s, group_id);
    detail::route_waiting_for_sample(s, *group);
}

void on(state& s, limits::token_grant const& it)
{
    s.rate_limiter.receive(it, s.now);
    auto const found = s.waiting_rate_token.find(it.workspace);
    if (found == s.waiting_rate_token.end() ||
        s.rate_limiter.available(it.workspace, s.now) <= 0)
        return;
    for (auto const id : std::exchange(found->second, {}))
        s.to_admit.push_back(id);
    // Requests that still get no token are counted again by their admission.
    s.rate_limiter.set_waiting(it.workspace, 0, s.now);
}

void on(state& s, control_changed const& it)
{
    // Adopted at once and not in a later stage: an event of the same tick can
    // set the connection share of a server that this view adds, and the share
    // of an unknown server is ignored.
    detail::adopt_control(s, it.view);
}

void readmit_waiting_for_lease(state& s)
{
    s.to_admit.insert(s.to_admit.end(), s.waiting_lease.begin(),
                      s.waiting_lease.end());
    s.waiting_lease.clear();
}

void on(state& s, leader_reach_changed const& it)
{
    s.is_leader_reachable = it.is_reachable;
    if (!it.is_reachable)
        readmit_waiting_for_lease(s);
}

void on(state& s, lease_changed const& it)
{
    s.lease_until = it.valid_until;
    if (!s.has_lease())
        return;
    readmit_waiting_for_lease(s);
    // A majority of servers may have replicated a held write while there was no
    // lease.
    for (auto const& [name, id] : s.group_by_name)
        if (!s.groups.find(id)->held.empty())
            s.to_release.push_back(id);
}

void on(state& s, connection_share_changed const& it)
{
    auto const found = s.server_by_name.find(it.server);
    if (found == s.server_by_name.end())
        return;
    auto* server = s.servers.find(found->second);
    server->connection_share = it.connections;
    while (server->connections.size() > server->connection_share &&
           !server->idle.empty())
        detail::drop_connection(s, server->idle.back());
    while (it.is_expired &&
           server->connections.size() > server->connection_share)
        detail::handle_connection_loss(s, server->connections.back(),
                                       refusal_reason::connection_lost);
    s.to_report.push_back(found->second);
    s.to_dispatch.push_back(found->second);
}

void on(state& s, drain_advanced const& it)
{
    s.drain = std::max(s.drain, it.stage);
    bool const ends_all = s.drain == drain_stage::statements;
    std::vector<detail::request_row_id> requests;
    s.sessions.for_each(
        [&](row_id id, detail::session_row const& row)
        {
            if (row.request)
                requests.push_back(*row.request);
            else if (!row.in_transaction || ends_all)
                detail::close_idle_session(s, id, refusal_reason::draining);
        });
    if (!ends_all)
        return;
    for (auto const id : requests)
        detail::abandon_request(s, id, refusal_reason::draining);
}

void on(state& s, forward_refused const& it)
{
    detail::handle_forward_refusal(s, it);
}

void on(state& s, holder_answered const& it)
{
    s.holders.record_received(it.holder, s.now);
}

void on(state& s, holder_failed const& it)
{
    if (it.is_stopping)
        detail::leave_holder(s, it.holder);
    else
        s.holders.record_failure(it.holder, s.now);
}

using handler = void (*)(state&, event const&);

template <std::size_t... N>
constexpr auto make_handlers(std::index_sequence<N...> /*unused*/)
{
    return std::array<handler, sizeof...(N)>{[](state& s, event const& it)
                                             {
                                                 on(s, std::get<N>(it));
                                             }...};
}

constexpr auto handlers =
    make_handlers(std::make_index_sequence<std::variant_size_v<event>>{});

using stage = void (*)(state&);

constexpr std::array stages = {
    &detail::expire_deadlines,  &detail::check_holders,
    &detail::admit_requests,    &detail::route_requests,
    &detail::dispatch_requests, &detail::release_held_answers,
    &detail::poll_positions,    &detail::request_rate_tokens,
    &detail::confirm_view,      &detail::report_connections,
};

bool has_work(state const& s)
{
    return !s.to_admit.empty() || !s.to_route.empty() ||
           !s.to_dispatch.empty() || !s.to_release.empty();
}

} // namespace

engine_counts& engine_counts::operator+=(engine_counts const& it)
{
    sessions += it.sessions;
    requests += it.requests;
    connections += it.connections;
    held += it.held;
    reads_at_replicas += it.reads_at_replicas;
    reads_at_primaries += it.reads_at_primaries;
    writes += it.writes;
    refused_not_run += it.refused_not_run;
    outcome_unknown += it.outcome_unknown;
    silent_connections += it.silent_connections;
    connections_opened += it.connections_opened;
    for (auto const& [priority, counts] : it.by_class)
        by_class[priority] += counts;
    forwarded += it.forwarded;
    received += it.received;
    local_after_rejection += it.local_after_rejection;
    local_after_undelivered += it.local_after_undelivered;
    local_after_loss += it.local_after_loss;
    local_above_limit += it.local_above_limit;
    return *this;
}

engine::engine(engine_settings settings)
    : state_(std::make_unique<state>(std::move(settings)))
{
    state_->view = std::make_shared<control_view const>();
}

engine::~engine() = default;

void engine::push(event it)
{
    pending_events_.push_back(std::move(it));
}

std::vector<action> engine::tick(instant now)
{
    auto& s = *state_;
    s.now = now;
    for (auto const& it : pending_events_)
        handlers[it.index()](s, it);
    pending_events_.clear();
    do
    {
        for (auto const run : stages)
            run(s);
    } while (has_work(s));
    return std::exchange(s.actions, {});
}

instant engine::next_deadline() const
{
    if (!pending_events_.empty())
        return instant{};
    return std::min({state_->timers.next(),
                     state_->rate_limiter.next_deadline(),
                     state_->holders.next_deadline()});
}

engine_counts engine::counts() const
{
    auto counts = state_->counts;
    counts.sessions = state_->sessions.size();
    counts.requests = state_->requests.size();
    counts.connections = state_->connections.size();
    for (auto const& [name, id] : state_->holder_by_name)
        counts.connections -= state_->servers.find(id)->connections.size();
    return counts;
}

} // namespace basilreach::traffic
