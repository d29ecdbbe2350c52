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
                             control::reach_report>;

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
