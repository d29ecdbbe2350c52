#ifndef BASILREACH_CLI_COMMAND_LINE_HPP
#define BASILREACH_CLI_COMMAND_LINE_HPP

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>

#include <basilreach/cli/submit.hpp>

namespace basilreach::cli
{

// Exit statuses of the program.
enum class exit_status : std::uint8_t
{
    done = 0,
    // The command was refused, or another change was accepted first.
    refused = 1,
    // Wrong arguments, or a file that cannot be read.
    usage = 2,
    // No daemon answered, and the command did not run. For a command that only
    // reads: no daemon answered.
    no_daemon = 3,
    // The command may or may not have run.
    unknown = 4
};

// The streams, options and connection that a subcommand uses.
struct environment
{
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    // The rules version that `rules apply` replaces; absent for the version in
    // force.
    std::optional<std::uint64_t> base;
    // Sends a command to the daemons. Returns nothing if a flag that it needs
    // is missing or wrong; it has then written the reason to standard error.
    std::function<std::optional<submit_result>(admin::admin_command const&)>
        submit;
};

// Runs the subcommand whose name and arguments are given, without flags.
[[nodiscard]] exit_status run(environment const& env,
                              std::span<std::string const> command_line);

// Returns the list of subcommands and exit statuses for --help.
[[nodiscard]] std::string help_text();

} // namespace basilreach::cli

#endif
