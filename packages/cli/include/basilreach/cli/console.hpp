#ifndef BASILREACH_CLI_CONSOLE_HPP
#define BASILREACH_CLI_CONSOLE_HPP

#include <chrono>
#include <string>

#include <basilreach/cli/submit.hpp>

namespace basilreach::cli
{

// Returns a transport that connects to the admin console of a daemon with
// libpq. Each attempt opens a connection of its own and ends when the timeout
// expires at the latest.
[[nodiscard]] transport console_transport(std::string operator_key,
                                          std::chrono::milliseconds timeout);

} // namespace basilreach::cli

#endif
