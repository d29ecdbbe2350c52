#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <gflags/gflags.h>

#include <basilreach/cli/command_line.hpp>
#include <basilreach/cli/console.hpp>
#include <basilreach/settings/endpoint.hpp>

DEFINE_string(daemon,
              "",
              "IP:PORT of a daemon; several, separated by commas or given by "
              "repeating the flag, are tried in order");
DEFINE_string(operator_key_file,
              "",
              "file whose first line is the operator key");
DEFINE_int64(base,
             -1,
             "rules version that `rules apply` replaces; -1 for the version in "
             "force");
DEFINE_uint32(timeout_ms, 5000, "timeout of one attempt at one daemon");
DEFINE_uint32(rounds, 3, "passes over the list of daemons before giving up");
DEFINE_uint32(pause_ms, 500, "pause between two passes");

namespace
{

using basilreach::cli::exit_status;

constexpr auto flag_names =
    std::to_array<char const*>({"daemon", "operator_key_file", "base",
                                "timeout_ms", "rounds", "pause_ms"});

int to_int(exit_status status)
{
    return static_cast<int>(status);
}

void print_help()
{
    std::cout << basilreach::cli::help_text() << "\nflags, as --NAME=VALUE:\n";
    for (auto const* name : flag_names)
    {
        gflags::CommandLineFlagInfo info;
        gflags::GetCommandLineFlagInfo(name, &info);
        std::cout << "  --" << name << "\n      " << info.description;
        if (!info.default_value.empty())
            std::cout << " (default " << info.default_value << ")";
        std::cout << '\n';
    }
    std::cout << "  --help, --version\n";
}

// Sets one flag from the text NAME=VALUE and returns whether it is valid. The
// program does not use gflags' own parser, which ends the process with status 1
// on a wrong flag: here status 1 means a refused command.
bool set_flag(std::string_view text)
{
    auto const equals = text.find('=');
    std::string const name{text.substr(0, equals)};
    auto const is_known = std::find(flag_names.begin(), flag_names.end(),
                                    name) != flag_names.end();
    if (!is_known || equals == std::string_view::npos)
        return false;
    std::string value{text.substr(equals + 1)};
    if (name == "daemon" && !FLAGS_daemon.empty())
        value = FLAGS_daemon + "," + value;
    return !gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty();
}

std::vector<std::string> daemons()
{
    std::vector<std::string> list;
    std::string_view rest = FLAGS_daemon;
    while (!rest.empty())
    {
        auto const end = std::min(rest.find(','), rest.size());
        list.emplace_back(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return list;
}

// Checks the flags that are needed to connect to a daemon, then sends the
// command. Returns nothing and prints an error if a flag is missing or wrong.
std::optional<basilreach::cli::submit_result>
submit(basilreach::admin::admin_command const& command)
{
    basilreach::cli::submit_options options{
        daemons(), std::max(FLAGS_rounds, 1U),
        []
        {
            std::this_thread::sleep_for(
                std::chrono::milliseconds{FLAGS_pause_ms});
        }};
    if (options.daemons.empty())
    {
        std::cerr << "basilreach: --daemon is required\n";
        return std::nullopt;
    }
    for (auto const& it : options.daemons)
        if (!basilreach::settings::parse_endpoint(it))
        {
            std::cerr << "basilreach: --daemon: expected a numeric IP address "
                         "and a port, found "
                      << it << '\n';
            return std::nullopt;
        }
    std::string key;
    std::ifstream file{FLAGS_operator_key_file};
    if (!std::getline(file, key) || key.empty())
    {
        std::cerr << "basilreach: --operator_key_file: expected a readable "
                     "file whose first line is the operator key\n";
        return std::nullopt;
    }
    return basilreach::cli::submit(
        options, command,
        basilreach::cli::console_transport(
            std::move(key), std::chrono::milliseconds{FLAGS_timeout_ms}));
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> positional;
    for (std::string_view const it :
         std::vector<std::string_view>(argv + 1, argv + argc))
    {
        if (it == "--help" || it == "--version")
        {
            if (it == "--help")
                print_help();
            else
                std::cout << "basilreach " BASILREACH_VERSION "\n";
            return to_int(exit_status::done);
        }
        if (!it.starts_with("--"))
            positional.emplace_back(it);
        else if (!set_flag(it.substr(2)))
        {
            std::cerr << "basilreach: unknown flag or wrong value: " << it
                      << "; see basilreach --help\n";
            return to_int(exit_status::usage);
        }
    }
    if (FLAGS_base < -1)
    {
        std::cerr << "basilreach: --base: expected a rules version or -1\n";
        return to_int(exit_status::usage);
    }
    std::optional<std::uint64_t> base;
    if (FLAGS_base >= 0)
        base = static_cast<std::uint64_t>(FLAGS_base);
    return to_int(basilreach::cli::run(
        {std::cin, std::cout, std::cerr, base, submit}, positional));
}
