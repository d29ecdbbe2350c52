// A promotion with synchronous replicas. The primary of a service with
// sync_replicas 1 is to be replaced. While the provider carries out the
// promotion, the chosen replica receives nothing, and the primary still
// acknowledges the commits of open transactions, because the other replica has
// received them.
#include <algorithm>
#include <atomic>
#include <set>

#include "scenario.hpp"

namespace
{

using namespace review;

constexpr std::size_t session_count = 24;
constexpr int writes_per_transaction = 4;
constexpr double pause_ms = 120;
constexpr double deaf_ms = 4000;

void run_transactions(client_session& session,
                      std::string const& name,
                      std::atomic<bool> const& is_over,
                      std::mutex& mutex,
                      std::set<std::string>& acknowledged)
{
    while (!is_over && session.is_open())
    {
        if (!session.run("BEGIN").is_success())
            return;
        bool is_good = true;
        for (int n = 0; is_good && n != writes_per_transaction; ++n)
        {
            is_good = session.run("WRITE item" + name + ' ' + std::to_string(n))
                          .is_success();
            sleep_ms(pause_ms);
        }
        if (!is_good)
        {
            (void)session.run("ROLLBACK");
            continue;
        }
        auto const it = session.run("COMMIT");
        std::lock_guard const lock(mutex);
        if (it.is_success())
            acknowledged.insert(it.id);
    }
}

verdict run(std::string const& work_directory, bool has_trouble, record& log)
{
    group_settings group;
    group.name = "svca";
    group.server_ips.resize(3);
    group.sync_replicas = 1;
    scenario s(work_directory, 2, {group}, log);
    auto const state = make_desired_state(
        7, json::array({make_route("booking", "primary", "svca")}), {"svca"},
        1);
    if (!s.start(state, {"booking"}))
        return verdict::cannot_run;
    auto& servers = *s.groups[0];
    auto const first = servers.primary();
    std::set<std::string> removed;
    std::string promoted;
    servers.on_promoted = [&](auto const& id, auto const& commits)
    {
        promoted = id;
        removed.insert(commits.begin(), commits.end());
    };
    std::atomic<bool> was_ordered = false;
    s.on_order = [&](auto const&, auto const& id)
    {
        if (!was_ordered.exchange(true) && has_trouble)
            servers.set_deaf(id, true);
    };

    std::atomic<bool> is_over = false;
    std::mutex mutex;
    std::set<std::string> acknowledged;
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n != session_count; ++n)
        threads.emplace_back(
            [&, n]
            {
                auto const name = std::to_string(n);
                auto const session =
                    s.open_session("c" + name, n % 2, "booking");
                run_transactions(*session, name, is_over, mutex, acknowledged);
            });
    sleep_ms(4000);
    servers.start_draining(first);
    sleep_ms(deaf_ms);
    is_over = true;
    for (auto& it : threads)
        it.join();
    if (promoted.empty() || acknowledged.empty())
        return verdict::cannot_run;

    std::size_t lost = 0;
    for (auto const& it : removed)
        if (acknowledged.contains(it))
        {
            ++lost;
            log.report("commit id=" + it + " was acknowledged and is not in " +
                       "the log of the promoted server " + promoted);
        }
    log.report("acknowledged=" + std::to_string(acknowledged.size()) +
               " removed=" + std::to_string(removed.size()) +
               " lost=" + std::to_string(lost));
    return lost == 0 ? verdict::held : verdict::broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
