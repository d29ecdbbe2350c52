#include "figure.hpp"
#include "subcommands.hpp"

#include <string>

#include <share_replay.hpp>

namespace basilreach::measure
{

namespace
{

struct pool_case
{
    char const* name;
    std::uint32_t limit;
    // Time that opening a connection takes.
    duration opening;
};

struct demand_case
{
    char const* name;
    unsigned last_host;
    // Time after which the load moves to the next host; zero spreads the load
    // over the hosts.
    duration move;
};

constexpr pool_case pools[] = {
    {"25", 25, std::chrono::milliseconds(10)},
    {"45", 45, std::chrono::milliseconds(25)},
};

constexpr demand_case demands[] = {
    {"even", 8, {}},
    {"one_host", 0, {}},
    {"moving", 8, std::chrono::milliseconds(700)},
};

// Mean time of a statement, and the fraction of the connections that are in
// use.
constexpr duration service = std::chrono::milliseconds(20);
constexpr double load = 0.5;

} // namespace

int measure_pool(std::uint64_t seed)
{
    std::uint64_t over_limit_total = 0;
    for (auto const& pool : pools)
        for (auto const& demand : demands)
        {
            limits::replay::share_trace trace;
            trace.limit = pool.limit;
            trace.opening = pool.opening;
            trace.service = service;
            trace.load.length = std::chrono::seconds(60);
            auto const seconds = std::chrono::duration<double>(service);
            trace.load.arrivals = {
                {instant(std::chrono::seconds(3)), instant(trace.load.length),
                 0, demand.last_host, load * pool.limit / seconds.count(),
                 demand.move}};
            auto const shared = limits::replay::replay_shares(trace, seed);
            trace.divided = true;
            auto const divided = limits::replay::replay_shares(trace, seed);
            auto const suffix =
                std::string(".") + pool.name + "." + demand.name;
            over_limit_total += shared.over_limit;
            print_figure("pool.wait_p99" + suffix, shared.wait_p99, "ms",
                         divided.wait_p99, seed);
            print_figure("pool.opened" + suffix, shared.opened, "1/s",
                         divided.opened, seed);
            print_figure("pool.over_limit" + suffix,
                         static_cast<double>(shared.over_limit), "count",
                         static_cast<double>(divided.over_limit), seed);
        }
    return over_limit_total == 0 ? 0 : 1;
}

} // namespace basilreach::measure
