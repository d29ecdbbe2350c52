#ifndef BASILREACH_CONTROL_COMMAND_ANSWER_HPP
#define BASILREACH_CONTROL_COMMAND_ANSWER_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <basilreach/control/command.hpp>

namespace basilreach::control
{

// The command took effect at this revision, or was in effect already.
struct accepted
{
    std::uint64_t revision = 0;
    // Version of the rules after the command.
    std::uint64_t version = 0;

    friend auto operator<=>(accepted const&, accepted const&) = default;
};

// Another change was accepted under the same base version.
struct conflict
{
    // The version that the winning change made and its id.
    std::uint64_t version = 0;
    change_id winner;

    friend auto operator<=>(conflict const&, conflict const&) = default;
};

// A later verdict, announcement or term is already known.
struct superseded
{
    // The sequence or term in effect.
    std::uint64_t current = 0;

    friend auto operator<=>(superseded const&, superseded const&) = default;
};

enum class refusal_reason : std::uint8_t
{
    // The log entry was applied before.
    index_applied,
    // A change of the rules must carry an id.
    id_missing,
    // The id was used for a command with another content.
    id_reused,
    // The base version lies in the future.
    unknown_version,
    // The text has errors; the details name them.
    invalid_rules,
    // The text grants a withdrawn key; the details name the digests.
    withdrawn_key,
    unknown_daemon,
    // The daemon was not removed before.
    daemon_not_removed,
    unknown_server,
    unknown_group,
    // The server belongs to another group until it is removed there.
    server_in_other_group,
    server_not_leaving,
    // The server is the primary, or the group is changing its primary.
    server_in_use,
    server_down,
    server_leaving,
    // The group's phase does not allow the command.
    wrong_phase,
    // A verdict must be up or down.
    invalid_verdict
};

// The command did not take effect.
struct refused
{
    refusal_reason reason = refusal_reason::index_applied;
    std::vector<std::string> details;

    friend auto operator<=>(refused const&, refused const&) = default;
};

using first_answer = std::variant<accepted, conflict, superseded, refused>;

// The command was sent before; this is the answer it got then.
struct repeated
{
    first_answer first;

    friend auto operator<=>(repeated const&, repeated const&) = default;
};

using command_answer =
    std::variant<accepted, conflict, superseded, refused, repeated>;

} // namespace basilreach::control

#endif
