#include "console.hpp"
#include "control_fleet.hpp"
#include "figure.hpp"

#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

namespace basilreach::measure
{

namespace
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t control_hosts = 3;
constexpr std::size_t daemons = 9;
constexpr std::size_t changes = 200;
constexpr auto change_pause = std::chrono::milliseconds(37);
constexpr std::size_t cut_rounds = 5;
constexpr std::size_t leader_rounds = 5;
constexpr std::size_t restart_changes = 1000;
constexpr auto idle_time = std::chrono::seconds(5);
// A daemon that ended without a goodbye counts for changes until its lease has
// ended, which is 3 s and a margin after its last renewal.
constexpr auto lease_end = std::chrono::milliseconds(3500);
constexpr double mib = 1 << 20;

// The aims of the design.
constexpr double in_force_aim = 250;
constexpr double in_force_cut_aim = 1000;
constexpr double new_leader_aim = 2000;
constexpr double restart_aim = 1000;
constexpr double lease_ms = 3000;

double milliseconds_since(steady::time_point it)
{
    return std::chrono::duration<double, std::milli>(steady::now() - it)
        .count();
}

// Where the logs of all hosts end now.
std::vector<std::size_t> log_ends(deployment const& hosts)
{
    std::vector<std::size_t> out;
    for (std::size_t n = 0; n != hosts.size(); ++n)
        out.push_back(hosts.log(n).size());
    return out;
}

// Milliseconds of the changes that came into force after the given ends.
std::vector<double> new_changes(deployment const& hosts,
                                std::vector<std::size_t> const& ends)
{
    std::vector<double> out;
    for (std::size_t n = 0; n != hosts.size(); ++n)
        for (auto const it : changes_in_force(hosts.log(n).substr(ends[n])))
            out.push_back(it);
    return out;
}

void measure_idle(deployment& hosts,
                  control_fleet const& fleet,
                  std::uint64_t seed)
{
    auto const entry = hosts.start_entry();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    auto const started = steady::now();
    auto const before = fleet.usage();
    auto const cpu = entry->cpu_seconds();
    std::this_thread::sleep_for(idle_time);
    auto const elapsed = milliseconds_since(started) / 1000;
    print_figure("control.bytes_per_daemon",
                 (fleet.usage().bytes - before.bytes) / elapsed / daemons,
                 "B/s", 3000, seed);
    print_figure("control.cpu_per_daemon",
                 (entry->cpu_seconds() - cpu) / elapsed * 100, "%", 1.7, seed);
    print_figure("control.memory_per_daemon", entry->resident_bytes() / mib,
                 "MB", 128, seed);
}

void measure_changes(deployment const& hosts, std::uint64_t seed)
{
    auto const ends = log_ends(hosts);
    console admin(hosts.client_port(0));
    for (std::size_t n = 1; n <= changes; ++n)
    {
        (void)admin.run(withdrawal(n));
        // A change that follows at once carries the commit of the one before to
        // the other control hosts, which hides how long they wait for it.
        std::this_thread::sleep_for(change_pause);
    }
    wait_until([&] { return new_changes(hosts, ends).size() >= changes; },
               milliseconds(5000), milliseconds(50));
    auto const elapsed = new_changes(hosts, ends);
    print_figure("control.in_force_p50", quantile(elapsed, 0.5), "ms",
                 in_force_aim, seed);
    print_figure("control.in_force_p99", quantile(elapsed, 0.99), "ms",
                 in_force_aim, seed);
    print_figure("control.in_force_count", static_cast<double>(elapsed.size()),
                 "changes", changes, seed);
}

void measure_cut(deployment const& hosts,
                 control_fleet& fleet,
                 std::uint64_t seed)
{
    std::vector<double> values;
    console admin(hosts.client_port(0));
    for (std::size_t n = 0; n != cut_rounds; ++n)
    {
        fleet.cut(n, true);
        auto const ends = log_ends(hosts);
        (void)admin.run(withdrawal(10'000 + n));
        wait_until([&] { return !new_changes(hosts, ends).empty(); },
                   milliseconds(6000), milliseconds(20));
        for (auto const it : new_changes(hosts, ends))
            values.push_back(it - lease_ms);
        fleet.cut(n, false);
        fleet.wait_for_leases();
    }
    print_figure("control.in_force_cut_p99", quantile(values, 0.99), "ms",
                 in_force_cut_aim, seed);
}

void measure_new_leader(deployment& hosts, std::uint64_t seed)
{
    std::vector<double> values;
    for (std::size_t n = 0; n != leader_rounds; ++n)
    {
        auto const leader = hosts.wait_for_leader();
        auto const ends = log_ends(hosts);
        auto const started = steady::now();
        hosts.host(leader).kill();
        // Role 3 is the leader's.
        bool const is_led = wait_until(
            [&]
            {
                for (std::size_t it = 0; it != hosts.size(); ++it)
                    if (it != leader && hosts.log(it).substr(ends[it]).find(
                                            "role=3") != std::string::npos)
                        return true;
                return false;
            },
            milliseconds(5000), milliseconds(2));
        values.push_back(milliseconds_since(started));
        if (!is_led)
            std::printf("note=no_leader_within_5_s round=%zu\n", n);
        hosts.start(leader);
        std::this_thread::sleep_for(milliseconds(300));
    }
    print_figure("control.new_leader_p50", quantile(values, 0.5), "ms",
                 new_leader_aim, seed);
    print_figure("control.new_leader_p99", quantile(values, 0.99), "ms",
                 new_leader_aim, seed);
}

void measure_restart(deployment& hosts, std::uint64_t seed)
{
    constexpr std::size_t writers = 4;
    auto const leader = hosts.wait_for_leader();
    std::vector<std::thread> threads;
    for (std::size_t w = 0; w != writers; ++w)
        threads.emplace_back(
            [&hosts, leader, w]
            {
                console admin(hosts.client_port(leader));
                for (std::size_t n = w; n < restart_changes; n += writers)
                    (void)admin.run(withdrawal(100'000 + n));
            });
    for (auto& it : threads)
        it.join();
    auto const digest =
        console(hosts.client_port(leader)).status("control", "state", "digest");
    for (std::size_t n = 0; n != hosts.size(); ++n)
        hosts.host(n).kill();
    auto const ends = log_ends(hosts);
    auto const started = steady::now();
    for (std::size_t n = 0; n != hosts.size(); ++n)
        hosts.start(n);
    // The data directory has been read when a host has started.
    wait_until(
        [&]
        {
            return hosts.log(0).substr(ends[0]).find("event=started") !=
                   std::string::npos;
        },
        milliseconds(5000), milliseconds(2));
    auto const open_time = milliseconds_since(started);
    std::string found;
    wait_until(
        [&]
        {
            found = console(hosts.client_port(0))
                        .status("control", "state", "digest");
            return !found.empty();
        },
        milliseconds(15000), milliseconds(2));
    auto const elapsed = milliseconds_since(started);
    print_figure("control.restart_open", open_time, "ms", restart_aim, seed);
    print_figure("control.restart_1000", elapsed, "ms", restart_aim, seed);
    print_figure("control.restart_same_digest",
                 !digest.empty() && digest == found ? 1 : 0, "bool", 1, seed);
}

} // namespace

int measure_control(std::uint64_t seed)
{
    deployment hosts(control_hosts, R"(["control"])", "");
    (void)hosts.wait_for_leader();
    {
        control_fleet fleet(hosts, daemons);
        fleet.wait_for_leases();
        fleet.wait_for_quiet();
        measure_idle(hosts, fleet, seed);
        std::this_thread::sleep_for(lease_end);
        measure_changes(hosts, seed);
        measure_cut(hosts, fleet, seed);
        measure_new_leader(hosts, seed);
    }
    measure_restart(hosts, seed);
    return 0;
}

} // namespace basilreach::measure
