#ifndef BASILREACH_TRAFFIC_DETAIL_STATE_HPP
#define BASILREACH_TRAFFIC_DETAIL_STATE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/dispatch/holder_table.hpp>
#include <basilreach/limits/class_queue.hpp>
#include <basilreach/limits/concurrency_window.hpp>
#include <basilreach/limits/connection_pacer.hpp>
#include <basilreach/limits/rate_limiter.hpp>
#include <basilreach/traffic/action.hpp>
#include <basilreach/traffic/engine_settings.hpp>
#include <basilreach/traffic/event.hpp>

namespace basilreach::traffic::detail
{

using session_row_id = row_id;
using request_row_id = row_id;
using server_row_id = row_id;
using group_row_id = row_id;

// A transaction of a session and the connection that it is bound to.
struct transaction
{
    connection_id connection;
    // The group, and the time that each statement may take. They stay as they
    // were when the transaction began: a change of the route applies from the
    // next transaction on.
    group_row_id group;
    duration timeout{};
    // The group's term when the transaction began.
    std::uint64_t term = 0;
    bool at_primary = false;
    bool read_only = false;
};

struct session_row
{
    session_id id{};
    session_name name;
    route_name route;
    workspace_name workspace;
    std::optional<key_digest> key;
    bool read_only = false;
    // Another daemon has forwarded the session's statements to this one.
    bool is_forwarded = false;
    bool is_ending = false;
    std::optional<refusal_reason> end_reason;
    group_positions positions;
    bool has_written = false;
    std::optional<transaction> in_transaction;
    std::optional<request_row_id> request;
};

enum class request_state : std::uint8_t
{
    arrived,
    waiting_lease,
    waiting_rate_token,
    waiting_primary,
    waiting_position,
    // Waits for a position of the primary that is recent enough.
    waiting_sample,
    queued,
    sent,
    held
};

struct request_row
{
    std::uint64_t number = 0;
    session_row_id session;
    statement_verb verb = statement_verb::other;
    transaction_opening opens = transaction_opening::none;
    request_state state = request_state::arrived;
    bool is_read = false;
    bool has_rate_token = false;
    instant rate_token_taken_at;
    // A server may have run the statement, even if the request now waits to be
    // sent to another one.
    bool was_sent = false;
    // A commit whose group has lost its primary since it was sent, so that its
    // success can't be relied on.
    bool is_fenced = false;
    // Whether the statement may still be sent to a holder; it runs here
    // otherwise.
    bool may_forward = true;
    // The statement is at a holder, or its answer came from there.
    bool is_forwarded = false;
    // The statement waits for the primary and has not been admitted yet, since
    // the holder depends on the primary's data centre.
    bool awaits_admission = false;
    // Set when a read first waits for a position: it waits only once.
    bool has_waited = false;
    group_row_id group;
    std::optional<std::chrono::nanoseconds> max_age;
    rules::read_guarantee reads = rules::read_guarantee::session;
    instant arrived_at;
    // Time that the statement may take from its arrival.
    duration timeout{};
    instant deadline;
    // In rules that state priorities: the class of the statement, and the time
    // after which its answer is late.
    std::optional<rules::priority> priority;
    std::optional<instant> target;
    // The position that the server must have reached; used in groups whose
    // servers check it.
    std::optional<log_position> after;
    // Attempts that servers rejected without running the statement.
    std::uint32_t rejected_attempts = 0;
    server_row_id server;
    connection_id connection;
    bool at_primary = false;
    std::optional<row_id> queue_entry;
    // Servers that count this request among their expected ones.
    std::vector<server_row_id> expected_at;
    // Servers to which this read is not routed again, except as the primary:
    // no connection could be opened, or the server rejected the statement
    // without running it.
    std::vector<server_row_id> excluded;
    // The session's position in the request's group once the answer is relayed.
    std::optional<log_position> answer_position;
};

enum class connection_state : std::uint8_t
{
    opening,
    idle,
    // A statement's answer is outstanding.
    busy,
    // The answer to a positions query sent alone is outstanding.
    querying_position,
    // Bound to a transaction that has no statement in progress.
    pinned
};

struct connection_row
{
    server_row_id server;
    connection_state state = connection_state::opening;
    bool read_only = false;
    // A server that checks positions receives the workspace when the connection
    // is opened, so the connection serves only this workspace.
    workspace_name workspace;
    std::optional<request_row_id> request;
    // The session to whose transaction the connection is bound.
    std::optional<session_row_id> pinned_by;
    // When the last message was sent; the opening counts as one.
    instant sent_at;
    instant statement_sent_at;
};

struct server_row
{
    server_name name;
    group_row_id group;
    data_centre_name data_centre;
    std::string address;
    bool is_down = false;
    bool is_leaving = false;
    bool is_removed = false;
    // The row is a daemon that runs forwarded statements. It belongs to no
    // group of the control view, and has no limit of connections and no queue.
    bool is_holder = false;
    bool is_out_of_service = false;
    // The data centre has been out of service for out_of_service_grace.
    bool ends_transactions = false;
    std::optional<log_position> position;
    // Connections that this thread may have open to the server.
    std::uint32_t connection_share = 0;
    std::uint32_t reported_open = 0;
    std::uint32_t reported_wanted = 0;
    std::vector<connection_id> connections;
    std::vector<connection_id> idle;
    // Queue, by class and workspace, of statements that wait for a connection.
    // Held by pointer because a row can move while its queue must not.
    std::unique_ptr<limits::class_queue<request_row_id>> queue;
    // Statements that are likely to be sent to this server once they have a
    // rate token or a position. Connections for them are opened meanwhile.
    std::vector<request_row_id> expected;
    std::uint32_t opening = 0;
    // Statements sent to the server and not answered.
    std::uint32_t outstanding = 0;
    // A positions query for polling is outstanding.
    bool is_queried = false;
    instant next_query;
    instant next_open;
    // Earliest time at which an idle connection may be closed to make room for
    // one of another workspace.
    instant next_eviction;
    // Time since which something is outstanding and nothing has been answered,
    // and whether the server has been reported as silent.
    std::optional<instant> silent_since;
    bool is_reported_silent = false;
    // Whether the silence has lasted longer than answers usually take. Reads
    // then run elsewhere if they can, but none is refused.
    bool is_suspect = false;
    // When the next statement may be sent to a silent server as a trial.
    instant next_trial_at;
    limits::concurrency_window window;
    limits::connection_pacer pacer;
};

// A position that the primary reported in answer to a message sent at
// queried_at. It covers every write acknowledged before that time.
struct primary_sample
{
    instant queried_at;
    log_position position;
};

struct group_row
{
    group_name name;
    std::uint64_t term = 0;
    std::optional<server_row_id> primary;
    std::uint32_t slots = 3;
    rules::position_check checked_by = rules::position_check::proxy;
    std::uint32_t sync_replicas = 0;
    bool is_out_of_service = false;
    // Until then nothing is sent to the primary, because that server answered
    // that it is not the primary.
    instant primary_refused_until;
    std::vector<server_row_id> servers;
    // May hold requests that no longer wait.
    std::deque<request_row_id> waiting_primary;
    // Set while the group has lost its primary and has no other one.
    std::optional<instant> primary_absent_since;
    std::multimap<log_position, request_row_id> waiting_position;
    std::multimap<log_position, request_row_id> held;
    std::deque<primary_sample> samples;
    // Reads that wait for a sample; may hold requests that no longer exist.
    std::deque<request_row_id> waiting_sample;
    // A positions query to the primary is needed, or is outstanding.
    bool needs_primary_query = false;
    bool is_querying_primary = false;
    // Highest position of a write whose success was relayed.
    std::optional<log_position> acknowledged;
};

enum class timer_kind : std::uint8_t
{
    request,
    read_try,
    position_wait,
    token_wait,
    connection,
    group_poll,
    server_dispatch,
    primary_retry,
    server_silence,
    view_confirmation,
    out_of_service,
    idle_retention
};

struct timer_key
{
    timer_kind kind;
    row_id row;

