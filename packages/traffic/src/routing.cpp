// Chooses the server of each admitted statement, and polls servers for their
// positions.
#include <algorithm>
#include <array>
#include <limits>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

// Samples of the primary's position that a group keeps, for reads with a
// maximum age.
constexpr std::size_t sample_limit = 64;

// Whether the data of a replica at this position is known to be at most
// max_age old.
bool is_recent_enough(state const& s,
                      group_row const& group,
                      log_position position,
                      duration max_age)
{
    return std::any_of(group.samples.rbegin(), group.samples.rend(),
                       [&](primary_sample const& it) {
                           return it.queried_at + max_age >= s.now &&
                                  it.position <= position;
                       });
}

// Returns the position that a server must have reached to serve the read, or
// nothing when only the primary is known to satisfy it. A position that the
// primary had at some time covers every write acknowledged before that time.
std::optional<log_position> required_position(group_row const& group,
                                              request_row const& request,
                                              session_row const& session)
{
    if (!accepts_replica(request))
        return std::nullopt;
    auto const oldest = request.arrived_at - *request.max_age;
    auto const sample = std::find_if(group.samples.begin(), group.samples.end(),
                                     [oldest](primary_sample const& it)
                                     { return it.queried_at >= oldest; });
    if (sample == group.samples.end())
        return std::nullopt;
    auto const own = find_position(session.positions, group.name);
    if (request.reads == rules::read_guarantee::bounded_age || !own)
        return sample->position;
    return std::max(sample->position, *own);
}

// Adds a sample. Above the limit, removes the sample with the least time
// between its neighbours relative to its own age, so that samples of every age
// remain.
void add_sample(state const& s, group_row& group, primary_sample const& it)
{
    auto& samples = group.samples;
    samples.push_back(it);
    if (samples.size() <= sample_limit)
        return;
    auto least = samples.begin() + 1;
    double least_gap = std::numeric_limits<double>::max();
    for (auto at = samples.begin() + 1; at + 1 != samples.end(); ++at)
    {
        auto const between = (at + 1)->queried_at - (at - 1)->queried_at;
        auto const age = s.now - at->queried_at + duration(1);
        auto const gap = static_cast<double>(between.count()) /
                         static_cast<double>(age.count());
        if (gap < least_gap)
        {
            least = at;
            least_gap = gap;
        }
    }
    samples.erase(least);
}

using replica_predicate = bool (*)(state const&,
                                   group_row const&,
                                   request_row const&,
                                   session_row const&,
                                   server_row const&);

bool has_reached_session(state const& s,
                         group_row const& group,
                         request_row const& request,
                         session_row const& session,
                         server_row const& server)
{
    auto const own = find_position(session.positions, group.name);
    if (!own || !server.position || *server.position < *own ||
        server.position->term != group.term)
        return false;
    return !request.max_age ||
           is_recent_enough(s, group, *server.position, *request.max_age);
}

bool session_has_not_written(state const& /*s*/,
                             group_row const& group,
                             request_row const& /*request*/,
                             session_row const& session,
                             server_row const& /*server*/)
{
    // A position can come from a session token, whose session has written.
    return !session.has_written &&
           !find_position(session.positions, group.name);
}

bool qualifies_always(state const& /*s*/,
                      group_row const& /*group*/,
                      request_row const& /*request*/,
                      session_row const& /*session*/,
                      server_row const& /*server*/)
{
    return true;
}

bool qualifies_never(state const& /*s*/,
                     group_row const& /*group*/,
                     request_row const& /*request*/,
                     session_row const& /*session*/,
                     server_row const& /*server*/)
{
    return false;
}

// Indexed by read_policy.
constexpr std::array<replica_predicate, 4> read_policies = {
    has_reached_session, session_has_not_written, qualifies_always,
    qualifies_never};

// Returns whether replica a is preferred to b. A replica without an idle
// connection that is in the delay after a failed opening comes last. Among the
// others the less loaded one is preferred, then one with an idle connection,
// then one in this data centre.
bool is_preferred(state const& s, server_row const& a, server_row const& b)
{
    auto const load = [](server_row const& it)
    {
        return it.outstanding + it.queue->size();
    };
    auto const rank = [&s, &load](server_row const& it)
    {
        return std::tuple(it.next_open > s.now && it.idle.empty(), load(it),
                          it.idle.empty(),
                          it.data_centre != s.settings.data_centre, it.name);
    };
    return rank(a) < rank(b);
}

