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

constexpr std::uint64_t seeds = 200;
constexpr workload_settings load = {24, 10ms, 0.5, 0, 0, 0, 1};
// The first loss; it falls at any time between two renewals of the lease.
constexpr instant earliest(1s);
constexpr std::uint64_t renewal = 500'000'000;

struct failover_figures
{
    std::vector<double> gaps;
    std::size_t lost = 0;
    std::size_t superseded = 0;
};

// Returns the time from the verdict until a write that a client sent after it
// is answered, in milliseconds. Writes at another host than the isolated one
// count; a group that never serves again counts with the whole run.
double
gap_of(workload const& clients, unsigned isolated, instant loss, instant end)
{
    instant first = end;
    for (auto const& it : clients.observations())
        if (it.what == statement_kind::write &&
            it.end == statement_outcome::answered && it.began > loss &&
            it.client % 3 != isolated)
            first = std::min(first, it.ended);
    return std::chrono::duration<double, std::milli>(first - loss).count();
}

void run(failover_figures& to, bool is_cut, std::uint64_t seed)
{
    simulated_deployment_settings settings;
    settings.hosts = 3;
    simulated_deployment w(settings, seed);
    workload clients(w, settings, load);
    auto const start =
        earliest +
        duration(static_cast<duration::rep>(w.random.below(renewal)));
    w.run(start);
    is_cut ? w.isolate(0, 0) : w.lose_server(0);
    w.verdict(0, true);
    auto const end = start + settings.lease + 1500ms;
    w.run(end);
    to.gaps.push_back(gap_of(clients, is_cut ? 0 : 3, start, end));
    for (auto const& it : w.finish())
    {
        to.lost += it.kind == violation_kind::acknowledged_lost ? 1 : 0;
        to.superseded +=
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
    failover_figures lost;
    failover_figures cut;
    for (std::uint64_t n = 0; n != seeds; ++n)
    {
        run(lost, false, seed * seeds + n);
        run(cut, true, seed * seeds + n);
    }
    simulated_deployment_settings const settings;
    auto const lease =
        std::chrono::duration<double, std::milli>(settings.lease).count();
    print_figure("failover.gap_p99", p99(lost.gaps), "ms", 0, seed);
    print_figure("failover.gap_cut_p99", p99(cut.gaps) - lease, "ms", 0, seed);
    auto const acknowledged_lost = lost.lost + cut.lost;
    auto const superseded = lost.superseded + cut.superseded;
    print_figure("failover.acknowledged_lost",
                 static_cast<double>(acknowledged_lost), "count", 0, seed);
    print_figure("failover.superseded_acknowledged",
                 static_cast<double>(superseded), "count", 0, seed);
    return acknowledged_lost + superseded == 0 ? 0 : 1;
}

} // namespace basilreach::measure
