#include "figure.hpp"
#include "subcommands.hpp"

#include <array>
#include <string>

#include <traffic_replay/workload.hpp>

namespace basilreach::measure
{

namespace
{

using namespace std::chrono_literals;
using traffic::read_policy;
using traffic::replay::simulated_deployment;
using traffic::replay::simulated_deployment_settings;
using traffic::replay::statement_kind;
using traffic::replay::workload;
using traffic::replay::workload_settings;

struct lag_case
{
    char const* name;
    duration lag;
    std::optional<duration> max_age;
    duration span;
};

constexpr std::array lag_cases = {
    lag_case{"lag_1ms", 1ms, {}, 20s},
    lag_case{"lag_20ms", 20ms, {}, 20s},
    lag_case{"lag_200ms", 200ms, {}, 20s},
    lag_case{"lag_10s", 10s, {}, 40s},
    lag_case{"lag_10s_age_15s", 10s, 15s, 40s},
};

// 48 clients: 6 in each of 8 workspaces, on 3 hosts. Of 100 statements 3 are
// writes; before 1 the client moves to another host, and before 1 it also
// starts without its session token.
constexpr workload_settings workload_shape = {48, 40ms, 0.03, 0, 0.01, 0.01, 1};

struct read_figures
{
    double replica_percent = 0;
    double p99 = 0;
    std::size_t violations = 0;
};

read_figures run(lag_case const& it, read_policy policy, std::uint64_t seed)
{
    simulated_deployment_settings settings;
    settings.hosts = 3;
    settings.workspaces = 8;
    settings.lag = it.lag;
    settings.max_age = it.max_age;
    settings.engine.reads = policy;
    simulated_deployment deployment(settings, seed);
    workload clients(deployment, settings, workload_shape);
    deployment.run(instant(it.span));
    auto const counts = deployment.counts();
    read_figures out;
    auto const reads = counts.reads_at_replicas + counts.reads_at_primaries;
    out.replica_percent = 100 * static_cast<double>(counts.reads_at_replicas) /
                          static_cast<double>(reads);
    out.p99 = clients.quantile(0.99, statement_kind::read);
    out.violations = deployment.finish().size();
    return out;
}

} // namespace

int measure_reads(std::uint64_t seed)
{
    std::size_t violations = 0;
    for (auto const& it : lag_cases)
    {
        auto const suffix = std::string(".") + it.name;
        auto const by_position = run(it, read_policy::session_position, seed);
        auto const after_write =
            run(it, read_policy::primary_after_write, seed);
        auto const primary = run(it, read_policy::primary_only, seed);
        violations += by_position.violations;
        print_figure("reads.replica_share" + suffix,
                     by_position.replica_percent, "%",
                     after_write.replica_percent, seed);
        print_figure("reads.p99" + suffix, by_position.p99, "ms", primary.p99,
                     seed);
        print_figure("reads.violations" + suffix,
                     static_cast<double>(by_position.violations), "count",
                     static_cast<double>(after_write.violations), seed);
    }
    return violations == 0 ? 0 : 1;
}

} // namespace basilreach::measure