std::optional<server_row_id> choose_replica(state const& s,
                                            request_row const& request,
                                            session_row const& session)
{
    auto const& group = *s.groups.find(request.group);
    auto const policy =
        read_policies[static_cast<std::size_t>(s.settings.reads)];
    std::optional<server_row_id> best;
    for (auto const id : group.servers)
    {
        auto const& server = *s.servers.find(id);
        if (group.primary == id || !accepts_statements(server) ||
            std::find(request.excluded.begin(), request.excluded.end(), id) !=
                request.excluded.end() ||
            !policy(s, group, request, session, server))
            continue;
        if (!best || is_preferred(s, server, *s.servers.find(*best)))
            best = id;
    }
    return best;
}

// Penalties added to the load of a server, in outstanding statements. A server
// in another data centre costs traffic between data centres, and the primary is
// the only server that can run writes.
constexpr std::size_t remote_penalty = 4;
constexpr std::size_t primary_penalty = 2;

// Opening a connection occupies a slot for longer than most statements, and can
// close a connection of another workspace. A busy connection is soon free.
constexpr std::size_t opening_penalty = 3;
constexpr std::size_t busy_penalty = 1;

std::size_t connection_penalty(state const& s,
                               server_row const& server,
                               workspace_name const& workspace)
{
    auto const own = count_connections(s, server, workspace);
    if (own.idle > 0)
        return 0;
    return own.all > 0 ? busy_penalty : opening_penalty;
}

// Chooses the least loaded server of a server-checked group, the primary
// included.
std::optional<server_row_id> choose_server(state const& s,
                                           request_row const& request)
{
    auto const& group = *s.groups.find(request.group);
    auto const& workspace = s.sessions.find(request.session)->workspace;
    std::optional<server_row_id> best;
    auto const rank = [&](server_row_id id)
    {
        auto const& it = *s.servers.find(id);
        auto const penalty = connection_penalty(s, it, workspace);
        auto const load =
            it.outstanding + it.queue->size() + penalty +
            (it.data_centre != s.settings.data_centre ? remote_penalty : 0) +
            (group.primary == id ? primary_penalty : 0);
        return std::tuple(it.is_reported_silent, it.is_suspect,
                          it.next_open > s.now && it.idle.empty(), load,
                          penalty, it.name);
    };
    for (auto const id : group.servers)
    {
        bool const is_excluded =
            std::find(request.excluded.begin(), request.excluded.end(), id) !=
            request.excluded.end();
        if (!accepts_statements(*s.servers.find(id)) || is_excluded)
            continue;
        if (!best || rank(id) < rank(*best))
            best = id;
    }
    return best;
}

bool has_replica(state const& s, group_row const& group)
{
    return std::any_of(group.servers.begin(), group.servers.end(),
                       [&](server_row_id id) {
                           return group.primary != id &&
                                  accepts_statements(*s.servers.find(id));
                       });
}

void enqueue(state& s,
             request_row_id id,
             request_row& request,
             server_row_id server_id,
             bool at_primary)
{
    auto* server = s.servers.find(server_id);
    request.server = server_id;
    auto const entry = server->queue->push(queue_terms(s, request), id, s.now);
    if (!entry)
        return refuse_request(s, id, refusal_outcome::not_run,
                              entry.error() == limits::queue_refusal::queue_full
                                  ? refusal_reason::queue_full
                                  : refusal_reason::deadline);
    withdraw_expectations(s, id);
    request.at_primary = at_primary;
    request.state = request_state::queued;
    request.queue_entry = entry.value();
    s.to_dispatch.push_back(server_id);
}

// Returns whether a statement may be sent to the server. A silent server gets
// one statement per interval, as a trial of whether it answers again.
bool admit_trial(state& s, server_row& server)
{
    if (!server.is_reported_silent)
        return true;
    if (s.now < server.next_trial_at)
        return false;
    server.next_trial_at = s.now + s.settings.silence_report_interval;
    return true;
}

