// Transactions without a statement between BEGIN and COMMIT. One tenant sends
// several times its rate of them, through two entry machines.
#include <algorithm>
#include <atomic>
#include <cstdlib>

#include "scenario.hpp"

namespace
{

using namespace review;

constexpr double rate_per_s = 20;
constexpr double burst = 20;
constexpr double window_ms = 5000;
constexpr double overage = 0.1;
constexpr double slack = 20;
constexpr double load_ms = 15'000;
constexpr std::size_t session_count = 12;

// Runs transactions at the rate, and returns how many succeeded.
int run_transactions(client_session& session, double per_s, bool is_empty)
{
    int out = 0;
    auto const end = now_ms() + load_ms;
    while (session.is_open() && now_ms() < end)
    {
        auto const next = now_ms() + 1000 / per_s;
        if (!session.run("BEGIN").is_success())
            break;
        if (!is_empty && !session.run("READ item").is_success())
            (void)session.run("ROLLBACK");
        else
            out += session.run("COMMIT").is_success() ? 1 : 0;
        sleep_ms(std::max(next - now_ms(), 0.0));
    }
    return out;
}

// Returns the most times that lie in one window.
std::size_t most_in_window(std::vector<double> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t n = 0; n != times.size(); ++n)
    {
        while (times[n] - times[first] >= window_ms)
            ++first;
        most = std::max(most, n - first + 1);
    }
    return most;
}

verdict run(std::string const& work_directory, bool has_trouble, record& log)
{
    group_settings group;
    group.name = "svca";
    group.server_ips.resize(3);
    scenario s(work_directory, 2, {group}, log);
    auto state = make_desired_state(
        7, json::array({make_route("booking", "primary", "svca")}), {"svca"});
    state["tenants"][0]["rate_per_s"] = rate_per_s;
    state["tenants"][0]["burst"] = burst;
    if (!s.start(state, {"booking"}))
        return verdict::cannot_run;
    sleep_ms(2000);
    // With TROUBLE=read each transaction has one statement.
    auto const* const trouble = std::getenv("TROUBLE");
    bool const is_empty = trouble == nullptr || std::string(trouble) != "read";
    double const times_rate = has_trouble ? 5 : 0.5;
    std::atomic<int> succeeded = 0;
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n != session_count; ++n)
        threads.emplace_back(
            [&, n]
            {
                auto const session =
                    s.open_session("c" + std::to_string(n), n % 2, "booking");
                succeeded += run_transactions(
                    *session, times_rate * rate_per_s / session_count,
                    is_empty);
            });
    for (auto& it : threads)
        it.join();
    std::vector<double> times;
    for (auto const& [id, trace] : s.groups[0]->statements())
        if (trace.text == "COMMIT")
            times.push_back(trace.begun_ms);
    auto const most = most_in_window(times);
    auto const allowed =
        (rate_per_s * window_ms / 1000 + burst) * (1 + overage) + slack;
    log.report("transactions: succeeded=" + std::to_string(succeeded) +
               " run=" + std::to_string(times.size()) +
               ", most in 5 s: " + std::to_string(most) + ", allowed " +
               std::to_string(static_cast<int>(allowed)));
    if (succeeded == 0)
        return verdict::cannot_run;
    return static_cast<double>(most) <= allowed ? verdict::held
                                                : verdict::broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
