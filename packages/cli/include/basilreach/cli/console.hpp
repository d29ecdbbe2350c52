#ifndef BASILREACH_CLI_CONSOLE_HPP
#define BASILREACH_CLI_CONSOLE_HPP

#include <chrono>
#include <string>

#include <basilreach/cli/submit.hpp>

namespace basilreach::cli
{

// Returns a transport to the admin console of daemons through libpq. Each try
// opens a connection and ends after the time limit at the latest.
[[nodiscard]] transport console_transport(std::string operator_key,
                                          std::chrono::milliseconds limit);

} // namespace basilreach::cli

#endif
