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

// The command took effect at this revision, or its effect was already present.
struct accepted
{
    std::uint64_t revision = 0;
    // Version of the rules after the command.
    std::uint64_t version = 0;

    friend auto operator<=>(accepted const&, accepted const&) = default;
};

// Another change with the same base version was accepted before.
struct conflict
{
    // The version that the winning change created, and its id.
    std::uint64_t version = 0;
    change_id winner;

    friend auto operator<=>(conflict const&, conflict const&) = default;
};

// A later verdict, announcement, term or version of the rules is in effect.
struct superseded
{
    // The sequence, term or version in effect.
    std::uint64_t current = 0;

    friend auto operator<=>(superseded const&, superseded const&) = default;
};

enum class refusal_reason : std::uint8_t
{
    // The log entry has already been applied.
    index_applied,
    // A change of the rules must carry an id.
    id_missing,
    // The id was used for a command with different content.
    id_reused,
    // The base version does not exist yet.
    unknown_version,
    // The text has errors; the details list them.
    invalid_rules,
    // The text grants withdrawn keys; the details list their digests.
    withdrawn_key,
    unknown_daemon,
    // The daemon is not marked as removed.
    daemon_not_removed,
    unknown_server,
    unknown_group,
    // The server is in another group and must first be removed from it.
    server_in_other_group,
    server_not_leaving,
    // The server is the primary, or its group is replacing its primary.
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

// A command with this id was applied before; this was its answer.
struct repeated
{
    first_answer first;

    friend auto operator<=>(repeated const&, repeated const&) = default;
};

using command_answer =
    std::variant<accepted, conflict, superseded, refused, repeated>;

} // namespace basilreach::control

#endif
