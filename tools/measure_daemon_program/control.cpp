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
constexpr auto change_interval = std::chrono::milliseconds(37);
constexpr std::size_t isolation_rounds = 5;
constexpr std::size_t leader_rounds = 5;
constexpr std::size_t restart_changes = 1000;
constexpr auto idle_duration = std::chrono::seconds(5);
// A change waits for a daemon that was killed until the daemon's lease has
// expired, 3 s and a margin after the last renewal.
constexpr auto lease_expiry = std::chrono::milliseconds(3500);
constexpr double mib = 1 << 20;

// Targets of the design, printed as baselines.
constexpr double in_force_target_ms = 250;
constexpr double in_force_isolated_target_ms = 1000;
constexpr double new_leader_target_ms = 2000;
constexpr double restart_target_ms = 1000;
constexpr double lease_ms = 3000;

double milliseconds_since(steady::time_point it)
{
    return std::chrono::duration<double, std::milli>(steady::now() - it)
        .count();
}

// Returns the current sizes of the logs of all hosts.
std::vector<std::size_t> log_sizes(deployment const& hosts)
{
    std::vector<std::size_t> out;
    for (std::size_t n = 0; n != hosts.size(); ++n)
        out.push_back(hosts.log(n).size());
    return out;
}

// Returns the times until changes were in force, in milliseconds, for the
// changes logged after the logs had the given sizes.
std::vector<double> new_changes_ms(deployment const& hosts,
                                   std::vector<std::size_t> const& sizes_before)
{
    std::vector<double> out;
    for (std::size_t n = 0; n != hosts.size(); ++n)
        for (auto const it :
             changes_in_force_ms(hosts.log(n).substr(sizes_before[n])))
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
    std::this_thread::sleep_for(idle_duration);
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
    auto const sizes_before = log_sizes(hosts);
    console admin(hosts.client_port(0));
    for (std::size_t n = 1; n <= changes; ++n)
    {
        (void)admin.run(withdraw_key_command(n));
        // Without a pause the next change would carry the commit index of this
        // one to the other control hosts, and the figure would not include the
        // time that they usually wait for it.
        std::this_thread::sleep_for(change_interval);
    }
    wait_until(
        [&] { return new_changes_ms(hosts, sizes_before).size() >= changes; },
        milliseconds(5000), milliseconds(50));
    auto const elapsed = new_changes_ms(hosts, sizes_before);
    print_figure("control.in_force_p50", quantile(elapsed, 0.5), "ms",
                 in_force_target_ms, seed);
    print_figure("control.in_force_p99", quantile(elapsed, 0.99), "ms",
                 in_force_target_ms, seed);
    print_figure("control.in_force_count", static_cast<double>(elapsed.size()),
                 "changes", changes, seed);
}

void measure_isolated_daemon(deployment const& hosts,
                             control_fleet& fleet,
                             std::uint64_t seed)
{
    std::vector<double> values;
    console admin(hosts.client_port(0));
    for (std::size_t n = 0; n != isolation_rounds; ++n)
    {
        fleet.set_isolated(n, true);
        auto const sizes_before = log_sizes(hosts);
        (void)admin.run(withdraw_key_command(10'000 + n));
        wait_until([&] { return !new_changes_ms(hosts, sizes_before).empty(); },
                   milliseconds(6000), milliseconds(20));
        for (auto const it : new_changes_ms(hosts, sizes_before))
            values.push_back(it - lease_ms);
        fleet.set_isolated(n, false);
        fleet.wait_for_leases();
    }
    print_figure("control.in_force_cut_p99", quantile(values, 0.99), "ms",
                 in_force_isolated_target_ms, seed);
}

void measure_new_leader(deployment& hosts, std::uint64_t seed)
{
    std::vector<double> values;
    for (std::size_t n = 0; n != leader_rounds; ++n)
    {
        auto const leader = hosts.wait_for_leader();
        auto const sizes_before = log_sizes(hosts);
        auto const started = steady::now();
        hosts.host(leader).kill();
        // The log gives the role as a number; 3 is the leader.
        bool const has_new_leader = wait_until(
            [&]
            {
                for (std::size_t it = 0; it != hosts.size(); ++it)
                    if (it != leader &&
                        hosts.log(it).substr(sizes_before[it]).find("role=3") !=
                            std::string::npos)
                        return true;
                return false;
            },
            milliseconds(5000), milliseconds(2));
        values.push_back(milliseconds_since(started));
        if (!has_new_leader)
            std::printf("note=no_leader_within_5_s round=%zu\n", n);
        hosts.start(leader);
        std::this_thread::sleep_for(milliseconds(300));
    }
    print_figure("control.new_leader_p50", quantile(values, 0.5), "ms",
                 new_leader_target_ms, seed);
    print_figure("control.new_leader_p99", quantile(values, 0.99), "ms",
                 new_leader_target_ms, seed);
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
                    (void)admin.run(withdraw_key_command(100'000 + n));
            });
    for (auto& it : threads)
        it.join();
    auto const digest_before =
        console(hosts.client_port(leader)).status("control", "state", "digest");
    for (std::size_t n = 0; n != hosts.size(); ++n)
        hosts.host(n).kill();
    auto const sizes_before = log_sizes(hosts);
    auto const started = steady::now();
    for (std::size_t n = 0; n != hosts.size(); ++n)
        hosts.start(n);
    // A host logs event=started after it has read its data directory.
    wait_until(
        [&]
        {
            return hosts.log(0).substr(sizes_before[0]).find("event=started") !=
                   std::string::npos;
        },
        milliseconds(5000), milliseconds(2));
    auto const open_ms = milliseconds_since(started);
    std::string digest_after;
    wait_until(
        [&]
        {
            digest_after = console(hosts.client_port(0))
                               .status("control", "state", "digest");
            return !digest_after.empty();
        },
        milliseconds(15000), milliseconds(2));
    auto const elapsed = milliseconds_since(started);
    print_figure("control.restart_open", open_ms, "ms", restart_target_ms,
                 seed);
    print_figure("control.restart_1000", elapsed, "ms", restart_target_ms,
                 seed);
    print_figure("control.restart_same_digest",
                 !digest_before.empty() && digest_before == digest_after ? 1
                                                                         : 0,
                 "bool", 1, seed);
}

} // namespace

int measure_control(std::uint64_t seed)
{
    deployment hosts(control_hosts, R"(["control"])", "");
    (void)hosts.wait_for_leader();
    {
        control_fleet fleet(hosts, daemons);
        fleet.wait_for_leases();
        fleet.wait_for_stable_state();
        measure_idle(hosts, fleet, seed);
        std::this_thread::sleep_for(lease_expiry);
        measure_changes(hosts, seed);
        measure_isolated_daemon(hosts, fleet, seed);
        measure_new_leader(hosts, seed);
    }
    measure_restart(hosts, seed);
    return 0;
}

} // namespace basilreach::measure
