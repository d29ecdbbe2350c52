#ifndef BASILREACH_CLI_ADMIN_COMMAND_HPP
#define BASILREACH_CLI_ADMIN_COMMAND_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <basilreach/base/name.hpp>
#include <basilreach/base/result.hpp>
#include <basilreach/rules/rule_set.hpp>

namespace basilreach::admin
{

// Replaces the rules if base_version is the version in force.
struct apply_rules
{
    std::uint64_t base_version = 0;
    // Content id of base version and text, see rules::change_id_of().
    std::string change_id;
    std::string text;

    friend auto operator<=>(apply_rules const&, apply_rules const&) = default;
};

enum class show_subject : std::uint8_t
{
    rules,
    history,
    status,
    metrics
};

struct show
{
    show_subject subject = show_subject::status;

    friend auto operator<=>(show const&, show const&) = default;
};

// Invalidates an API key at once. The command carries the key's digest.
struct withdraw_key
{
    rules::key_digest digest{};

    friend auto operator<=>(withdraw_key const&, withdraw_key const&) = default;
};

// Adds a backend server to a group, or updates its entry.
struct announce_server
{
    server_name server;
    group_name group;
    data_centre_name data_centre;
    // IP number and port.
    std::string address;
    std::uint64_t sequence = 0;

    friend auto operator<=>(announce_server const&,
                            announce_server const&) = default;
};

struct announce_leaving
{
    server_name server;
    std::uint64_t sequence = 0;

    friend auto operator<=>(announce_leaving const&,
                            announce_leaving const&) = default;
};

enum class server_verdict : std::uint8_t
{
    up,
    down
};

struct report_verdict
{
    server_name server;
    server_verdict verdict = server_verdict::up;
    std::uint64_t sequence = 0;

    friend auto operator<=>(report_verdict const&,
                            report_verdict const&) = default;
};

struct add_control_host
{
    daemon_name host;
    // IP number and port.
    std::string address;
    data_centre_name data_centre;

    friend auto operator<=>(add_control_host const&,
                            add_control_host const&) = default;
};

struct remove_control_host
{
    daemon_name host;

    friend auto operator<=>(remove_control_host const&,
                            remove_control_host const&) = default;
};

enum class service_state : std::uint8_t
{
    out_of_service,
    in_service
};

// Takes the servers of a data centre out of service, or back into service.
struct set_data_centre_service
{
    service_state service = service_state::in_service;
    data_centre_name data_centre;

    friend auto operator<=>(set_data_centre_service const&,
                            set_data_centre_service const&) = default;
};

// Stops the daemon that receives it.
struct stop
{
    friend auto operator<=>(stop const&, stop const&) = default;
};

using admin_command = std::variant<apply_rules,
                                   show,
                                   withdraw_key,
                                   announce_server,
                                   announce_leaving,
                                   report_verdict,
                                   add_control_host,
                                   remove_control_host,
                                   stop,
                                   set_data_centre_service>;

enum class admin_reason : std::uint8_t
{
    unterminated_quote,
    unexpected_word,
    bad_name,
    bad_number,
    bad_digest,
    bad_address,
    wrong_change_id
};

// Why a command is refused. Its SQLSTATE is 42601.
struct admin_error
{
    admin_reason reason = admin_reason::unexpected_word;
    // Byte of the text, counted from 1.
    std::size_t column = 0;
    // What is expected at that column, as text for the operator.
    std::string expected;

    friend auto operator<=>(admin_error const&, admin_error const&) = default;
};

// Parses one command of the admin console. Keywords are case-insensitive and a
// semicolon at the end is optional.
[[nodiscard]] result<admin_command, admin_error>
parse_command(std::string_view text);

// Returns the text of a command; parse_command() of it gives an equal command.
[[nodiscard]] std::string print_command(admin_command const& command);

// Returns the text in single quotes, with each quote in it doubled.
[[nodiscard]] std::string quote(std::string_view text);

// Returns "column N: expected EXPECTED".
[[nodiscard]] std::string to_string(admin_error const& error);

} // namespace basilreach::admin

#endif