void route_to_primary(state& s,
                      request_row_id id,
                      request_row& request,
                      decision_reason reason)
{
    auto const& group = *s.groups.find(request.group);
    request.after.reset();
    if (!group.primary ||
        !accepts_statements(*s.servers.find(*group.primary)) ||
        group.primary_refused_until > s.now)
        return wait_for_primary(s, id, request);
    // A silent primary is replaced only after some seconds. A statement that
    // waited for it would wait in vain.
    if (is_server_checked(s, request) &&
        !admit_trial(s, *s.servers.find(*group.primary)))
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::server_silent);
    record_decision(s, id, decision_kind::route, reason, *group.primary);
    enqueue(s, id, request, *group.primary, true);
}

// Lets a read wait for a replica to reach the session's position: replicas
// often catch up in less time than a read waits in the primary's queue.
void wait_for_position(state& s,
                       request_row_id id,
                       request_row& request,
                       log_position position)
{
    request.state = request_state::waiting_position;
    request.has_waited = true;
    s.groups.find(request.group)->waiting_position.emplace(position, id);
    s.timers.set({timer_kind::position_wait, id},
                 s.now + s.settings.replica_wait);
    s.timers.set({timer_kind::group_poll, request.group}, s.now);
    record_decision(s, id, decision_kind::wait,
                    decision_reason::position_not_reached);
}

void route_read(state& s,
                request_row_id id,
                request_row& request,
                session_row const& session)
{
    if (auto const replica = choose_replica(s, request, session))
    {
        record_decision(s, id, decision_kind::route,
                        decision_reason::least_loaded_replica, replica);
        return enqueue(s, id, request, *replica, false);
    }
    auto const& group = *s.groups.find(request.group);
    auto const own = find_position(session.positions, group.name);
    if (s.settings.reads == read_policy::session_position && own &&
        !request.has_waited && has_replica(s, group))
        return wait_for_position(s, id, request, *own);
    route_to_primary(s, id, request,
                     own ? decision_reason::primary_no_replica_qualifies
                         : decision_reason::primary_without_position);
}

// Requests a positions query to the primary, which occupies none of its slots.
void request_sample(state& s, group_row& group)
{
    group.needs_primary_query = true;
    s.to_dispatch.push_back(*group.primary);
}

// Queries the position of a silent primary, over a new connection if there is
// none, as a trial of whether it answers again.
void probe_primary(state& s, group_row& group, workspace_name const& workspace)
{
    auto const id = *group.primary;
    auto& server = *s.servers.find(id);
    if (!admit_trial(s, server))
        return;
    request_sample(s, group);
    if (server.connections.empty() && s.now >= server.next_open)
        start_connection(s, id, server, workspace);
}

// Whether the read needs a position of a primary that is silent. Where this
// daemon may not connect to the primary, the read itself is the trial: the
// daemon asks for a connection only while a statement waits for one.
bool needs_silent_primary(state const& s, group_row const& group)
{
    if (!group.primary)
        return false;
    auto const& server = *s.servers.find(*group.primary);
    return server.is_reported_silent && accepts_statements(server) &&
           (server.connection_share > 0 || !server.connections.empty());
}

bool has_reachable_primary(state const& s, group_row const& group)
{
    return group.primary &&
           accepts_statements(*s.servers.find(*group.primary)) &&
           group.primary_refused_until <= s.now &&
           !s.servers.find(*group.primary)->is_reported_silent;
}

// Lets a read wait for a recent position of the primary. If reads without one
// went to the primary instead, a primary that had been slow for a while would
// stay overloaded by them.
void wait_for_sample(state& s, request_row_id id, request_row& request)
{
    request.state = request_state::waiting_sample;
    request.has_waited = true;
    auto* group = s.groups.find(request.group);
    group->waiting_sample.push_back(id);
    request_sample(s, *group);
    record_decision(s, id, decision_kind::wait,
                    decision_reason::position_not_reached);
    expect_connections(s, id);
}

void expect_connection(state& s,
                       request_row_id id,
                       request_row& request,
                       server_row_id server_id)
{
    auto* server = s.servers.find(server_id);
    auto const& workspace = s.sessions.find(request.session)->workspace;
    if (!accepts_statements(*server) ||
        count_connections(s, *server, workspace).all > 0)
        return;
    server->expected.push_back(id);
    request.expected_at.push_back(server_id);
    s.to_dispatch.push_back(server_id);
}

