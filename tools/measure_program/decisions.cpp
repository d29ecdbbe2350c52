#include "figure.hpp"
#include "subcommands.hpp"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <new>
#include <variant>
#include <vector>

#include <basilreach/traffic/engine.hpp>

namespace
{

std::uint64_t allocations = 0;

} // namespace

// Counts the allocations of the program.
void* operator new(std::size_t size)
{
    ++allocations;
    if (auto* const it = std::malloc(size))
        return it;
    std::abort();
}

void operator delete(void* it) noexcept
{
    std::free(it);
}

void operator delete(void* it, std::size_t /*size*/) noexcept
{
    std::free(it);
}

namespace basilreach::measure
{

namespace
{

using namespace std::chrono_literals;
using traffic::answer_received;
using traffic::connection_id;
using traffic::connection_opened;
using traffic::control_changed;
using traffic::control_view;
using traffic::engine;
using traffic::engine_settings;
using traffic::group_view;
using traffic::key_digest;
using traffic::lease_changed;
using traffic::open_connection;
using traffic::position_observed;
using traffic::query_position;
using traffic::send_statement;
using traffic::server_view;
using traffic::session_id;
using traffic::session_opened;
using traffic::statement_received;
using traffic::statement_verb;
using traffic::transaction_status;

constexpr std::size_t statements_per_tick = 8;
constexpr std::size_t measured_ticks = 20'000;
constexpr std::size_t warm_up_ticks = 1'000;
constexpr log_position current_position{1, 10};

// Returns the CPU time of this thread, in microseconds.
double thread_cpu_us()
{
    timespec it{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) * 1e6 +
           static_cast<double>(it.tv_nsec) / 1e3;
}

control_view make_view()
{
    control_view view;
    view.revision = 1;
    rules::route_rule route;
    route.group = group_name("g");
    route.kind = rules::route_class::read;
    view.routes.emplace(route_name("lookup"), route);
    view.keys.emplace(key_digest{1}, workspace_name("w"));
    for (auto const* name : {"s1", "s2", "s3"})
        view.servers.emplace(
            server_name(name),
            server_view{group_name("g"), data_centre_name("a"), name});
    view.groups.emplace(group_name("g"), group_view{1, server_name("s1"), 3});
    return view;
}

struct tick_cost
{
    // CPU time, in microseconds.
    double tick = 0;
    double allocations = 0;
};

// Drives an engine with reads from the sessions in turn, a fixed number per
// tick. Each read is answered in the next tick.
struct load_driver
{
    engine engine_under_test;
    std::size_t sessions;
    instant now{};
    std::size_t next_session = 0;
    std::vector<connection_id> sent_on;

    explicit load_driver(std::size_t n)
        : engine_under_test(
              engine_settings{.data_centre = data_centre_name("a"),
                              .initial_connections = statements_per_tick,
                              .limits_enabled = false}),
          sessions(n)
    {
        engine_under_test.push(
            control_changed{std::make_shared<control_view>(make_view())});
        engine_under_test.push(lease_changed{instant(1h)});
        run();
        for (std::size_t id = 0; id != n; ++id)
        {
            session_opened event;
            event.session = session_id{id};
            event.route = route_name("lookup");
            event.workspace = workspace_name("w");
            event.key = key_digest{1};
            event.positions = {{group_name("g"), current_position}};
            engine_under_test.push(event);
        }
        run();
    }

    void run()
    {
        now += 1ms;
        for (auto const& a : engine_under_test.tick(now))
        {
            if (auto const* open = std::get_if<open_connection>(&a))
                engine_under_test.push(connection_opened{open->connection});
            else if (auto const* query = std::get_if<query_position>(&a))
                engine_under_test.push(
                    position_observed{query->connection, current_position});
            else if (auto const* send = std::get_if<send_statement>(&a))
                sent_on.push_back(send->connection);
        }
    }

    void run_tick()
    {
        for (auto const connection : sent_on)
            engine_under_test.push(answer_received{
                connection, false, transaction_status::idle, current_position});
        sent_on.clear();
        for (std::size_t n = 0; n != statements_per_tick; ++n)
        {
            next_session = (next_session + 1) % sessions;
            engine_under_test.push(statement_received{session_id{next_session},
                                                      statement_verb::other});
        }
        run();
    }
};

tick_cost measure_ticks(std::size_t sessions)
{
    load_driver it(sessions);
    for (std::size_t n = 0; n != warm_up_ticks; ++n)
        it.run_tick();
    auto const allocations_before = allocations;
    auto const cpu_before = thread_cpu_us();
    for (std::size_t n = 0; n != measured_ticks; ++n)
        it.run_tick();
    return {(thread_cpu_us() - cpu_before) / measured_ticks,
            static_cast<double>(allocations - allocations_before) /
                measured_ticks};
}

// Returns the shortest tick time of several runs, to reduce the influence of
// other processes.
tick_cost measure_minimum(std::size_t sessions)
{
    constexpr int runs = 3;
    auto minimum = measure_ticks(sessions);
    for (int n = 1; n != runs; ++n)
        minimum.tick = std::min(minimum.tick, measure_ticks(sessions).tick);
    return minimum;
}

} // namespace

int measure_decisions(std::uint64_t seed)
{
    auto const few_sessions = measure_minimum(1'000);
    auto const many_sessions = measure_minimum(100'000);
    print_figure("decisions.route", few_sessions.tick / statements_per_tick,
                 "us", 0, seed);
    print_figure("decisions.route_allocations",
                 few_sessions.allocations / statements_per_tick, "count", 0,
                 seed);
    print_figure("decisions.tick_growth",
                 many_sessions.tick / few_sessions.tick, "ratio", 1, seed);
    return 0;
}

} // namespace basilreach::measure
