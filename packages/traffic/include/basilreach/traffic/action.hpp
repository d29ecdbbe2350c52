#ifndef BASILREACH_TRAFFIC_ACTION_HPP
#define BASILREACH_TRAFFIC_ACTION_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/log_position.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/limits/token_messages.hpp>
#include <basilreach/rules/rule_set.hpp>
#include <basilreach/traffic/event.hpp>
#include <basilreach/traffic/refusal.hpp>
#include <basilreach/traffic/statement.hpp>

namespace basilreach::traffic
{

// Opens a connection to a backend server.
struct open_connection
{
    connection_id connection;
    server_name server;
    std::string address;
    group_name group{};
    // The workspace for whose statement the connection is opened.
    workspace_name workspace{};
    // On a read-only connection, a write that was declared as a read fails at
    // the server.
    bool read_only = false;
    // The daemon that runs the statement, if it is forwarded; `server` is its
    // name then.
    std::optional<daemon_name> holder{};

    friend bool operator==(open_connection const&,
                           open_connection const&) = default;
};

// Closes a connection; events of it are ignored from now on.
struct close_connection
{
    connection_id connection;

    friend bool operator==(close_connection const&,
                           close_connection const&) = default;
};

// The transaction control that is sent around a statement in a server-checked
// group.
enum class transaction_wrapping : std::uint8_t
{
    none,
    // The statement is the first of a transaction, which is opened before it.
    begin_read_write,
    begin_read_only,
    // The proxy opens a transaction for the statement alone, which the server
    // rejects unless it is the primary.
    primary_check
};

// What a holder is told of a statement that is forwarded to it.
struct forward_details
{
    // Number of the statement within the traffic thread.
    std::uint64_t request = 0;
    // The revision of the control view by which the holder was chosen.
    std::uint64_t revision = 0;
    // The group in which the statement is to run, and the session's position in
    // it.
    group_name group;
    std::optional<log_position> position;
    duration time_left{};
    duration time_since_arrival{};
    statement_verb verb = statement_verb::other;
    transaction_opening opens = transaction_opening::none;

    friend bool operator==(forward_details const&,
                           forward_details const&) = default;
};

// Sends the session's statement. The answer includes the server's position, for
// which a positions query follows where the protocol needs one.
struct send_statement
{
    session_id session;
    connection_id connection;
    transaction_wrapping wrapping = transaction_wrapping::none;
    // The position that the server must have reached to run the statement.
    std::optional<log_position> after{};
    // Set if the connection leads to a holder.
    std::optional<forward_details> forwarding{};

    friend bool operator==(send_statement const&,
                           send_statement const&) = default;
};

// Sends a positions query without a statement.
struct query_position
{
    connection_id connection;
    // The server must also show that it is the primary of its group.
    bool verify_primary = false;

    friend bool operator==(query_position const&,
                           query_position const&) = default;
};

// Relays the stored answer to the client.
struct relay_answer
{
    session_id session;
    // The session's new position in one group, when it changed.
    std::optional<group_position> position;
    bool is_read = false;

    friend bool operator==(relay_answer const&, relay_answer const&) = default;
};

// Replies to the session's statement with an error.
struct refuse
{
    session_id session;
    refusal_outcome outcome = refusal_outcome::not_run;
    refusal_reason reason = refusal_reason::deadline;
    // The client's connection is closed after the error.
    bool close_session = false;
    // Time after which the client should try again, or 0 if it is not known.
    duration retry_after{};
    // Time during which further statements of the workspace would be refused
    // too, or 0 if it is not known.
    duration rate_wait{};

    friend bool operator==(refuse const&, refuse const&) = default;
};

// Closes the client's connection while no statement is in progress.
struct end_session
{
    session_id session;
    refusal_reason reason = refusal_reason::draining;

    friend bool operator==(end_session const&, end_session const&) = default;
};

// Reports to the control thread that a server has become silent or answers
// again. The report is repeated while the server stays silent.
struct server_reachability
{
    server_name server;
    bool is_reachable = false;

    friend bool operator==(server_reachability const&,
                           server_reachability const&) = default;
};

// Reports to the control thread how many connections to a server this thread
// has open or is opening, and how many it could use.
struct connections_used
{
    server_name server;
    std::uint32_t open = 0;
    std::uint32_t wanted = 0;

    friend bool operator==(connections_used const&,
                           connections_used const&) = default;
};

// Reports that no more answers of a group's term are relayed. Precedes the
// report that the view which ended the term is adopted.
struct term_ended
{
    group_name group;
    // The highest position of an acknowledged write, if there is one.
    std::optional<log_position> acknowledged;

    friend bool operator==(term_ended const&, term_ended const&) = default;
};

// Reports to the control thread that a control view is in effect in this
// thread.
struct control_view_adopted
{
    std::uint64_t revision = 0;

    friend bool operator==(control_view_adopted const&,
                           control_view_adopted const&) = default;
};

enum class decision_kind : std::uint8_t
{
    route,
    wait,
    hold,
    relay,
    refuse
};

// The reason for a routing decision, for the decision log.
enum class decision_reason : std::uint8_t
{
    pinned_transaction,
    primary_for_write,
    primary_without_position,
    primary_no_replica_qualifies,
    least_loaded_replica,
    no_primary,
    no_server,
    position_not_reached,
    tokens_missing,
    lease_missing,
    majority_reached,
    read_answer,
    // Another daemon holds the workspace.
    workspace_holder,
    refused
};

// One line of the decision log.
struct log_decision
{
    session_id session;
    // Number of the statement within the traffic thread.
    std::uint64_t request = 0;
    decision_kind kind = decision_kind::route;
    decision_reason reason = decision_reason::refused;
    std::optional<server_name> server;
    // Reason and outcome, for the kind `refuse`.
    std::optional<refuse> refusal{};
    // The statement's class, in rules that state priorities.
    std::optional<rules::priority> priority{};

    friend bool operator==(log_decision const&, log_decision const&) = default;
};

// Notifies the session that its transaction was lost while no statement was in
// progress.
struct abort_transaction
{
    session_id session;

    friend bool operator==(abort_transaction const&,
                           abort_transaction const&) = default;
};

// Asks a daemon at which statements are outstanding whether it still answers.
struct probe_holder
{
    daemon_name holder;

    friend bool operator==(probe_holder const&, probe_holder const&) = default;
};

using action = std::variant<open_connection,
                            close_connection,
                            send_statement,
                            query_position,
                            relay_answer,
                            refuse,
                            end_session,
                            limits::token_request,
                            connections_used,
                            server_reachability,
                            term_ended,
                            control_view_adopted,
                            log_decision,
                            abort_transaction,
                            probe_holder>;

} // namespace basilreach::traffic

#endif
