#ifndef BASILREACH_MESSAGES_MESSAGE_HPP
#define BASILREACH_MESSAGES_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <basilreach/base/name.hpp>
#include <basilreach/consensus/peer_message.hpp>
#include <basilreach/control/command.hpp>
#include <basilreach/control/control_state.hpp>
#include <basilreach/control/lease.hpp>
#include <basilreach/control/reach_report.hpp>
#include <basilreach/limits/share_messages.hpp>
#include <basilreach/limits/token_messages.hpp>

namespace basilreach::messages
{

// Asks a control host for the state after this revision, now and after each
// change.
struct subscribe
{
    daemon_name daemon;
    std::uint64_t revision = 0;

    friend bool operator==(subscribe const&, subscribe const&) = default;
};

struct indexed_command
{
    std::uint64_t index = 0;
    control::command entry;

    friend bool operator==(indexed_command const&,
                           indexed_command const&) = default;
};

// Commands that follow the receiver's revision, or a whole snapshot for a
// receiver that is too far behind.
struct state_update
{
    // The revision that the commands follow.
    std::uint64_t after = 0;
    std::vector<indexed_command> commands;
    std::optional<control::control_parts> snapshot;

    friend bool operator==(state_update const&, state_update const&) = default;
};

// The sender does not lead. The name is empty when it knows no leader.
struct not_leader
{
    daemon_name leader;

    friend bool operator==(not_leader const&, not_leader const&) = default;
};

// A command of the admin console for the leader. The id is the sender's.
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

// The answer to a command of the admin console. It is an error when sqlstate
// is not empty, and rows with a command tag otherwise.
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

// Requests of one daemon for several workspaces. What they share is sent once;
// holder, incarnation and time of the single requests are not sent.
struct token_requests
{
    daemon_name holder;
    std::uint64_t incarnation = 0;
    // When all of them were sent, by the sender's clock.
    instant sent;
    std::vector<limits::token_request> requests;

    friend bool operator==(token_requests const&,
                           token_requests const&) = default;
};

// The grants to one daemon for several workspaces, in the same way.
struct token_grants
{
    daemon_name holder;
    std::uint64_t incarnation = 0;
    // When all of them were sent, by the sender's clock.
    instant sent;
    std::vector<limits::token_grant> grants;

    friend bool operator==(token_grants const&, token_grants const&) = default;
};

// Gives a request or grant of a batch what the batch states once for all.
template <class Batch, class Item>
void copy_batch_fields(Batch const& from, Item& to)
{
    to.holder = from.holder;
    to.incarnation = from.incarnation;
    to.sent = from.sent;
}

// A control host that is no member asks the leader to add it. A host that does
// not lead passes the message on once.
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
                             state_update,
                             not_leader,
                             admin_request,
                             admin_reply,
                             token_requests,
                             token_grants,
                             limits::share_request,
                             limits::share_grant,
                             consensus::peer_message,
                             join_request,
                             control::reach_report>;

} // namespace basilreach::messages

#endif
