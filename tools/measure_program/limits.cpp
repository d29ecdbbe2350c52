#include "figure.hpp"
#include "subcommands.hpp"

#include <cmath>
#include <cstdio>
#include <fstream>

#include <basilreach/limits/rate_tolerance.hpp>
#include <rate_replay.hpp>

namespace basilreach::measure
{

namespace
{

double percent(std::uint64_t part, std::uint64_t whole)
{
    return 100 * static_cast<double>(part) / static_cast<double>(whole);
}

// A deployment of 73 hosts in three data centres, of which the last one is cut
// off for a while. Its workspaces use unequal parts of the demand.
constexpr unsigned placed_hosts = 73;
constexpr unsigned placed_workspaces = 79;
constexpr unsigned placed_groups = 8;
constexpr double placed_demand = 1078;
constexpr double zipf_exponent = 1.2;
// Sum of the rates over the sum of the demand.
constexpr double rate_headroom = 1.6;
// First hosts of the data centres, and the end.
constexpr unsigned first_hosts[] = {0, 25, 49, placed_hosts};
constexpr unsigned data_centres = 3;
constexpr limits::rate_tolerance placed_tolerance{5, 0.1, 20};
constexpr instant placed_cut_start{std::chrono::seconds(5)};
constexpr instant placed_cut_end{std::chrono::seconds(15)};

// Returns the trace of one workspace. If it is placed, its statements run at
// its holders; otherwise they run at all hosts.
limits::replay::rate_trace
placed_trace(unsigned workspace, double demand, bool is_placed)
{
    limits::replay::rate_trace trace;
    trace.hosts = placed_hosts;
    trace.max_wait = std::chrono::milliseconds(35);
    trace.length = std::chrono::seconds(16);
    auto const rate =
        static_cast<std::uint64_t>(std::ceil(demand * rate_headroom));
    trace.limits.push_back(
        {{},
         static_cast<std::int64_t>(rate),
         limits::tolerated_burst(rate, rate, placed_tolerance)});
    trace.faults.push_back({limits::replay::fault_rule::kind::cut,
                            placed_cut_start, placed_cut_end,
                            first_hosts[data_centres - 1], placed_hosts - 1});
    if (!is_placed)
    {
        trace.arrivals.push_back(
            {{}, instant(trace.length), 0, placed_hosts - 1, demand, {}});
        return trace;
    }
    bool const is_split =
        rate >= std::uint64_t{2} * placed_groups * data_centres;
    unsigned const holders = is_split ? placed_groups : 1;
    trace.placements.push_back({});
    for (unsigned d = 0; d != data_centres; ++d)
        for (unsigned k = 0; k != holders; ++k)
        {
            auto const first = first_hosts[d];
            auto const size = first_hosts[d + 1] - first;
            auto const host = first + (workspace * placed_groups + k) % size;
            trace.placements.front().holders.insert(host);
            trace.arrivals.push_back({{},
                                      instant(trace.length),
                                      host,
                                      host,
                                      demand / (data_centres * holders),
                                      {}});
        }
    return trace;
}

limits::replay::rate_outcome replay_placed(bool is_placed, std::uint64_t seed)
{
    limits::token_allocator_settings floors;
    floors.floor_rate_per_mille = 1000;
    floors.floor_burst_per_mille = 400;
    limits::rate_limiter_settings limiter;
    limiter.min_reserve = 1;
    limiter.contact_interval = std::chrono::seconds(2);
    limiter.batch_reports = true;
    double weights = 0;
    for (unsigned n = 0; n != placed_workspaces; ++n)
        weights += std::pow(n + 1, -zipf_exponent);
    limits::replay::rate_outcome sum;
    for (unsigned n = 0; n != placed_workspaces; ++n)
    {
        auto const demand =
            placed_demand * std::pow(n + 1, -zipf_exponent) / weights;
        auto const it = limits::replay::replay_rate(
            placed_trace(n, demand, is_placed), seed * placed_workspaces + n,
            floors, limiter);
        sum.offered += it.offered;
        sum.refused += it.refused;
        sum.refused_within_rate += it.refused_within_rate;
        sum.over_rate += it.over_rate;
        sum.wait += it.wait * static_cast<double>(it.offered - it.refused);
    }
    sum.wait /= static_cast<double>(sum.offered - sum.refused);
    return sum;
}

// Prints the figures of the deployment with placed workspaces, and as baseline
// those of workspaces that every host runs.
std::uint64_t measure_placed(std::uint64_t seed)
{
    auto const local = replay_placed(false, seed);
    auto const placed = replay_placed(true, seed);
    print_figure("limits.refused_within_rate.placed_data_centre_cut",
                 percent(placed.refused_within_rate, placed.offered), "%",
                 percent(local.refused_within_rate, local.offered), seed);
    print_figure("limits.wait.placed_data_centre_cut", placed.wait, "ms",
                 local.wait, seed);
    return placed.over_rate + local.over_rate;
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
    over_rate_total += measure_placed(seed);
    print_figure("limits.over_rate", static_cast<double>(over_rate_total),
                 "requests", 0, seed);
    return over_rate_total == 0 ? 0 : 1;
}

} // namespace basilreach::measure
