#ifndef BASILREACH_MESSAGES_MESSAGE_HPP
#define BASILREACH_MESSAGES_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include <basilreach/base/name.hpp>
#include <basilreach/consensus/peer_message.hpp>
#include <basilreach/control/command.hpp>
#include <basilreach/control/control_state.hpp>
#include <basilreach/control/lease.hpp>
#include <basilreach/control/reach_report.hpp>
#include <basilreach/control/state_update.hpp>
#include <basilreach/limits/contact_messages.hpp>
#include <basilreach/limits/share_messages.hpp>
#include <basilreach/limits/token_messages.hpp>

namespace basilreach::messages
{

// Asks a control host for one update of the control state, now or as soon as
// the state is newer than the sender's. The sender asks again when it has
// handled the update, so that at most one is on its way and a slow daemon skips
// what a later change replaces.
struct subscribe
{
    daemon_name daemon;
    // The revision and the version of the rules that the sender has.
    std::uint64_t revision = 0;
    std::uint64_t rules_version = 0;
    // Updates that the sender has handled. A request that repeats the number is
    // a copy of an earlier one.
    std::uint64_t updates_handled = 0;

    friend bool operator==(subscribe const&, subscribe const&) = default;
};

// The sender is not the leader. The name of the leader is empty if the sender
// does not know it.
struct not_leader
{
    daemon_name leader;

    friend bool operator==(not_leader const&, not_leader const&) = default;
};

// A command of the admin console, sent to the leader. The sender chooses the
// id, and the reply carries the same one.
struct admin_request
{
    std::uint64_t id = 0;
    std::string text;

    friend bool operator==(admin_request const&,
                           admin_request const&) = default;
};

struct admin_row
{
    std::vector<std::string> values;

    friend bool operator==(admin_row const&, admin_row const&) = default;
};

// The reply to a command of the admin console: an error if sqlstate is not
// empty, and otherwise rows with a command tag.
struct admin_reply
{
    std::uint64_t id = 0;
    std::string sqlstate;
    std::string message;
    std::string tag;
    std::vector<std::string> columns;
    std::vector<admin_row> rows;

    friend bool operator==(admin_reply const&, admin_reply const&) = default;
};

// Requests of one daemon for rate tokens of several workspaces and for
// connection shares of several servers. Holder, incarnation and time of sending
// are sent once for the batch and not for each request; the receiver copies
// them with copy_batch_fields(). A message for each request used up the
// processor time of the leader of 195 daemons.
struct limit_requests
{
    daemon_name holder;
    std::uint64_t incarnation = 0;
    // When the batch was sent, by the sender's clock.
    instant sent;
    std::vector<limits::token_request> tokens;
    std::optional<limits::contact_report> contact;
    std::vector<limits::share_request> shares;
    // How many of the requests follow an unanswered one for the same workspace
    // or server.
    std::uint32_t repeated = 0;
    // Greater in each batch of an incarnation. The sender sends no other batch
    // before the leader has answered this one.
    std::uint64_t number = 0;
    // Stands for requests for all shares that `shares` does not mention.
    std::optional<limits::share_renewal> renewal;

    friend bool operator==(limit_requests const&,
                           limit_requests const&) = default;
};

// Grants of tokens and shares to one daemon. The common fields are sent once,
// as in limit_requests.
struct limit_grants
{
    daemon_name holder;
    std::uint64_t incarnation = 0;
    // When the batch was sent, by the sender's clock.
    instant sent;
    std::vector<limits::token_grant> tokens;
    std::optional<limits::contact_grant> contact;
    std::vector<limits::share_grant> shares;
    // The number of the last batch of requests that the leader has handled, or
    // 0 if no batch was handled since the last message.
    std::uint64_t answered = 0;
    std::optional<limits::share_renewal_grant> renewal;

    friend bool operator==(limit_grants const&, limit_grants const&) = default;
};

// Copies the fields that a batch holds once for all its requests or grants to
// one of them.
template <class Batch, class Item>
void copy_batch_fields(Batch const& from, Item& to)
{
    to.holder = from.holder;
    to.incarnation = from.incarnation;
    if constexpr (requires { to.sent; })
        to.sent = from.sent;
}

// A control host without contact to a leader requests to be added to the
// consensus group, of which it may not be a member. A host that is not the
// leader forwards the message to the leader, once.
struct join_request
{
    consensus::host_name host;
    bool is_forwarded = false;

