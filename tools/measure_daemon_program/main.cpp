#include "process.hpp"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

#include <ace/Init_ACE.h>

#include <basilreach/telemetry/log_output.hpp>

namespace basilreach::measure
{

int measure_capacity(std::uint64_t seed);
int measure_control(std::uint64_t seed);
int measure_proxy(std::uint64_t seed);

} // namespace basilreach::measure

namespace
{

using namespace basilreach::measure;

struct subcommand
{
    std::string_view name;
    int (*run)(std::uint64_t seed);
};

constexpr subcommand subcommands[] = {
    {"capacity", measure_capacity},
    {"control", measure_control},
    {"proxy", measure_proxy},
};

// A measurement that runs longer is ended together with its child processes.
constexpr unsigned timeout_s = 60;

} // namespace

int main(int argc, char** argv)
{
    std::string_view const subcommand_name = argc > 1 ? argv[1] : "";
    auto const seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    for (auto const& it : subcommands)
        if (it.name == subcommand_name)
        {
            kill_children_on_signals(timeout_s);
            ACE::init();
            temporary_directory const logs;
            basilreach::telemetry::set_log_output(
                logs.path(), basilreach::telemetry::log_threshold::warning);
            auto const status = it.run(seed);
            ACE::fini();
            return status;
        }
    std::fprintf(stderr, "usage: basilreach_measure_daemon NAME [SEED]\n");
    return 2;
}
