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

// Writes all log lines of the process that have the threshold's level or a more
// severe one to DIRECTORY/basilreachd.log, or to standard output if no
// directory is given.
void set_log_output(std::optional<std::string> const& directory,
                    log_threshold threshold);

} // namespace basilreach::telemetry

#endif
