#include "console.hpp"
#include "control_fleet.hpp"
#include "figure.hpp"

#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <thread>

namespace basilreach::measure
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::size_t control_hosts = 3;
constexpr auto idle_duration = std::chrono::seconds(4);
constexpr std::size_t changes = 8;
constexpr double mib = 1 << 20;

// Number of daemons expected in two years, for which the figures are
// extrapolated.
constexpr double target_daemons = 4900;

// Limits at that number: bytes, CPU time and memory of each daemon, and the
// time until a change is in force.
constexpr double bytes_per_s_limit = 3000;
constexpr double cpu_percent_limit = 1.7;
constexpr double memory_mib_limit = 128;
constexpr double in_force_s_limit = 17;

double seconds_since(steady::time_point it)
{
    return std::chrono::duration<double>(steady::now() - it).count();
}

// The values of one figure for several numbers of daemons.
struct series
{
    std::string name;
    std::string unit;
    double baseline = 0;
    // Whether the value is the mean of what one daemon uses.
    bool is_per_daemon = false;
    std::map<double, double> points;
};

// Returns the value at target_daemons of the least-squares line through the
// points. For a figure per daemon the line goes through the sums over all
// daemons.
double extrapolate(series const& figure)
{
    auto points = figure.points;
    for (auto& [x, y] : points)
        y *= figure.is_per_daemon ? x : 1;
    double n = 0;
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (auto const& [x, y] : points)
    {
        n += 1;
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
    }
    auto const divisor = n * sum_xx - sum_x * sum_x;
    if (divisor <= 0)
        return 0;
    auto const slope = (n * sum_xy - sum_x * sum_y) / divisor;
    auto const value = (sum_y - slope * sum_x) / n + slope * target_daemons;
    return figure.is_per_daemon ? value / target_daemons : value;
}

struct capacity_series
{
    series bytes{"bytes_per_daemon", "B/s", bytes_per_s_limit, true, {}};
    series cpu{"cpu_per_daemon", "%", cpu_percent_limit, true, {}};
    series memory{"memory_per_daemon", "MB", memory_mib_limit, false, {}};
    series in_force{"change_in_force", "s", in_force_s_limit, false, {}};
    // Figures of the leader's process; its CPU limit is one core.
    series leader_cpu{"leader_cpu", "%", 100, false, {}};
    series leader_memory{"leader_memory", "MB", 0, false, {}};
    series start{"start_leases", "s", 0, false, {}};
    series storm{"storm_leases", "s", 0, false, {}};
};

// Measures one number of daemons with newly started control hosts.
void measure_size(std::size_t n, capacity_series& out)
{
    auto const x = static_cast<double>(n);
    deployment hosts(control_hosts, R"(["control"])", "");
    auto const first_leader = hosts.wait_for_leader();
    auto const memory = own_resident_bytes();
    auto started = steady::now();
    control_fleet fleet(hosts, n);
    if (!fleet.wait_for_leases())
        std::printf("note=no_lease_for_every_daemon daemons=%zu\n", n);
    out.start.points[x] = seconds_since(started);
    if (!fleet.wait_for_stable_state())
        std::printf("note=state_does_not_settle daemons=%zu\n", n);
    // The load of the registrations can cause a new election.
    auto const leader = hosts.wait_for_leader();
    if (leader != first_leader)
        std::printf("note=leader_changed_while_starting daemons=%zu\n", n);
    if (fleet.revision() < n)
        std::printf("note=daemons_are_not_registered daemons=%zu "
                    "revision=%llu\n",
                    n, static_cast<unsigned long long>(fleet.revision()));

    auto const before = fleet.usage();
    auto const leader_before = hosts.host(leader).cpu_seconds();
    started = steady::now();
    std::this_thread::sleep_for(idle_duration);
    auto const after = fleet.usage();
    auto const elapsed = seconds_since(started);
    out.bytes.points[x] = (after.bytes - before.bytes) / elapsed / x;
    out.cpu.points[x] = (after.cpu - before.cpu) / elapsed / x * 100;
    out.leader_cpu.points[x] =
        (hosts.host(leader).cpu_seconds() - leader_before) / elapsed * 100;

    auto const log_size_before = hosts.log(leader).size();
    console admin(hosts.client_port(leader));
    for (std::size_t it = 1; it <= changes; ++it)
    {
        (void)admin.run(withdraw_key_command(it));
        wait_until(
            [&]
            {
                return changes_in_force_ms(
                           hosts.log(leader).substr(log_size_before))
                           .size() >= it;
            },
            std::chrono::seconds(2), std::chrono::milliseconds(10));
    }
    out.in_force.points[x] =
        quantile(changes_in_force_ms(hosts.log(leader).substr(log_size_before)),
                 0.99) /
        1000;

    started = steady::now();
    fleet.restart();
    if (!fleet.wait_for_leases())
        std::printf("note=no_lease_after_storm daemons=%zu\n", n);
    out.storm.points[x] = seconds_since(started);
    // Every daemon has now received a complete state, as after a restart.
    if (!fleet.wait_for_stable_state())
        std::printf("note=state_does_not_settle_after_storm daemons=%zu\n", n);
    out.memory.points[x] = (own_resident_bytes() - memory) / x / mib;
    out.leader_memory.points[x] = hosts.host(leader).resident_bytes() / mib;
}

void print(series const& it, std::uint64_t seed)
{
    for (auto const& [n, value] : it.points)
        print_figure("capacity." + it.name + '.' +
                         std::to_string(static_cast<int>(n)),
                     value, it.unit, it.baseline, seed);
    print_figure("capacity." + it.name + ".at_size", extrapolate(it), it.unit,
                 it.baseline, seed);
}

} // namespace

int measure_capacity(std::uint64_t seed)
{
    capacity_series all;
    for (auto const n : {10, 100, 300, 1000})
        measure_size(static_cast<std::size_t>(n), all);
    for (auto const& it :
         {all.bytes, all.cpu, all.memory, all.in_force, all.leader_cpu,
          all.leader_memory, all.start, all.storm})
        print(it, seed);
    return 0;
}

} // namespace basilreach::measure
