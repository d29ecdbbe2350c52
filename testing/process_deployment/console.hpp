#ifndef BASILREACH_PROCESS_DEPLOYMENT_CONSOLE_HPP
#define BASILREACH_PROCESS_DEPLOYMENT_CONSOLE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <libpq-fe.h>

namespace basilreach::measure
{

// A connection to the admin console of a daemon.
class console
{
public:
    explicit console(std::uint16_t port);

    // Runs a command; returns the first value of the answer, or an empty text
    // after an error.
    [[nodiscard]] std::string run(std::string const& command);

    // Returns one property of SHOW STATUS, or an empty text.
    [[nodiscard]] std::string status(std::string const& subject,
                                     std::string const& name,
                                     std::string const& property);

private:
    std::unique_ptr<PGconn, void (*)(PGconn*)> connection_;
};

// Returns the command that withdraws a key which no rule names. It serves as a
// small change of the control state.
[[nodiscard]] std::string withdraw_key_command(std::uint64_t n);

// Polls a condition until it holds; returns false after the timeout.
bool wait_until(std::function<bool()> const& condition,
                std::chrono::milliseconds timeout,
                std::chrono::milliseconds poll_interval);

} // namespace basilreach::measure

#endif
