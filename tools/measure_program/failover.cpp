#include "figure.hpp"
#include "subcommands.hpp"

#include <algorithm>
#include <vector>

#include <traffic_replay/workload.hpp>

namespace basilreach::measure
{

namespace
{

using namespace std::chrono_literals;
using traffic::replay::simulated_deployment;
using traffic::replay::simulated_deployment_settings;
using traffic::replay::statement_kind;
using traffic::replay::statement_outcome;
using traffic::replay::violation_kind;
using traffic::replay::workload;
using traffic::replay::workload_settings;

constexpr std::uint64_t seed_count = 200;
constexpr workload_settings workload_shape = {24, 10ms, 0.5, 0, 0, 0, 1};
// The server is lost at a random time within one renewal interval of the lease
// from here on.
constexpr instant earliest_loss(1s);
constexpr std::uint64_t renewal_interval_ns = 500'000'000;

struct failover_figures
{
    std::vector<double> gaps_ms;
    std::size_t lost_writes = 0;
    std::size_t superseded_writes = 0;
};

// Returns the time from the loss of the server to the first answer to a write
// that was sent after the loss, in milliseconds. Writes through the isolated
// host do not count. If no such write is answered, the result is the time to
// the end of the run.
double write_gap_ms(workload const& clients,
                    unsigned isolated_host,
                    instant loss,
                    instant end)
{
    instant first = end;
    for (auto const& it : clients.observations())
        if (it.what == statement_kind::write &&
            it.end == statement_outcome::answered && it.began > loss &&
            it.client % 3 != isolated_host)
            first = std::min(first, it.ended);
    return std::chrono::duration<double, std::milli>(first - loss).count();
}

void run(failover_figures& figures, bool is_isolated, std::uint64_t seed)
{
    simulated_deployment_settings settings;
    settings.hosts = 3;
    simulated_deployment deployment(settings, seed);
    workload clients(deployment, settings, workload_shape);
    auto const start =
        earliest_loss + duration(static_cast<duration::rep>(
                            deployment.random.below(renewal_interval_ns)));
    deployment.run(start);
    is_isolated ? deployment.isolate(0, 0) : deployment.lose_server(0);
    deployment.verdict(0, true);
    auto const end = start + settings.lease + 1500ms;
    deployment.run(end);
    figures.gaps_ms.push_back(
        write_gap_ms(clients, is_isolated ? 0 : 3, start, end));
    for (auto const& it : deployment.finish())
    {
        figures.lost_writes +=
            it.kind == violation_kind::acknowledged_lost ? 1 : 0;
        figures.superseded_writes +=
            it.kind == violation_kind::superseded_acknowledged ? 1 : 0;
    }
}

double p99(std::vector<double>& it)
{
    std::sort(it.begin(), it.end());
    return it[it.size() * 99 / 100];
}

} // namespace

int measure_failover(std::uint64_t seed)
{
    failover_figures crash_runs;
    failover_figures isolated_runs;
    for (std::uint64_t n = 0; n != seed_count; ++n)
    {
        run(crash_runs, false, seed * seed_count + n);
        run(isolated_runs, true, seed * seed_count + n);
    }
    simulated_deployment_settings const settings;
    auto const lease =
        std::chrono::duration<double, std::milli>(settings.lease).count();
    print_figure("failover.gap_p99", p99(crash_runs.gaps_ms), "ms", 0, seed);
    print_figure("failover.gap_cut_p99", p99(isolated_runs.gaps_ms) - lease,
                 "ms", 0, seed);
    auto const acknowledged_lost =
        crash_runs.lost_writes + isolated_runs.lost_writes;
    auto const superseded =
        crash_runs.superseded_writes + isolated_runs.superseded_writes;
    print_figure("failover.acknowledged_lost",
                 static_cast<double>(acknowledged_lost), "count", 0, seed);
    print_figure("failover.superseded_acknowledged",
                 static_cast<double>(superseded), "count", 0, seed);
    return acknowledged_lost + superseded == 0 ? 0 : 1;
}

} // namespace basilreach::measure