// Routes a read in a server-checked group.
void route_server_checked_read(state& s,
                               request_row_id id,
                               request_row& request,
                               session_row const& session)
{
    auto& group = *s.groups.find(request.group);
    auto const after = required_position(group, request, session);
    bool const uses_samples = accepts_replica(request);
    if (uses_samples && has_reachable_primary(s, group))
    {
        if (!after && !request.has_waited)
            return wait_for_sample(s, id, request);
        // Replicas reach a position some milliseconds after it was observed, so
        // a new sample is requested before the last one is too old.
        if (group.samples.empty() ||
            group.samples.back().queried_at + *request.max_age / 2 < s.now)
            request_sample(s, group);
    }
    if (uses_samples && !after && needs_silent_primary(s, group))
    {
        probe_primary(s, group, session.workspace);
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::server_silent);
    }
    auto const server =
        after ? choose_server(s, request) : std::optional<server_row_id>{};
    if (!server)
        return route_to_primary(
            s, id, request,
            after ? decision_reason::primary_no_replica_qualifies
                  : decision_reason::primary_without_position);
    request.after = after;
    record_decision(s, id, decision_kind::route,
                    decision_reason::least_loaded_replica, server);
    enqueue(s, id, request, *server, group.primary == server);
}

// Whether the transaction is open at a server to which nothing more may be
// sent.
bool has_to_end(state const& s, transaction const& it)
{
    auto const server = s.connections.find(it.connection)->server;
    return s.servers.find(server)->ends_transactions;
}

void send_in_transaction(state& s,
                         request_row_id id,
                         request_row& request,
                         transaction const& it)
{
    request.server = s.connections.find(it.connection)->server;
    request.at_primary = it.at_primary;
    record_decision(s, id, decision_kind::route,
                    decision_reason::pinned_transaction, request.server);
    send_request(s, id, it.connection);
}

void route(state& s, request_row_id id)
{
    auto* request = s.requests.find(id);
    if (request == nullptr)
        return;
    if (std::exchange(request->awaits_admission, false))
        return s.to_admit.push_back(id);
    auto const& session = *s.sessions.find(request->session);
    if (session.in_transaction && commits(s, *request) &&
        is_fenced(*s.groups.find(request->group)))
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::transaction_lost);
    if (session.in_transaction && has_to_end(s, *session.in_transaction))
    {
        abort_transaction_of(s, *s.sessions.find(request->session));
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::transaction_lost);
    }
    if (session.in_transaction)
        return send_in_transaction(s, id, *request, *session.in_transaction);
    if (request->is_read && is_server_checked(s, *request))
        return route_server_checked_read(s, id, *request, session);
    if (request->is_read)
        return route_read(s, id, *request, session);
    route_to_primary(s, id, *request, decision_reason::primary_for_write);
}

// Whether a read or a held answer waits for a newer position of this replica.
bool is_position_awaited(group_row const& group,
                         server_row_id id,
                         server_row const& server)
{
    if (!accepts_statements(server))
        return false;
    auto const behind = [&server](auto const& waiting)
    {
        return !waiting.empty() &&
               (!server.position || *server.position < waiting.rbegin()->first);
    };
    if (group.primary == id)
        return false;
    // A replica serves reads only once it is known to be in the group's term.
    bool const is_in_term =
        server.position && server.position->term == group.term;
    return behind(group.held) || behind(group.waiting_position) ||
           (!group.waiting_position.empty() && !is_in_term);
}

// Sends a positions query if a connection is idle. A server with only busy
// connections needs none, since each answer carries its position.
void query_server(state& s, server_row_id id, server_row& server)
{
    if (server.idle.empty())
    {
        if (server.connections.empty())
            s.to_dispatch.push_back(id);
        return;
    }
    auto const connection = server.idle.back();
    server.idle.pop_back();
    server.is_queried = true;
    server.next_query = s.now + s.settings.poll_interval;
    send_positions_query(s, connection);
}

} // namespace

