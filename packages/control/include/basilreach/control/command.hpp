#ifndef BASILREACH_CONTROL_COMMAND_HPP
#define BASILREACH_CONTROL_COMMAND_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include <basilreach/base/name.hpp>
#include <basilreach/rules/rule_set.hpp>

namespace basilreach::control
{

using rules::key_digest;

// Idempotency key of a command, chosen by its sender. A command that is sent
// again with the same id gets the first answer.
using change_id = name<struct change_tag>;

// The last health verdict on a server: from the external health check or, in a
// server-checked group, from server_monitor. A server without a verdict is
// never treated as down.
enum class verdict : std::uint8_t
{
    none,
    up,
    down
};

// The role that a server reports for itself. It is unknown if the server
// reports none.
enum class server_role : std::uint8_t
{
    unknown,
    primary,
    replica
};

// Replaces the rules. Accepted only if base_version is the version in effect
// and the command has an id.
struct apply_rules
{
    std::uint64_t base_version = 0;
    std::string text;

    friend auto operator<=>(apply_rules const&, apply_rules const&) = default;
};

// Revokes a key permanently.
struct withdraw_key
{
    key_digest digest{};

    friend auto operator<=>(withdraw_key const&, withdraw_key const&) = default;
};

// Adds a daemon that may hold leases, or changes its data centre or address.
struct register_daemon
{
    daemon_name daemon;
    data_centre_name data_centre;
    // IP address and port for statements from other daemons; empty if the
    // daemon runs none for them.
    std::string address{};

    friend auto operator<=>(register_daemon const&,
                            register_daemon const&) = default;
};

// Marks a daemon as removed: its lease is no longer renewed. The daemon stays
// in the state until forget_daemon, because a new leader must wait for its
// lease.
struct remove_daemon
{
    daemon_name daemon;

    friend auto operator<=>(remove_daemon const&,
                            remove_daemon const&) = default;
};

// Erases a removed daemon from the state. Proposed by the leader once the
// daemon's lease has ended.
struct forget_daemon
{
    daemon_name daemon;

    friend auto operator<=>(forget_daemon const&,
                            forget_daemon const&) = default;
};

// Adds a server or updates its data. A server that is leaving receives no new
// work.
struct announce_server
{
    server_name server;
    group_name group;
    data_centre_name data_centre;
    // IP address and port.
    std::string address;
    std::uint64_t sequence = 0;
    // Increases with each start of the server. The sequence counts the
    // announcements within one incarnation.
    std::uint64_t incarnation = 0;
    server_role role = server_role::unknown;
    bool is_leaving = false;

    friend auto operator<=>(announce_server const&,
                            announce_server const&) = default;
};

// Marks a server as leaving: it receives no new work.
struct announce_leaving
{
    server_name server;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(announce_leaving const&,
                            announce_leaving const&) = default;
};

// Removes a server from its group, which changes the group's majority. The
// server must be leaving, unless the group is server-checked.
struct remove_server
{
    server_name server;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(remove_server const&,
                            remove_server const&) = default;
};

// A health verdict on a server. Its sequence is separate from that of the
// announcements, because it has another sender.
struct report_verdict
{
    server_name server;
    std::uint64_t sequence = 0;
    verdict value = verdict::none;

    friend auto operator<=>(report_verdict const&,
                            report_verdict const&) = default;
};

// Ends the given term of a group: daemons stop relaying results of the term.
struct begin_fencing
{
    group_name group;
    std::uint64_t term = 0;

    friend auto operator<=>(begin_fencing const&,
                            begin_fencing const&) = default;
};

// Chooses a server as the next primary, with a term greater than the group's.
struct choose_primary
{
    group_name group;
    std::uint64_t term = 0;
    server_name server;

    friend auto operator<=>(choose_primary const&,
                            choose_primary const&) = default;
};

// Records that the chosen server has accepted its term.
struct confirm_primary
{
    group_name group;
    std::uint64_t term = 0;
    server_name server;

    friend auto operator<=>(confirm_primary const&,
                            confirm_primary const&) = default;
};

// Replaces the rules by a version with a number that the sender assigns. A
// version that is not higher than the one in effect changes nothing.
struct offer_rules
{
    std::uint64_t version = 0;
    std::string text;

    friend auto operator<=>(offer_rules const&, offer_rules const&) = default;
};

// Takes the servers of a data centre out of service, or back into service.
// The data centre need not be known: the command also applies to servers that
// report from it later.
struct set_data_centre_service
{
    data_centre_name data_centre;
    bool in_service = true;

    friend auto operator<=>(set_data_centre_service const&,
                            set_data_centre_service const&) = default;
};

using command_body = std::variant<apply_rules,
                                  withdraw_key,
                                  register_daemon,
                                  remove_daemon,
                                  forget_daemon,
                                  announce_server,
                                  announce_leaving,
                                  remove_server,
                                  report_verdict,
                                  begin_fencing,
                                  choose_primary,
                                  confirm_primary,
                                  offer_rules,
                                  set_data_centre_service>;

// A command for the control state; the payload of a log entry.
struct command
{
    // Empty if the sender never resends the command, or if applying it again
    // has no effect.
    change_id id;
    // Who sent the command and why. Kept in the history.
    std::string author;
    command_body body;

    friend auto operator<=>(command const&, command const&) = default;
};

} // namespace basilreach::control

#endif
