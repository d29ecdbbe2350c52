// Statements of open transactions at a planned stop. Clients run transactions
// with pauses between the statements, and keep using their open connections
// while the entry machine stops.
#include <algorithm>
#include <atomic>
#include <map>

#include "scenario.hpp"

namespace
{

using namespace review;

constexpr std::size_t service_count = 3;
constexpr std::size_t session_count = 90;
constexpr int statements_per_transaction = 12;
constexpr double pause_ms = 300;
constexpr double work_ms = 45;
// The time over which the clients start, about that of one transaction.
constexpr double start_ms = 4500;
constexpr double grace_ms = 6000;
constexpr double route_timeout_ms = 2000;

struct cut_request
{
    client_answer answer;
    std::string text;
};

// Runs transactions until the connection ends, and returns the request that was
// cut, if there is one.
std::vector<cut_request> run_transactions(client_session& session,
                                          std::string const& name,
                                          std::atomic<bool> const& is_over)
{
    std::vector<cut_request> out;
    auto const run = [&](std::string const& text)
    {
        auto const it = session.run(text);
        if (it.is_cut)
            out.push_back({it, text});
        return it.is_success();
    };
    while (!is_over && session.is_open())
    {
        if (!run("BEGIN"))
            return out;
        for (int n = 0; n != statements_per_transaction; ++n)
        {
            sleep_ms(pause_ms);
            if (!run(n % 3 == 0 ? "WRITE item" + name + ' ' + std::to_string(n)
                                : "READ item" + name))
                return out;
        }
        if (!run("COMMIT"))
            return out;
    }
    return out;
}

verdict run(std::string const& work_directory, bool has_trouble, record& log)
{
    std::vector<group_settings> groups(service_count);
    json routes = json::array();
    std::vector<std::string> services;
    std::vector<std::string> databases;
    for (std::size_t n = 0; n != service_count; ++n)
    {
        services.push_back("svc" + std::to_string(n));
        databases.push_back("db" + std::to_string(n));
        groups[n].name = services.back();
        groups[n].server_ips.resize(3);
        groups[n].work_ms = work_ms;
        routes.push_back(
            make_route(databases.back(), "primary", services.back()));
    }
    scenario s(work_directory, 2, groups, log);
    if (!s.start(make_desired_state(7, routes, services), databases))
        return verdict::cannot_run;

    std::atomic<bool> is_over = false;
    std::mutex mutex;
    std::vector<cut_request> cut;
    std::vector<std::thread> threads;
    std::atomic<std::size_t> opened = 0;
    for (std::size_t n = 0; n != session_count; ++n)
        threads.emplace_back(
            [&, n]
            {
                // The clients do not all start at once.
                sleep_ms(static_cast<double>(n) * start_ms / session_count);
                auto const name = std::to_string(n);
                auto const session =
                    s.open_session("c" + name, 0, databases[n % service_count]);
                opened += session->is_open() ? 1 : 0;
                auto const it = run_transactions(*session, name, is_over);
                std::lock_guard const lock(mutex);
                cut.insert(cut.end(), it.begin(), it.end());
            });
    sleep_ms(start_ms + 1000);
    auto const stop_ms = now_ms();
    if (has_trouble)
    {
        s.machines->terminate("front-0");
        s.machines->wait_for_end("front-0", grace_ms);
    }
    else
        sleep_ms(grace_ms);
    is_over = true;
    for (auto& it : threads)
        it.join();
    if (opened < session_count / 2)
        return verdict::cannot_run;

    std::map<std::string, statement_trace> traces;
    for (auto const& it : s.groups)
        traces.merge(it->statements());
    std::size_t broken = 0;
    for (auto const& it : cut)
    {
        auto const trace = traces.find(it.answer.id);
        bool const was_passed_on = trace != traces.end();
        auto const held_ms = it.answer.received_ms - it.answer.sent_ms;
        bool const is_in_time = held_ms < route_timeout_ms;
        // The server was still at work in the last sixth of the grace period,
        // on a request that was sent no later than 3 s after the SIGTERM.
        bool const is_excused =
            it.answer.sent_ms <= stop_ms + grace_ms / 2 &&
            it.answer.received_ms >= stop_ms + grace_ms * 5 / 6;
        bool const counts = was_passed_on && is_in_time && !is_excused;
        broken += counts ? 1 : 0;
        log.report(
            "cut id=" + it.answer.id + " \"" + it.text + "\" sent " +
            std::to_string(static_cast<int>(it.answer.sent_ms - stop_ms)) +
            " ms after the SIGTERM, passed on: " +
            (was_passed_on ? "yes, to " + trace->second.server : "no") +
            ", cut after " + std::to_string(static_cast<int>(held_ms)) + " ms" +
            (counts ? "" : " (does not count)"));
    }
    log.report("sessions=" + std::to_string(session_count) +
               " cut=" + std::to_string(cut.size()) +
               " broken=" + std::to_string(broken));
    return broken == 0 ? verdict::held : verdict::broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