void wait_for_primary(state& s, request_row_id id, request_row& request)
{
    withdraw_expectations(s, id);
    auto* group = s.groups.find(request.group);
    if (group->is_out_of_service)
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::out_of_service);
    if (!can_wait_for_primary(s, *group, request))
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::no_primary);
    if (!make_room_for_primary(s, *group, request))
        return refuse_request(s, id, refusal_outcome::not_run,
                              refusal_reason::queue_full);
    request.state = request_state::waiting_primary;
    group->waiting_primary.push_back(id);
    record_decision(s, id, decision_kind::wait, decision_reason::no_primary);
}

void route_requests(state& s)
{
    for (auto const id : std::exchange(s.to_route, {}))
        route(s, id);
}

// Opening a connection takes longer than the answer of the leader or of the
// primary for which the statement waits.
void expect_connections(state& s, request_row_id id)
{
    withdraw_expectations(s, id);
    auto& request = *s.requests.find(id);
    auto const& session = *s.sessions.find(request.session);
    if (!is_server_checked(s, request) || session.in_transaction)
        return;
    auto const& group = *s.groups.find(request.group);
    if (!group.primary || group.primary_refused_until > s.now)
        return;
    bool const has_replicas = request.is_read && accepts_replica(request);
    bool const needs_primary =
        !has_replicas || (!required_position(group, request, session) &&
                          s.servers.find(*group.primary)->connections.empty());
    if (needs_primary)
        expect_connection(s, id, request, *group.primary);
    auto const server = has_replicas ? choose_server(s, request) : std::nullopt;
    if (server && (!needs_primary || server != group.primary))
        expect_connection(s, id, request, *server);
}

void withdraw_expectations(state& s, request_row_id id)
{
    auto& request = *s.requests.find(id);
    for (auto const server : std::exchange(request.expected_at, {}))
    {
        std::erase(s.servers.find(server)->expected, id);
        s.to_report.push_back(server);
    }
}

bool is_server_checked(state const& s, request_row const& request)
{
    auto const* group = s.groups.find(request.group);
    return group != nullptr && is_server_checked(*group);
}

void back_off_from_primary(state& s, group_row_id id)
{
    auto* group = s.groups.find(id);
    group->primary_refused_until = s.now + s.settings.primary_retry;
    s.timers.set({timer_kind::primary_retry, id}, group->primary_refused_until);
}

void add_primary_sample(state& s,
                        group_row& group,
                        instant queried_at,
                        log_position position)
{
    auto& samples = group.samples;
    // Answers over several connections can arrive out of order; a later sample
    // covers an earlier one.
    if (samples.empty() ||
        samples.back().queried_at + s.settings.poll_interval <= queried_at)
        add_sample(s, group, {queried_at, position});
    group.needs_primary_query = false;
    route_waiting_for_sample(s, group);
}

void route_waiting_for_sample(state& s, group_row& group)
{
    for (auto const id : std::exchange(group.waiting_sample, {}))
        if (auto const* request = s.requests.find(id);
            request != nullptr &&
            request->state == request_state::waiting_sample)
            s.to_route.push_back(id);
}

void observe_position(state& s,
                      server_row_id id,
                      log_position position,
                      instant queried_at)
{
    auto* server = s.servers.find(id);
    // Answers over several connections can arrive out of order.
    if (!server->position || position > *server->position)
        server->position = position;
    auto* group = s.groups.find(server->group);
    if (is_server_checked(*group))
        return;
    if (group->primary == id && position.term == group->term)
        add_primary_sample(s, *group, queried_at, position);
    auto const end = group->waiting_position.upper_bound(position);
    for (auto it = group->waiting_position.begin(); it != end;
         it = group->waiting_position.erase(it))
    {
        s.timers.erase({timer_kind::position_wait, it->second});
        s.to_route.push_back(it->second);
    }
    if (!group->held.empty())
        s.to_release.push_back(server->group);
}

void poll_positions(state& s)
{
    for (auto const id : std::exchange(s.to_poll, {}))
    {
        bool is_waiting = false;
        auto const& group = *s.groups.find(id);
        for (auto const server_id : group.servers)
        {
            auto* server = s.servers.find(server_id);
            if (!is_position_awaited(group, server_id, *server))
                continue;
            is_waiting = true;
            if (!server->is_queried && server->next_query <= s.now)
                query_server(s, server_id, *server);
        }
        if (is_waiting)
            s.timers.set({timer_kind::group_poll, id},
                         s.now + s.settings.poll_interval);
    }
}

} // namespace basilreach::traffic::detail
