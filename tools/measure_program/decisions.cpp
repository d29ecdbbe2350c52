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

// Counts the program's allocations.
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

// Statements of one tick, and ticks of one measurement.
constexpr std::size_t active = 8;
constexpr std::size_t ticks = 20'000;
constexpr std::size_t warm_up = 1'000;
constexpr log_position reached{1, 10};

// Processor time of this thread, in microseconds.
double processor_time()
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

struct cost
{
    // Microseconds of processor time for a tick.
    double tick = 0;
    double allocations = 0;
};

// Reads of sessions that take turns, each answered in the next tick.
struct driver
{
    engine it;
    std::size_t sessions;
    instant now{};
    std::size_t next = 0;
    std::vector<connection_id> sent;

    explicit driver(std::size_t n)
        : it(engine_settings{.data_centre = data_centre_name("a"),
                             .initial_connections = active,
                             .limits_enabled = false}),
          sessions(n)
    {
        it.push(control_changed{std::make_shared<control_view>(make_view())});
        it.push(lease_changed{instant(1h)});
        run();
        for (std::size_t id = 0; id != n; ++id)
        {
            session_opened event;
            event.session = session_id{id};
            event.route = route_name("lookup");
            event.workspace = workspace_name("w");
            event.key = key_digest{1};
            event.position = reached;
            it.push(event);
        }
        run();
    }

    void run()
    {
        now += 1ms;
        for (auto const& a : it.tick(now))
        {
            if (auto const* open = std::get_if<open_connection>(&a))
                it.push(connection_opened{open->connection});
            else if (auto const* ask = std::get_if<query_position>(&a))
                it.push(position_observed{ask->connection, reached});
            else if (auto const* send = std::get_if<send_statement>(&a))
                sent.push_back(send->connection);
        }
    }

    void answer_and_send()
    {
        for (auto const connection : sent)
            it.push(answer_received{connection, false, transaction_status::idle,
                                    reached});
        sent.clear();
        for (std::size_t n = 0; n != active; ++n)
        {
            next = (next + 1) % sessions;
            it.push(
                statement_received{session_id{next}, statement_verb::other});
        }
        run();
    }
};

cost measure_ticks(std::size_t sessions)
{
    driver it(sessions);
    for (std::size_t n = 0; n != warm_up; ++n)
        it.answer_and_send();
    auto const allocated = allocations;
    auto const began = processor_time();
    for (std::size_t n = 0; n != ticks; ++n)
        it.answer_and_send();
    return {(processor_time() - began) / ticks,
            static_cast<double>(allocations - allocated) / ticks};
}

// The least of several runs is the one that other processes disturbed least.
cost measure_least(std::size_t sessions)
{
    constexpr int runs = 3;
    auto least = measure_ticks(sessions);
    for (int n = 1; n != runs; ++n)
        least.tick = std::min(least.tick, measure_ticks(sessions).tick);
    return least;
}

} // namespace

int measure_decisions(std::uint64_t seed)
{
    auto const small = measure_least(1'000);
    auto const large = measure_least(100'000);
    print_figure("decisions.route", small.tick / active, "us", 0, seed);
    print_figure("decisions.route_allocations", small.allocations / active,
                 "count", 0, seed);
    print_figure("decisions.tick_growth", large.tick / small.tick, "ratio", 1,
                 seed);
    return 0;
}

} // namespace basilreach::measure
