#ifndef BASILREACH_CONTROL_CONTROL_PARTS_HPP
#define BASILREACH_CONTROL_CONTROL_PARTS_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <basilreach/control/command.hpp>
#include <basilreach/control/command_answer.hpp>

namespace basilreach::control
{

struct daemon_entry
{
    data_centre_name data_centre;
    // Set by remove_daemon: the daemon's lease is no longer renewed.
    bool is_removed = false;
    // IP address and port for statements from other daemons; empty if the
    // daemon runs none for them.
    std::string address{};

    friend bool operator==(daemon_entry const&, daemon_entry const&) = default;
};

struct server_entry
{
    group_name group;
    data_centre_name data_centre;
    std::string address;
    // Sequence of the last announcement.
    std::uint64_t sequence = 0;
    bool is_leaving = false;
    // The server is no longer in the group. The entry is kept for its
    // sequences, against late announcements.
    bool is_removed = false;
    verdict health = verdict::none;
    std::uint64_t verdict_sequence = 0;
    std::uint64_t incarnation = 0;
    server_role role = server_role::unknown;

    friend bool operator==(server_entry const&, server_entry const&) = default;
};

enum class group_phase : std::uint8_t
{
    serving,
    // The term has ended: daemons stop relaying results of it.
    fencing,
    // A server has been chosen and has not yet accepted its term.
    choosing
};

struct group_entry
{
    // Term of the primary, or of the candidate while choosing.
    std::uint64_t term = 0;
    group_phase phase = group_phase::serving;
    // While serving the primary, while fencing the last primary, while choosing
    // the candidate. Absent before the first one; in a server-checked group
    // also after the primary reported another role or was removed.
    std::optional<server_name> primary;
    // Revision of the begin_fencing that last started the phase fencing.
    std::uint64_t fenced_at = 0;

    friend bool operator==(group_entry const&, group_entry const&) = default;
};

struct data_centre_entry
{
    bool in_service = true;

    friend bool operator==(data_centre_entry const&,
                           data_centre_entry const&) = default;
};

// A command that had an id, and the answer to it.
struct history_entry
{
    std::uint64_t revision = 0;
    change_id id;
    std::string author;
    // Distinguishes a resent command from a different one with the same id.
    std::uint64_t content_hash = 0;
    first_answer answer;
    // Whether the command created a new version of the rules.
    bool made_version = false;

    friend bool operator==(history_entry const&,
                           history_entry const&) = default;
};

// Number of history entries that are kept: about one day at 19,000 changes a
// day. Older ones can be dropped: a change of the rules that is sent again
// later conflicts by its base version, and other commands may be applied again.
inline constexpr std::size_t history_limit = 20'000;

// The control state without the parsed rules, which result from the text. This
// value is encoded as the snapshot.
struct control_parts
{
    std::uint64_t revision = 0;
    std::uint64_t rules_version = 0;
    // Id of the change that created the version.
    change_id rules_id;
    std::string rules_text;
    std::set<key_digest> withdrawn;
    std::map<daemon_name, daemon_entry> daemons;
    std::map<server_name, server_entry> servers;
    std::map<group_name, group_entry> groups;
    // Oldest first.
    std::deque<history_entry> history;
    // The data centres that have been out of service. Others are in service.
    std::map<data_centre_name, data_centre_entry> data_centres;

    friend bool operator==(control_parts const&,
                           control_parts const&) = default;
};

} // namespace basilreach::control

#endif
