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
    // The command was refused, or another change won.
    refused = 1,
    // Wrong arguments, or a file that cannot be read.
    usage = 2,
    // No daemon answered, and the command did not run.
    no_daemon = 3,
    // The command may or may not have run.
    unknown = 4
};

// What a subcommand works with.
struct environment
{
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    // Version that `rules apply` starts from; absent for the current one.
    std::optional<std::uint64_t> base;
    // Sends a command. Returns nothing when the flags or the operator key do
    // not allow it; the reason is then written already.
    std::function<std::optional<submission>(admin::admin_command const&)>
        submit;
};

// Runs a subcommand given by its words and arguments.
[[nodiscard]] exit_status run(environment const& env,
                              std::span<std::string const> words);

// Returns the list of subcommands and exit statuses for --help.
[[nodiscard]] std::string help_text();

} // namespace basilreach::cli

#endif
