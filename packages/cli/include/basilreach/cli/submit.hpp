#ifndef BASILREACH_CLI_SUBMIT_HPP
#define BASILREACH_CLI_SUBMIT_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <basilreach/cli/admin_answer.hpp>
#include <basilreach/cli/admin_command.hpp>

namespace basilreach::cli
{

// The daemon answered with rows.
struct answered
{
    admin::result_table table;

    friend bool operator==(answered const&, answered const&) = default;
};

// The daemon answered with an error, or refused the operator key.
struct rejected
{
    std::string sqlstate;
    std::string message;

    friend bool operator==(rejected const&, rejected const&) = default;
};

// The command was not sent.
struct unreachable
{
    std::string message;

    friend bool operator==(unreachable const&, unreachable const&) = default;
};

// The command was sent, or part of it, and no answer arrived.
struct lost
{
    std::string message;

    friend bool operator==(lost const&, lost const&) = default;
};

// Outcome of one try at one daemon.
using try_outcome = std::variant<answered, rejected, unreachable, lost>;

// Sends the text of a command to the daemon at an address, IP:PORT, and waits
// for the answer or for its own time limit.
using transport = std::function<try_outcome(std::string const& address,
                                            std::string const& text)>;

struct submission
{
    // The outcome of the last try that says most: an answer, an error that
    // other daemons would repeat, a lost answer, "not run", unreachable.
    try_outcome outcome = unreachable{};
    // An earlier try lost its answer and may have taken effect.
    bool may_have_run = false;

    friend bool operator==(submission const&, submission const&) = default;
};

struct submit_options
{
    std::vector<std::string> daemons;
    // How often the list of daemons is gone through.
    std::uint32_t rounds = 3;
    // Called between two rounds.
    std::function<void()> pause;
};

// Sends a command to the daemons in order until one answers. The same text is
// sent again after a lost answer, so a change keeps its content id and runs
// once. STOP is for one daemon, so it goes to the first only and once.
[[nodiscard]] submission submit(submit_options const& options,
                                admin::admin_command const& command,
                                transport const& send);

} // namespace basilreach::cli

#endif
