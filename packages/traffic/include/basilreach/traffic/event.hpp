#ifndef BASILREACH_TRAFFIC_EVENT_HPP
#define BASILREACH_TRAFFIC_EVENT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/log_position.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/limits/token_messages.hpp>
#include <basilreach/traffic/control_view.hpp>
#include <basilreach/traffic/refusal.hpp>
#include <basilreach/traffic/statement.hpp>

namespace basilreach::traffic
{

// Identifies a client's session within a traffic thread. The front end chooses
// the number, so it can add its own data for the session before the engine
// handles the event.
enum class session_id : std::uint64_t
{
};

// Identifies a connection to a backend server within a traffic thread.
using connection_id = row_id;

// A client has been authenticated and its route belongs to this thread.
struct session_opened
{
    session_id session;
    session_name name;
    route_name route;
    // The workspace whose rate limit applies to the statements.
    workspace_name workspace;
    // The digest of the client's key; empty on an open route.
    std::optional<key_digest> key;
    // The positions in the client's session token.
    group_positions positions;
    bool read_only = false;
    // Another daemon forwards the session's statements. They run here, and are
    // never forwarded again.
    bool is_forwarded = false;

    friend bool operator==(session_opened const&,
                           session_opened const&) = default;
};

// The client's connection has ended. Its statement in progress is dropped.
struct session_closed
{
    session_id session;

    friend bool operator==(session_closed const&,
                           session_closed const&) = default;
};

// The client presented a session token during the session.
struct session_token_presented
{
    session_id session;
    group_positions positions;

    friend bool operator==(session_token_presented const&,
                           session_token_presented const&) = default;
};

// What the sender of a forwarded statement has told of it.
struct statement_origin
{
    // The revision of the sender's control view.
    std::uint64_t revision = 0;
    // The group of the route at the sender.
    group_name group;
    duration time_left{};
    duration time_since_arrival{};

    friend bool operator==(statement_origin const&,
                           statement_origin const&) = default;
};

// A client sent a statement. A session has at most one statement in progress;
// the front end stores its text.
struct statement_received
{
    session_id session;
    statement_verb verb = statement_verb::other;
    // Whether the statement belongs to a transaction that is open at a server,
    // as far as the client's connection knows, or is the first one of a
    // transaction that is not. Protocols that end a session with its lost
    // transaction need not set it.
    transaction_opening opens = transaction_opening::none;
    // Set for a statement of a forwarded session.
    std::optional<statement_origin> origin{};

    friend bool operator==(statement_received const&,
                           statement_received const&) = default;
};

// A connection to a backend server is ready for use.
struct connection_opened
{
    connection_id connection;

    friend bool operator==(connection_opened const&,
                           connection_opened const&) = default;
};

// A connection failed or was closed by the other side.
struct connection_failed
{
    connection_id connection;

    friend bool operator==(connection_failed const&,
                           connection_failed const&) = default;
};

// The transaction status that a backend server reports with an answer.
enum class transaction_status : std::uint8_t
{
    idle,
    in_transaction,
    failed_transaction
};

// Whether an answer proves that the statement did not run, and why it did not.
enum class answer_proof : std::uint8_t
{
    none,
    // The statement did not run: the server is overloaded.
    not_run_busy,
    // The statement did not run: the server has not reached the required
    // position.
    not_run_behind,
    // The statement did not run: the server is not the primary.
    not_run_not_primary
};

// A complete answer to a statement has arrived, with the server's position.
struct answer_received
{
    connection_id connection;
    // The server reported an error, whose effect is a rollback.
    bool is_error = false;
    transaction_status status = transaction_status::idle;
    // Position of the server after the statement, absent inside a transaction.
    std::optional<log_position> position;
    answer_proof proof = answer_proof::none;
    // The server was the primary after the statement was sent.
    bool is_from_primary = false;

    friend bool operator==(answer_received const&,
                           answer_received const&) = default;
};

// A backend server answered a positions query that was sent without a
// statement.
struct position_observed
{
    connection_id connection;
    log_position position;
    // The server has shown that it was the primary after the query was sent.
    bool is_from_primary = false;

    friend bool operator==(position_observed const&,
                           position_observed const&) = default;
};

// The control thread published a new control view.
struct control_changed
{
    control_view_ptr view;

    friend bool operator==(control_changed const&,
                           control_changed const&) = default;
};

// The daemon's control lease was renewed or released.
struct lease_changed
{
    instant valid_until;

    friend bool operator==(lease_changed const&,
                           lease_changed const&) = default;
};

// Whether the daemon can exchange messages with the leader has changed. Without
// a lease, a daemon that can may lack changes that are in force; one that
// cannot is partitioned, and goes on with the last view.
struct leader_reach_changed
{
    bool is_reachable = false;

    friend bool operator==(leader_reach_changed const&,
                           leader_reach_changed const&) = default;
};

// The number of connections that this thread may have open to a server changed.
struct connection_share_changed
{
    server_name server;
    std::uint32_t connections = 0;
    // The former share has expired: connections beyond the new one are closed
    // at once, and not only when their statement or transaction has ended.
    bool is_expired = false;

    friend bool operator==(connection_share_changed const&,
                           connection_share_changed const&) = default;
};

// What a planned stop ends, in this order.
enum class drain_stage : std::uint8_t
{
    none,
    // Idle sessions end at once, others with their statement or transaction.
    sessions,
    // The next statement of an open transaction is refused, and the transaction
    // is rolled back.
    transactions,
    // Statements in progress are refused.
    statements
};

// A planned stop has reached a stage. The traffic thread accepts no more
// sessions.
struct drain_advanced
{
    drain_stage stage = drain_stage::sessions;

    friend bool operator==(drain_advanced const&,
                           drain_advanced const&) = default;
};

// A statement that was forwarded to a holder was refused there, or did not
// reach it.
struct forward_refused
{
    connection_id connection;
    refusal_outcome outcome = refusal_outcome::not_run;
    refusal_reason reason = refusal_reason::connection_lost;
    // The statement was not handed to the link to the holder.
    bool is_undelivered = false;
    bool ends_session = false;
    // Time during which statements of the workspace are refused without asking
    // the holder.
    duration retry_after{};

    friend bool operator==(forward_refused const&,
                           forward_refused const&) = default;
};

// Anything was received from a holder other than an answer or a refusal.
struct holder_answered
{
    daemon_name holder;

    friend bool operator==(holder_answered const&,
                           holder_answered const&) = default;
};

// The link to a holder ended or could not be opened, or the holder has begun a
// planned stop.
struct holder_failed
{
    daemon_name holder;
    bool is_stopping = false;

    friend bool operator==(holder_failed const&,
                           holder_failed const&) = default;
};

using event = std::variant<session_opened,
                           session_closed,
                           session_token_presented,
                           statement_received,
                           connection_opened,
                           connection_failed,
                           answer_received,
                           position_observed,
                           limits::token_grant,
                           control_changed,
                           lease_changed,
                           leader_reach_changed,
                           connection_share_changed,
                           drain_advanced,
                           forward_refused,
                           holder_answered,
                           holder_failed>;

} // namespace basilreach::traffic

#endif