    friend auto operator<=>(timer_key const&, timer_key const&) = default;
};

// A thread keeps a token of each workspace that it has used lately. If only its
// daemon kept one, the next statement would wait for the daemon's control
// thread.
[[nodiscard]] inline limits::rate_limiter_settings limiter_settings()
{
    limits::rate_limiter_settings out;
    out.min_reserve = 1;
    return out;
}

// The tables of one traffic thread and work lists of the rows that have
// changed. The stages of a tick process only those lists, so that their cost
// depends on the number of changes and not on the size of the tables.
struct state
{
    explicit state(engine_settings it)
        : settings(std::move(it)),
          rate_limiter(limiter_settings(), settings.holder, 1),
          holders(settings.self), retry_budget(settings.retry_budget_limit)
    {
    }

    engine_settings settings;
    instant now;
    instant lease_until;
    bool is_leader_reachable = false;
    drain_stage drain = drain_stage::none;
    control_view_ptr view;
    // The revision of a view that is adopted but not yet confirmed, and when it
    // is confirmed at the latest.
    std::optional<std::uint64_t> unconfirmed_revision;
    instant confirm_by;

    table<session_row> sessions;
    table<request_row> requests;
    table<connection_row> connections;
    table<server_row> servers;
    table<group_row> groups;
    // Rate tokens by workspace, and the statements that wait for one.
    limits::rate_limiter rate_limiter;
    std::map<workspace_name, std::deque<request_row_id>> waiting_rate_token;

