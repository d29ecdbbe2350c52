#include "figure.hpp"
#include "subcommands.hpp"

#include <cstdio>
#include <fstream>

#include <rate_replay.hpp>

namespace basilreach::measure
{

namespace
{

double percent(std::uint64_t part, std::uint64_t whole)
{
    return 100 * static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

int measure_limits(std::uint64_t seed)
{
    std::uint64_t over_rate_total = 0;
    for (auto const* name :
         {"even", "one_host", "moving", "one_data_centre_cut"})
    {
        std::string const path = std::string(BASILREACH_SOURCE_DIR) +
                                 "/traces/limits/" + name + ".rate";
        std::ifstream file(path);
        auto const trace = limits::replay::read_rate_trace(file);
        if (!trace || trace.value().limits.empty())
        {
            std::fprintf(stderr, "limits: cannot read %s\n", path.c_str());
            return 1;
        }
        auto const outcome = limits::replay::replay_rate(trace.value(), seed);
        over_rate_total += outcome.over_rate;
        print_figure(
            std::string("limits.refused_within_rate.") + name,
            percent(outcome.refused_within_rate, outcome.offered), "%",
            percent(outcome.divided_refused_within_rate, outcome.offered),
            seed);
        print_figure(std::string("limits.wait.") + name, outcome.wait, "ms", 0,
                     seed);
        auto const span = std::chrono::duration<double>(trace.value().length);
        print_figure(std::string("limits.messages.") + name,
                     static_cast<double>(outcome.messages) / span.count(),
                     "1/s", 0, seed);
    }
    std::ifstream cut(BASILREACH_SOURCE_DIR
                      "/traces/limits/one_data_centre_cut.rate");
    auto const trace = limits::replay::read_rate_trace(cut);
    limits::token_allocator_settings whole_floors;
    whole_floors.floor_rate_per_mille = 1000;
    whole_floors.floor_burst_per_mille = 400;
    auto const outcome =
        limits::replay::replay_rate(trace.value(), seed, whole_floors);
    over_rate_total += outcome.over_rate;
    print_figure("limits.refused_within_rate.one_data_centre_cut_whole_floors",
                 percent(outcome.refused_within_rate, outcome.offered), "%",
                 percent(outcome.divided_refused_within_rate, outcome.offered),
                 seed);
    print_figure("limits.over_rate", static_cast<double>(over_rate_total),
                 "requests", 0, seed);
    return over_rate_total == 0 ? 0 : 1;
}

} // namespace basilreach::measure
