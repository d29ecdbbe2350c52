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
#include <basilreach/limits/concurrency_window.hpp>
#include <basilreach/limits/connection_pacer.hpp>
#include <basilreach/limits/fair_queue.hpp>
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
    bool ending = false;
    std::optional<refusal_reason> end_reason;
    std::optional<log_position> position;
    bool has_written = false;
    std::optional<transaction> in_transaction;
    std::optional<request_row_id> request;
};

enum class request_state : std::uint8_t
{
    arrived,
    waiting_lease,
    waiting_tokens,
    waiting_primary,
    waiting_position,
    // For a position of the primary that is recent enough.
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
    bool paid = false;
    // When a token was spent for it.
    instant paid_at;
    // A server may have run it, even if it waits for another one by now.
    bool was_sent = false;
    // Set once the wait for a replica's position has ended without success.
    bool waited = false;
    group_row_id group;
    std::optional<std::chrono::nanoseconds> max_age;
    rules::read_guarantee reads = rules::read_guarantee::session;
    instant arrived_at;
    instant deadline;
    // The position that the server must have reached, in groups whose servers
    // check it.
    std::optional<log_position> after;
    std::uint32_t tries = 0;
    server_row_id server;
    connection_id connection;
    bool at_primary = false;
    // The entry in the server's queue.
    std::optional<row_id> queue_entry;
    // Servers at which a connection could not be opened for this request.
    std::vector<server_row_id> excluded;
    // The position to which the answer brings the session.
    std::optional<log_position> answer_position;
};

enum class connection_state : std::uint8_t
{
    opening,
    idle,
    // A statement's answer is outstanding.
    busy,
    // A positions query alone is outstanding.
    asking,
    // Bound to a transaction that has no statement in progress.
    pinned
};

struct connection_row
{
    server_row_id server;
    connection_state state = connection_state::opening;
    bool read_only = false;
    // Servers that check positions are told the workspace when a connection
    // opens, so that it serves this workspace only.
    workspace_name workspace;
    std::optional<request_row_id> request;
    // The session whose transaction the connection is bound to.
    std::optional<session_row_id> pinned_by;
    // When the last message was sent, and the last statement.
    instant sent_at;
    instant used_at;
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
    std::optional<log_position> position;
    std::uint32_t share = 0;
    std::uint32_t reported_open = 0;
    std::uint32_t reported_wanted = 0;
    std::vector<connection_id> connections;
    std::vector<connection_id> idle;
    // Statements that wait for a connection, served fairly among workspaces.
    // Behind a pointer, because its entries must not move with the row.
    std::unique_ptr<limits::fair_queue<request_row_id>> queue;
    std::uint32_t opening = 0;
    // Statements sent to the server and not answered.
    std::uint32_t outstanding = 0;
    bool is_asked = false;
    instant next_ask;
    instant next_open;
    // Until then no idle connection makes room for one of another workspace.
    instant next_eviction;
    // Since when nothing that was sent has been answered, and whether that has
    // been reported.
    std::optional<instant> silent_since;
    bool is_reported_silent = false;
    // When the next statement may try a silent server.
    instant next_trial;
    limits::concurrency_window window;
    limits::connection_pacer pacer;
};

// What the primary's log position was at or after a point in time.
struct primary_sample
{
    instant asked_at;
    log_position position;
};

struct group_row
{
    group_name name;
    std::uint64_t term = 0;
    std::optional<server_row_id> primary;
    std::uint32_t slots = 3;
    rules::position_check checked_by = rules::position_check::proxy;
    // Until then nothing is sent to the primary, which said that it is none.
    instant primary_refused_until;
    std::vector<server_row_id> servers;
    std::deque<request_row_id> waiting_primary;
    std::multimap<log_position, request_row_id> waiting_position;
    std::multimap<log_position, request_row_id> held;
    std::deque<primary_sample> samples;
    // Reads that wait for a sample; rows that are gone are skipped.
    std::deque<request_row_id> waiting_sample;
    // The primary is to be asked for its position, or has been asked.
    bool wants_probe = false;
    bool is_probing = false;
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
    server_reconnect,
    primary_retry,
    server_silence
};

struct timer_key
{
    timer_kind kind;
    row_id row;

    friend auto operator<=>(timer_key const&, timer_key const&) = default;
};

// The tables of one traffic thread and the lists of rows that have changed.
// Systems work on those lists, so that their cost follows the changes.
struct state
{
    explicit state(engine_settings it)
        : settings(std::move(it)), tokens({}, settings.holder, 1),
          retry_budget(settings.retry_limit)
    {
    }

    engine_settings settings;
    instant now;
    instant lease_until;
    bool draining = false;
    control_view_ptr view;

    table<session_row> sessions;
    table<request_row> requests;
    table<connection_row> connections;
    table<server_row> servers;
    table<group_row> groups;
    // Tokens of the workspaces' rates, and the statements that wait for them.
    limits::rate_limiter tokens;
    std::map<workspace_name, std::deque<request_row_id>> waiting_tokens;

