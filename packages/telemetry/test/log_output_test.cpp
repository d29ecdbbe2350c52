// The checks have the prefix DOCTEST_, because the logging library defines a
// macro CHECK of its own.
#include <basilreach/telemetry/log_output.hpp>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <easylogging++.h>
#include <unistd.h>

using namespace basilreach::telemetry;

namespace
{

// Logs one line of each level and returns the content of the log file.
std::string log_lines(log_threshold threshold)
{
    auto const folder = std::filesystem::temp_directory_path() /
                        ("basilreach-log-" + std::to_string(::getpid()) + '-' +
                         std::to_string(static_cast<int>(threshold)));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directory(folder);
    set_log_output(folder.string(), threshold);
    LOG(DEBUG) << "event=a_debug";
    LOG(INFO) << "event=an_info";
    LOG(WARNING) << "event=a_warning";
    LOG(ERROR) << "event=an_error";
    el::Loggers::flushAll();
    std::ifstream file(folder / "basilreachd.log");
    std::stringstream text;
    text << file.rdbuf();
    set_log_output(std::nullopt, log_threshold::error);
    std::filesystem::remove_all(folder);
    return text.str();
}

bool contains(std::string const& text, char const* word)
{
    return text.find(word) != std::string::npos;
}

} // namespace

// Guards against errors and warnings that are suppressed at the default level.
TEST_CASE("a threshold suppresses exactly the less severe levels")
{
    auto const at_info = log_lines(log_threshold::info);
    DOCTEST_CHECK_FALSE(contains(at_info, "a_debug"));
    DOCTEST_CHECK(contains(at_info, "an_info"));
    DOCTEST_CHECK(contains(at_info, "a_warning"));
    DOCTEST_CHECK(contains(at_info, "an_error"));
    auto const at_error = log_lines(log_threshold::error);
    DOCTEST_CHECK_FALSE(contains(at_error, "an_info"));
    DOCTEST_CHECK_FALSE(contains(at_error, "a_warning"));
    DOCTEST_CHECK(contains(at_error, "an_error"));
}