    friend bool operator==(join_request const&, join_request const&) = default;
};

// ---- Statements that a daemon runs for another, the holder ----

// A variable that a session has set.
struct session_variable
{
    std::string name;
    std::string value;

    friend bool operator==(session_variable const&,
                           session_variable const&) = default;
};

// What a prepared statement runs.
struct forwarded_shape
{
    bool writes = false;
    std::string shape;

    friend bool operator==(forwarded_shape const&,
                           forwarded_shape const&) = default;
};

// A statement for the holder to run. It carries all that the holder needs to
// know of the session, so that the holder keeps nothing between transactions.
// Enumerations are numbers here: their types belong to the packages traffic and
// daemon.
struct forward_statement
{
    // The sender's numbers. The answer repeats them.
    std::uint64_t session = 0;
    std::uint64_t request = 0;
    // The revision of the control view by which the sender chose the holder.
    std::uint64_t revision = 0;
    route_name route;
    // The group of the route at the sender, to which the position belongs.
    group_name group;
    workspace_name workspace;
    // The digest of the client's key. The key itself is not sent.
    std::optional<rules::key_digest> key;
    // The session's position in the group.
    std::optional<log_position> position;
    duration time_left{};
    duration time_since_arrival{};
    std::uint8_t verb = 0;
    std::uint8_t opening = 0;
    // The client's command.
    std::uint8_t kind = 0;
    std::string id;
    std::string text;
    std::string name;
    std::string value;
    std::vector<session_variable> variables;
    // What the command runs, if it runs a prepared statement.
    std::optional<forwarded_shape> shape;

    friend bool operator==(forward_statement const&,
                           forward_statement const&) = default;
};

struct forward_answer
{
    std::uint64_t session = 0;
    std::uint64_t request = 0;
    std::vector<std::string> rows;
    bool is_error = false;
    std::uint8_t error = 0;
    // The server's proof, or the detail of the error.
    std::string text;
    std::uint8_t status = 0;
    std::optional<log_position> position;

    friend bool operator==(forward_answer const&,
                           forward_answer const&) = default;
};

// The holder refuses the statement. With session 0, the holder has begun a
// planned stop and takes no more statements.
struct forward_refusal
{
    std::uint64_t session = 0;
    std::uint64_t request = 0;
    std::uint8_t outcome = 0;
    std::uint8_t reason = 0;
    bool ends_session = false;
    // Time during which the sender refuses statements of the workspace itself.
    duration retry_after{};

    friend bool operator==(forward_refusal const&,
                           forward_refusal const&) = default;
};

// The client has left, or its transaction is to be rolled back.
struct forward_end
{
    std::uint64_t session = 0;

    friend bool operator==(forward_end const&, forward_end const&) = default;
};

// The session's transaction was lost while no statement was in progress.
struct forward_lost
{
    std::uint64_t session = 0;

    friend bool operator==(forward_lost const&, forward_lost const&) = default;
};

// Asks whether the holder still answers.
struct forward_probe
{
    std::uint64_t number = 0;

    friend bool operator==(forward_probe const&,
                           forward_probe const&) = default;
};

struct forward_probe_answer
{
    std::uint64_t number = 0;

    friend bool operator==(forward_probe_answer const&,
                           forward_probe_answer const&) = default;
};

using message = std::variant<control::lease_renewal,
                             control::lease_returned,
                             control::grant_lease,
                             subscribe,
                             control::state_update,
                             not_leader,
                             admin_request,
                             admin_reply,
                             limit_requests,
                             limit_grants,
                             consensus::peer_message,
                             join_request,
                             control::reach_report,
                             forward_statement,
                             forward_answer,
                             forward_refusal,
                             forward_end,
                             forward_lost,
                             forward_probe,
                             forward_probe_answer>;

namespace detail
{

template <class Message, class... Kinds>
constexpr std::size_t index_among(std::variant<Kinds...> const* /*unused*/)
{
    std::size_t n = 0;
    (void)((std::is_same_v<Message, Kinds> || (++n, false)) || ...);
    return n;
}

} // namespace detail

// The index of a kind of message among the alternatives of `message`.
template <class Message>
inline constexpr std::size_t kind_of =
    detail::index_among<Message>(static_cast<message const*>(nullptr));

} // namespace basilreach::messages

#endif
