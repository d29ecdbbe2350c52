#ifndef BASILREACH_TELEMETRY_LOG_OUTPUT_HPP
#define BASILREACH_TELEMETRY_LOG_OUTPUT_HPP

#include <optional>
#include <string>

namespace basilreach::telemetry
{

enum class log_threshold
{
    debug,
    info,
    warning,
    error
};

// Directs all log lines of the process to DIRECTORY/basilreachd.log, or to
// standard output without a directory, from this level on.
void set_log_output(std::optional<std::string> const& directory,
                    log_threshold threshold);

} // namespace basilreach::telemetry

#endif
