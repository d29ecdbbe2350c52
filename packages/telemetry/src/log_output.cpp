#include <basilreach/telemetry/log_output.hpp>

#include <array>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace basilreach::telemetry
{

namespace
{

// Indexed by log_threshold.
constexpr std::array levels = {el::Level::Debug, el::Level::Info,
                               el::Level::Warning, el::Level::Error};

} // namespace

void set_log_output(std::optional<std::string> const& directory,
                    log_threshold threshold)
{
    el::Configurations it;
    it.setToDefault();
    it.setGlobally(el::ConfigurationType::Format,
                   "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    // Flushing each line cost 2.5 system calls per statement. Instead, the
    // writer thread of the decision log flushes all loggers after each batch of
    // records, and every 100 ms without records.
    it.setGlobally(el::ConfigurationType::LogFlushThreshold, "1000");
    it.setGlobally(el::ConfigurationType::ToFile, directory ? "true" : "false");
    it.setGlobally(el::ConfigurationType::ToStandardOutput,
                   directory ? "false" : "true");
    if (directory)
        it.setGlobally(el::ConfigurationType::Filename,
                       *directory + "/basilreachd.log");
    // Levels are disabled one by one: the library's numeric order puts
    // information above errors, so a numeric threshold would also suppress
    // errors and warnings.
    for (std::size_t n = 0; n != static_cast<std::size_t>(threshold); ++n)
        it.set(levels[n], el::ConfigurationType::Enabled, "false");
    el::Loggers::reconfigureAllLoggers(it);
}

} // namespace basilreach::telemetry
