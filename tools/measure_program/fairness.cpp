#include "figure.hpp"
#include "subcommands.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <basilreach/limits/fair_queue.hpp>

#include <simulation.hpp>

namespace basilreach::measure
{

namespace
{

using limits::replay::random_source;
using limits::replay::simulation;

constexpr unsigned workspaces = 8;
constexpr unsigned slots = 3;
constexpr double service_seconds = 0.002;
// Fraction of the slots that the workspaces use together at their base rates.
constexpr double utilization = 0.5;
constexpr double base_rate = utilization * slots / service_seconds / workspaces;
// The first workspace sends this multiple of its base rate.
constexpr double flood_factor = 5;
constexpr duration run_length = std::chrono::seconds(120);
constexpr duration queue_timeout = std::chrono::milliseconds(500);

struct statement
{
    unsigned workspace;
    instant arrived;
    duration service;
};

// The two queue policies that are compared, with the same interface.
struct fair_policy
{
    limits::fair_queue<statement> queue{{1000, slots}};

    void push(statement const& it, instant now)
    {
        // Refused statements have no response time, so the result is ignored.
        (void)queue.push(workspace_name("w" + std::to_string(it.workspace)), 1,
                         now + queue_timeout, it, now);
    }

    std::optional<statement> pop(instant now)
    {
        queue.tick(now);
        return queue.pop();
    }

    void record_service(duration service)
    {
        queue.record_service(1, service);
    }
};

struct fifo_policy
{
    std::deque<statement> queue;

    void push(statement const& it, instant /*now*/)
    {
        queue.push_back(it);
    }

    std::optional<statement> pop(instant now)
    {
        while (!queue.empty() && queue.front().arrived + queue_timeout <= now)
            queue.pop_front();
        if (queue.empty())
            return std::nullopt;
        auto const it = queue.front();
        queue.pop_front();
        return it;
    }

    void record_service(duration /*service*/)
    {
    }
};

// Returns statements of a workspace with random arrival and service times. They
// are the same for equal arguments, so that runs can be compared.
std::vector<statement>
make_statements(unsigned workspace, double rate, std::uint64_t seed)
{
    random_source random(seed * workspaces + workspace);
    std::vector<statement> all;
    for (instant at{}; at < instant(run_length);)
    {
        at += random.exponential(rate);
        all.push_back({workspace, at, random.exponential(1 / service_seconds)});
    }
    return all;
}

// Returns the p99 response time of each workspace, in milliseconds.
template <class Policy>
std::vector<double> run(std::vector<statement> const& arrivals)
{
    Policy queue;
    simulation events;
    unsigned busy = 0;
    std::vector<std::vector<double>> response_times_ms(workspaces);
    std::function<void()> const serve = [&]
    {
        while (busy != slots)
        {
            auto const it = queue.pop(events.now());
            if (!it)
                return;
            ++busy;
            events.at(events.now() + it->service,
                      [&, it = *it]
                      {
                          --busy;
                          queue.record_service(it.service);
                          response_times_ms[it.workspace].push_back(
                              std::chrono::duration<double, std::milli>(
                                  events.now() - it.arrived)
                                  .count());
                          serve();
                      });
        }
    };
    for (auto const& it : arrivals)
        events.at(it.arrived,
                  [&]
                  {
                      queue.push(it, events.now());
                      serve();
                  });
    events.run(instant(run_length) + std::chrono::seconds(10));
    std::vector<double> p99;
    for (auto& it : response_times_ms)
    {
        std::sort(it.begin(), it.end());
        p99.push_back(it.empty() ? 0 : it[it.size() * 99 / 100]);
    }
    return p99;
}

// Returns the greatest ratio of a workspace's p99 with the flood of the first
// workspace to its p99 when it runs alone.
template <class Policy>
double worst_p99_ratio(std::uint64_t seed)
{
    std::vector<statement> all;
    for (unsigned n = 0; n != workspaces; ++n)
    {
        auto const rate = n == 0 ? flood_factor * base_rate : base_rate;
        auto const statements = make_statements(n, rate, seed);
        all.insert(all.end(), statements.begin(), statements.end());
    }
    auto const with_flood = run<Policy>(all);
    double worst = 0;
    for (unsigned n = 1; n != workspaces; ++n)
    {
        auto const alone = run<Policy>(make_statements(n, base_rate, seed));
        worst = std::max(worst, with_flood[n] / alone[n]);
    }
    return worst;
}

} // namespace

int measure_fairness(std::uint64_t seed)
{
    print_figure("fairness.worst_p99_ratio", worst_p99_ratio<fair_policy>(seed),
                 "1", worst_p99_ratio<fifo_policy>(seed), seed);
    return 0;
}

} // namespace basilreach::measure