    // Which daemons hold the workspaces, and their rows in `servers`.
    dispatch::holder_table holders;
    std::map<daemon_name, server_row_id> holder_by_name;
    std::optional<group_row_id> holder_group;
    // The groups of the view whose statements run at holders, and the data
    // centres that have holders.
    std::set<group_name> groups_with_holders;
    std::size_t data_centres_with_holders = 0;
    // Until when a holder has no rate token for a workspace.
    std::map<std::pair<server_row_id, workspace_name>, instant> rate_refused;

    std::unordered_map<std::uint64_t, session_row_id> session_by_id;
    std::map<key_digest, std::set<session_row_id>> sessions_by_key;
    std::map<server_name, server_row_id> server_by_name;
    std::map<group_name, group_row_id> group_by_name;
    std::deque<request_row_id> waiting_lease;
    // How long groups were last without a primary.
    std::deque<duration> primary_absences;

    // Work lists, in the order in which the stages of a tick process them.
    std::vector<request_row_id> to_admit;
    std::vector<request_row_id> to_route;
    std::vector<server_row_id> to_dispatch;
    std::vector<group_row_id> to_release;
    std::vector<group_row_id> to_poll;
    // Servers whose number of connections may have changed.
    std::vector<server_row_id> to_report;

    deadline_queue<timer_key> timers;
    std::vector<action> actions;
    engine_counts counts;
    // Retries of unanswered reads that are left; each answer adds a fraction of
    // one.
    double retry_budget = 0;
    std::uint64_t last_request_number = 0;

    [[nodiscard]] bool has_lease() const
    {
        return now < lease_until;
    }