    std::unordered_map<std::uint64_t, session_row_id> session_by_id;
    std::map<key_digest, std::set<session_row_id>> sessions_by_key;
    std::map<server_name, server_row_id> server_by_name;
    std::map<group_name, group_row_id> group_by_name;
    std::deque<request_row_id> waiting_lease;

    // Work lists, in the order in which the systems take them.
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
    // Second tries that are left; they grow with the answers.
    double retry_budget = 0;
    std::uint64_t last_request_number = 0;

    [[nodiscard]] bool has_lease() const
    {
        return now < lease_until;
    }
};

// Brings the tables in line with a view; runs when its event is handled.
void adopt_control(state& s, control_view_ptr const& view);

// Systems, in the order in which a tick runs them.
void expire_deadlines(state& s);
void admit_requests(state& s);
void route_requests(state& s);
void poll_positions(state& s);
void dispatch_requests(state& s);
void release_held_answers(state& s);
void ask_for_tokens(state& s);
void report_connections(state& s);

// Answers a request's caller with an error and removes the request.
void refuse_request(state& s,
                    request_row_id id,
                    refusal_outcome outcome,
                    refusal_reason reason,
                    bool close_session = false);

// Passes a request's answer on to its caller and removes the request.
void relay_request(state& s, request_row_id id);

// Removes a request from all lists and tables, without an answer.
void remove_request(state& s, request_row_id id);

// Closes a connection. A request whose statement was sent over it is left for
// the caller of this function.
void drop_connection(state& s, connection_id id);

// Returns a connection to the idle ones of its server.
void make_idle(state& s, connection_id id);

// Ends a session that has no request in progress.
void close_idle_session(state& s, session_row_id id, refusal_reason reason);

// Takes the statements that wait for a connection to a server.
std::vector<request_row_id> take_waiting(state& s, server_row& server);

// Routes the statements that wait for a connection to a server anew.
void requeue_waiting(state& s, server_row_id id);

// Opens a connection to a server, for one workspace where the server is told
// the workspace.
void open_one(state& s,
              server_row_id id,
              server_row& server,
              workspace_name const& workspace = {});

// A statement may have waited since its admission; its key must still be
// certain at the moment it is sent. Returns whether it waits for a lease now.
bool lost_lease(state& s, request_row_id id);

struct connection_count
{
    std::size_t all = 0;
    std::size_t opening = 0;
    std::size_t idle = 0;
};

// Counts the connections to a server that serve the workspace.
[[nodiscard]] connection_count count_connections(
    state const& s, server_row const& server, workspace_name const& workspace);

// Matches statements with connections of their workspaces.
void match_by_workspace(state& s, server_row_id id, server_row& server);

// Notes that something was sent to the server, or that it has answered.
void note_sent(state& s, server_row_id id, server_row& server);
void note_answered(state& s, server_row_id id, server_row& server);

// Sends a request's statement over a connection.
void send_request(state& s, request_row_id id, connection_id connection);

// Sends a positions query alone over a connection that is not in use.
void ask_over(state& s, connection_id connection, bool verify_primary = false);

// Whether the group's servers check positions and terms themselves.
[[nodiscard]] inline bool is_server_checked(group_row const& group)
{
    return group.checked_by == rules::position_check::server;
}
[[nodiscard]] bool is_server_checked(state const& s,
                                     request_row const& request);

// Sends nothing to a primary for a while that has said that it is none.
void avoid_primary(state& s, group_row_id id);

// Whether a statement that was sent may have had an effect that lasts.
[[nodiscard]] bool may_have_effect(state const& s, request_row const& request);

// Routes the reads that wait for a position of the primary anew.
void route_waiting_for_sample(state& s, group_row& group);

// Adds a position of the primary that was asked for at a point in time.
void add_primary_sample(state& s,
                        group_row& group,
                        instant asked_at,
                        log_position position);

// Handles the loss of a connection, with what that means for its request.
void lose_connection(state& s, connection_id id, refusal_reason reason);

// Records a server's position and wakes what waits for it.
void observe_position(state& s,
                      server_row_id id,
                      log_position position,
                      instant asked_at);

// Decides what happens to an answer that a server has given.
void settle_answer(state& s, connection_id id, answer_received const& it);

// Whether a result that the group's primary gave in this term may be relayed
// now: the control lease is valid and the term is still the group's.
[[nodiscard]] bool may_relay_from_primary(state const& s,
                                          group_row const& group,
                                          std::uint64_t term);

// Adds a line to the decision log.
void note(state& s,
          request_row_id id,
          decision_kind kind,
          decision_reason reason,
          std::optional<server_row_id> server = std::nullopt);

} // namespace basilreach::traffic::detail

#endif
