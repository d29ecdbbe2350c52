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

// Chosen by the sender of a command. A command that is sent again under the
// same id gets the answer of the first one.
using change_id = name<struct change_tag>;

// What the health group last said about a server. A server without a verdict
// is never treated as down.
enum class verdict : std::uint8_t
{
    none,
    up,
    down
};

// What a server says that it is in its group, where servers say so.
enum class server_role : std::uint8_t
{
    unknown,
    primary,
    replica
};

// Replaces the rules. Accepted only when base_version is the version in effect
// and the command has an id.
struct apply_rules
{
    std::uint64_t base_version = 0;
    std::string text;

    friend auto operator<=>(apply_rules const&, apply_rules const&) = default;
};

// Ends the use of a key for ever.
struct withdraw_key
{
    key_digest digest{};

    friend auto operator<=>(withdraw_key const&, withdraw_key const&) = default;
};

// Adds a daemon that may hold leases.
struct register_daemon
{
    daemon_name daemon;
    data_centre_name data_centre;

    friend auto operator<=>(register_daemon const&,
                            register_daemon const&) = default;
};

// Stops the renewal of a daemon's lease. The daemon stays in the state until
// its lease has ended, because a new leader must still wait for that lease.
struct remove_daemon
{
    daemon_name daemon;

    friend auto operator<=>(remove_daemon const&,
                            remove_daemon const&) = default;
};

// Proposed by the leader once the lease of a removed daemon has ended.
struct forget_daemon
{
    daemon_name daemon;

    friend auto operator<=>(forget_daemon const&,
                            forget_daemon const&) = default;
};

// Adds a server, or changes what is known of it. A server that leaves receives
// no new work.
struct announce_server
{
    server_name server;
    group_name group;
    data_centre_name data_centre;
    // IP number and port.
    std::string address;
    std::uint64_t sequence = 0;
    // Grows with each start of the server; the sequence counts within it.
    std::uint64_t incarnation = 0;
    server_role role = server_role::unknown;
    bool is_leaving = false;

    friend auto operator<=>(announce_server const&,
                            announce_server const&) = default;
};

// The server receives no new work from now on.
struct announce_leaving
{
    server_name server;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(announce_leaving const&,
                            announce_leaving const&) = default;
};

// Takes a leaving server out of its group, which changes the group's majority.
struct remove_server
{
    server_name server;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(remove_server const&,
                            remove_server const&) = default;
};

// A verdict of the health group. Its sequence is counted apart from that of
// the announcements, because another sender counts it.
struct report_verdict
{
    server_name server;
    std::uint64_t sequence = 0;
    verdict value = verdict::none;

    friend auto operator<=>(report_verdict const&,
                            report_verdict const&) = default;
};

// Ends the given term of a group: results of the term are relayed no more.
struct begin_fencing
{
    group_name group;
    std::uint64_t term = 0;

    friend auto operator<=>(begin_fencing const&,
                            begin_fencing const&) = default;
};

// Assigns a new term, greater than the group's, to one server.
struct choose_primary
{
    group_name group;
    std::uint64_t term = 0;
    server_name server;

    friend auto operator<=>(choose_primary const&,
                            choose_primary const&) = default;
};

// The chosen server has accepted its term.
struct confirm_primary
{
    group_name group;
    std::uint64_t term = 0;
    server_name server;

    friend auto operator<=>(confirm_primary const&,
                            confirm_primary const&) = default;
};

// Replaces the rules by a version that its sender has numbered. The highest
// version wins; one that is not higher changes nothing.
struct offer_rules
{
    std::uint64_t version = 0;
    std::string text;

    friend auto operator<=>(offer_rules const&, offer_rules const&) = default;
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
                                  offer_rules>;

// One entry of the replicated log.
struct command
{
    // Empty when the sender never resends or resending has no effect.
    change_id id;
    // Who sent the command and why; kept in the history.
    std::string author;
    command_body body;

    friend auto operator<=>(command const&, command const&) = default;
};

} // namespace basilreach::control

#endif
