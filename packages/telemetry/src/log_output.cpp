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
    el::Loggers::addFlag(el::LoggingFlag::HierarchicalLogging);
    el::Configurations it;
    it.setToDefault();
    it.setGlobally(el::ConfigurationType::Format,
                   "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    // A flush of each line cost 2.5 system calls a statement. The writer of the
    // decision log flushes when it has caught up, and every 100 ms.
    it.setGlobally(el::ConfigurationType::LogFlushThreshold, "1000");
    it.setGlobally(el::ConfigurationType::ToFile, directory ? "true" : "false");
    it.setGlobally(el::ConfigurationType::ToStandardOutput,
                   directory ? "false" : "true");
    if (directory)
        it.setGlobally(el::ConfigurationType::Filename,
                       *directory + "/basilreachd.log");
    el::Loggers::reconfigureAllLoggers(it);
    el::Loggers::setLoggingLevel(levels[static_cast<std::size_t>(threshold)]);
}

} // namespace basilreach::telemetry
