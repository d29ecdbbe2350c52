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

// The daemon answered with an error, for instance that the operator key is
// wrong.
struct rejected
{
    std::string sqlstate;
    std::string message;

    friend bool operator==(rejected const&, rejected const&) = default;
};

// The command was not sent, because no connection was established.
struct unreachable
{
    std::string message;

    friend bool operator==(unreachable const&, unreachable const&) = default;
};

// The command was sent, at least in part, and no answer arrived.
struct unanswered
{
    std::string message;

    friend bool operator==(unanswered const&, unanswered const&) = default;
};

// Outcome of one attempt to run a command at one daemon.
using attempt_outcome =
    std::variant<answered, rejected, unreachable, unanswered>;

// Sends the text of a command to the daemon at an address (IP:PORT) and waits
// for the answer, up to a timeout of the transport.
using transport = std::function<attempt_outcome(std::string const& address,
                                                std::string const& text)>;

struct submit_result
{
    // The outcome that says most about the command. From most to least: an
    // answer, or an error that other daemons would repeat; an outcome after
    // which the command may have run; "not run"; unreachable. Among equals, the
    // last attempt's.
    attempt_outcome outcome = unreachable{};
    // An attempt that ended without a definite answer may have run the command.
    bool may_have_run = false;

    friend bool operator==(submit_result const&,
                           submit_result const&) = default;
};

struct submit_options
{
    std::vector<std::string> daemons;
    // Number of passes over the list of daemons.
    std::uint32_t rounds = 3;
    // Called before each pass but the first.
    std::function<void()> pause;
};

// Sends a command to the daemons in order until one gives a final outcome. The
// same text is sent each time, so APPLY RULES keeps its content id and takes
// effect once at most. STOP concerns one daemon, so it is sent once, to the
// first.
[[nodiscard]] submit_result submit(submit_options const& options,
                                   admin::admin_command const& command,
                                   transport const& send);

} // namespace basilreach::cli

#endif