    // Whether a statement may be admitted by the present view. A daemon that
    // reaches the leader and gets no lease is late: its view may lack a change
    // that is in force.
    [[nodiscard]] bool may_use_view(bool has_key) const
    {
        if (has_lease())
            return true;
        return !is_leader_reachable &&
               (!has_key || settings.serves_without_lease);
    }
};

// Updates the tables from a control view; runs when its event is handled.
void adopt_control(state& s, control_view_ptr const& view);

// The stages of a tick; engine.cpp lists them in the order in which they run.
void expire_deadlines(state& s);
void admit_requests(state& s);
void route_requests(state& s);
void poll_positions(state& s);
void dispatch_requests(state& s);
void release_held_answers(state& s);
void request_rate_tokens(state& s);
// Reports that the newest view is in effect, once no commit is outstanding in a
// group that has lost its primary by it.
void confirm_view(state& s);
void report_connections(state& s);

// Replies to the request's client with an error and removes the request.
void refuse_request(state& s,
                    request_row_id id,
                    refusal_outcome outcome,
                    refusal_reason reason,
                    bool close_session = false);

// Relays the stored answer to the request's client and removes the request.
void relay_request(state& s, request_row_id id);

// Removes a request from all lists and tables without a reply to its client.
void remove_request(state& s, request_row_id id);

// Closes a connection. The caller handles the request whose statement was sent
// over it, if there is one.
void drop_connection(state& s, connection_id id);

// Returns a connection to the idle ones of its server, or closes it if the
// server is leaving, is removed or has more connections than its share.
void make_idle(state& s, connection_id id);

// Refuses a request that a server has not answered, and closes its connection.
void abandon_request(state& s, request_row_id id, refusal_reason reason);

// Sends the statement to the daemon that holds its workspace, if that is
// another one. Returns false if the statement is to run here; otherwise it is
// sent, waits for a primary, or is refused.
bool forward_request(state& s, request_row_id id);

// Sends a statement over a connection to a holder.
void send_to_holder(state& s, request_row_id id, connection_id connection);

// Records that a statement is no longer outstanding at a holder.
void settle_at_holder(state& s, server_row& holder, bool is_answered);

// Sends no more statements to a holder that has begun a planned stop, until it
// is tried again.
void leave_holder(state& s, daemon_name const& holder);

// Returns the time during which further statements of the workspace would be
// refused for lack of a rate token, as far as that is certain.
[[nodiscard]] duration rate_retry_time(state const& s,
                                       workspace_name const& workspace);

// Admits a statement again that a holder did not answer, to run here.
void run_here(state& s, request_row_id id);

void handle_forward_refusal(state& s, forward_refused const& it);

// Handles the end of a connection to a holder. A read is retried here within
// the retry budget.
void handle_holder_loss(state& s, connection_id id);

// Adopts the members of the control view.
void adopt_members(state& s);

// Returns why a forwarded statement must not run at this daemon, or nothing.
[[nodiscard]] std::optional<refusal_reason> check_origin(
    state const& s, session_row const& session, statement_origin const& origin);

// Probes holders that are quiet, and retries the reads at silent ones here.
void check_holders(state& s);

// Rolls back the session's transaction, if there is one, by closing its
// connection.
void abort_transaction_of(state& s, session_row& session);

// Ends a session that has no request in progress.
void close_idle_session(state& s, session_row_id id, refusal_reason reason);

// Removes and returns the statements that wait for a connection to a server.
std::vector<request_row_id> pop_queued(state& s, server_row& server);

// Routes the statements that wait for a connection to a server again.
void reroute_queued(state& s, server_row_id id);

// Counts a statement that waits for a rate token or for a position among the
// expected ones of the servers to which it will probably be sent, if they have
// no connection of its workspace.
void expect_connections(state& s, request_row_id id);

// Removes a statement from the expected ones of all servers.
void withdraw_expectations(state& s, request_row_id id);

// Starts to open a connection to a server. In a server-checked group the
// connection serves only the given workspace.
void start_connection(state& s,
                      server_row_id id,
                      server_row& server,
                      workspace_name const& workspace = {});

// Lets a request wait until there is a control lease.
void wait_for_lease(state& s, request_row_id id);

// Handles a statement that may not use the view: it waits for a lease, or is
// refused at once in a deployment whose clients can use another daemon
// meanwhile (serves_without_lease).
void handle_missing_lease(state& s, request_row_id id);

// Checks the control lease again before a statement is sent, since it may have
// waited after its admission: without a lease, a withdrawal of the client's key
// could have been missed. Returns whether the request now waits for a lease or
// is refused.
bool wait_if_lease_expired(state& s, request_row_id id);

// Returns whether statements for the group run at holders.
[[nodiscard]] inline bool has_holders(state const& s, group_row const& group)
{
    return s.groups_with_holders.contains(group.name);
}

[[nodiscard]] inline bool accepts_statements(server_row const& it)
{
    return !it.is_down && !it.is_leaving && !it.is_removed;
}

// Whether the guarantee of the request's route lets a replica answer it, given
// a position of the primary that is recent enough.
[[nodiscard]] inline bool accepts_replica(request_row const& it)
{
    return it.max_age && it.reads != rules::read_guarantee::latest;
}

struct connection_count
{
    std::size_t all = 0;
    std::size_t opening = 0;
    std::size_t idle = 0;
};

// Counts the connections to a server that serve the workspace.
[[nodiscard]] connection_count count_connections(
    state const& s, server_row const& server, workspace_name const& workspace);

// Dispatches statements in a server-checked group, where each connection serves
// one workspace.
void dispatch_by_workspace(state& s, server_row_id id, server_row& server);

// Called after something was sent to the server: starts the timer after which
// the server counts as silent, unless it is running.
void start_silence_timer(state& s, server_row_id id, server_row& server);

// Returns the time without an answer after which the server counts as silent.
// It is longer for a slow server, and for one that has not answered a statement
// yet: after its start all daemons connect to it at once, so its first answers
// take longer.
[[nodiscard]] duration server_silence_limit(state const& s,
                                            server_row const& server);

// Called after an answer of the server: ends its silence, and starts the timer
// again if something else is outstanding.
void mark_responsive(state& s, server_row_id id, server_row& server);

// Sends a request's statement over a connection.
void send_request(state& s, request_row_id id, connection_id connection);

// Sends a positions query alone over a connection that is not in use.
void send_positions_query(state& s,
                          connection_id connection,
                          bool verify_primary = false);

// Sets the class and target of a statement, in rules that state priorities.
void classify(state const& s,
              request_row& request,
              session_row const& session,
              rules::route_rule const& route);

// Returns what determines a statement's order in the queue of a server.
[[nodiscard]] limits::entry_terms queue_terms(state const& s,
                                              request_row const& request);

// Refuses the queued statements that can no longer be answered in time.
void shed_queued(state& s, server_row& server);

// Records when the group loses and gets a primary. Called before the change.
void record_primary_change(state& s,
                           group_row& group,
                           std::optional<server_row_id> primary);

// Lets a statement wait for a primary, or refuses it if it cannot run in time.
void wait_for_primary(state& s, request_row_id id, request_row& request);

// Whether the statement can still run in time once a primary is expected.
[[nodiscard]] bool can_wait_for_primary(state const& s,
                                        group_row const& group,
                                        request_row const& request);

// Makes room for a statement that waits for the primary; refuses one of a lower
// class for it if necessary. Returns whether there is room.
bool make_room_for_primary(state& s,
                           group_row& group,
                           request_row const& request);

// Routes the statements that wait for a primary again, by class.
void route_waiting_for_primary(state& s, group_row& group);

// Returns the time after which the client of a refused statement should try
// again, or 0 if that is not known.
[[nodiscard]] duration
retry_after(state const& s, request_row const& request, refusal_reason reason);

// Count a statement in the totals of its class.
void count_served(state& s, request_row const& request);
void count_sent(state& s, request_row const& request);
void count_refused(state& s, request_row const& request, refusal_reason reason);

// Whether the group's servers check positions and terms themselves.
[[nodiscard]] inline bool is_server_checked(group_row const& group)
{
    return group.checked_by == rules::position_check::server;
}
[[nodiscard]] bool is_server_checked(state const& s,
                                     request_row const& request);

// Stops sending to the group's primary for a while, after it has answered that
// it is not the primary.
void back_off_from_primary(state& s, group_row_id id);

// Whether commits in the group are held back, because its primary is being
// replaced.
[[nodiscard]] bool is_fenced(group_row const& group);

// Whether a success of the statement commits writes.
[[nodiscard]] bool commits(state const& s, request_row const& request);

// Whether the statement must not be sent without a control lease, because its
// commit could be acknowledged after a promotion that lacks it.
[[nodiscard]] bool needs_lease_to_commit(state const& s,
                                         request_row const& request);

// Whether the success of a commit may be relayed.
[[nodiscard]] bool may_acknowledge_commit(state const& s,
                                          request_row const& request);

// Prevents that successes of the commits outstanding in the group are relayed,
// where the group has synchronous replicas.
void fence_outstanding_commits(state& s, group_row_id group);

// Lets confirm_view() report the revision.
void schedule_confirmation(state& s, std::uint64_t revision);

// Whether a statement that was sent may have had an effect that remains once
// its connection is closed.
[[nodiscard]] bool may_have_effect(state const& s, request_row const& request);

// Routes the reads that wait for a position of the primary again.
void route_waiting_for_sample(state& s, group_row& group);

// Adds a position that the primary reported in answer to a message sent at
// queried_at.
void add_primary_sample(state& s,
                        group_row& group,
                        instant queried_at,
                        log_position position);

// Closes a connection that is lost, and retries or refuses its request.
void handle_connection_loss(state& s, connection_id id, refusal_reason reason);

// Records a server's position, and routes the reads and checks the held answers
// that wait for it.
void observe_position(state& s,
                      server_row_id id,
                      log_position position,
                      instant queried_at);

// Decides whether a server's answer is relayed, held or discarded.
void handle_answer(state& s, connection_id id, answer_received const& it);

// Whether an answer that the group's primary gave in this term may be relayed:
// the control lease is valid and the group is still in this term.
[[nodiscard]] bool may_relay_from_primary(state const& s,
                                          group_row const& group,
                                          std::uint64_t term);

// Adds a line to the decision log.
void record_decision(state& s,
                     request_row_id id,
                     decision_kind kind,
                     decision_reason reason,
                     std::optional<server_row_id> server = std::nullopt);

} // namespace basilreach::traffic::detail

#endif
