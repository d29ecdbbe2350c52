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
// Together the workspaces use this part of the slots at their own rates.
constexpr double load = 0.5;
constexpr double own_rate = load * slots / service_seconds / workspaces;
constexpr double flood = 5;
constexpr duration length = std::chrono::seconds(120);
constexpr duration patience = std::chrono::milliseconds(500);

struct statement
{
    unsigned workspace;
    instant arrived;
    duration service;
};

// The queues that are compared: each accepts statements and gives the next.
struct fair_order
{
    limits::fair_queue<statement> queue{{1000, slots}};

    void push(statement const& it, instant now)
    {
        // A statement that is refused does not count as answered.
        (void)queue.push(workspace_name("w" + std::to_string(it.workspace)), 1,
                         now + patience, it, now);
    }

    std::optional<statement> pop(instant now)
    {
        queue.tick(now);
        return queue.pop();
    }

    void served(duration service)
    {
        queue.record_service(1, service);
    }
};

struct arrival_order
{
    std::deque<statement> queue;

    void push(statement const& it, instant /*now*/)
    {
        queue.push_back(it);
    }

    std::optional<statement> pop(instant now)
    {
        while (!queue.empty() && queue.front().arrived + patience <= now)
            queue.pop_front();
        if (queue.empty())
            return std::nullopt;
        auto const it = queue.front();
        queue.pop_front();
        return it;
    }

    void served(duration /*service*/)
    {
    }
};

// Arrival times and service times of a workspace, the same in every run.
std::vector<statement>
statements_of(unsigned workspace, double rate, std::uint64_t seed)
{
    random_source random(seed * workspaces + workspace);
    std::vector<statement> all;
    for (instant at{}; at < instant(length);)
    {
        at += random.exponential(rate);
        all.push_back({workspace, at, random.exponential(1 / service_seconds)});
    }
    return all;
}

// Returns the p99 of the response times of each workspace, in milliseconds.
template <class Queue>
std::vector<double> run(std::vector<statement> const& arrivals)
{
    Queue queue;
    simulation events;
    unsigned busy = 0;
    std::vector<std::vector<double>> times(workspaces);
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
                          queue.served(it.service);
                          times[it.workspace].push_back(
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
    events.run(instant(length) + std::chrono::seconds(10));
    std::vector<double> p99;
    for (auto& it : times)
    {
        std::sort(it.begin(), it.end());
        p99.push_back(it.empty() ? 0 : it[it.size() * 99 / 100]);
    }
    return p99;
}

// Returns the worst ratio of a workspace's p99 beside the flood to its p99
// alone.
template <class Queue>
double worst_ratio(std::uint64_t seed)
{
    std::vector<statement> all;
    for (unsigned n = 0; n != workspaces; ++n)
    {
        auto const rate = n == 0 ? flood * own_rate : own_rate;
        auto const some = statements_of(n, rate, seed);
        all.insert(all.end(), some.begin(), some.end());
    }
    auto const together = run<Queue>(all);
    double worst = 0;
    for (unsigned n = 1; n != workspaces; ++n)
    {
        auto const alone = run<Queue>(statements_of(n, own_rate, seed));
        worst = std::max(worst, together[n] / alone[n]);
    }
    return worst;
}

} // namespace

int measure_fairness(std::uint64_t seed)
{
    print_figure("fairness.worst_p99_ratio", worst_ratio<fair_order>(seed), "1",
                 worst_ratio<arrival_order>(seed), seed);
    return 0;
}

} // namespace basilreach::measure
