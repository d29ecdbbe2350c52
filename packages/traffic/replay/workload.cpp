#include <traffic_replay/workload.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace basilreach::traffic::replay
{

using namespace std::chrono_literals;

workload::workload(simulated_deployment& deployment,
                   simulated_deployment_settings const& s,
                   workload_settings settings)
    : deployment_(deployment), host_count_(s.hosts),
      workspace_count_(s.workspaces), settings_(settings)
{
    deployment_.on_finished = [this](unsigned client, statement_outcome end)
    {
        auto& it = current_[client];
        it.ended = deployment_.now();
        it.end = end;
        observations_.push_back(it);
        schedule_next(client);
    };
    for (unsigned n = 0; n != settings_.clients; ++n)
    {
        current_.emplace_back();
        schedule_next(
            deployment_.add_client(n % host_count_, n % workspace_count_));
    }
}

void workload::schedule_next(unsigned client)
{
    auto const rate_factor =
        client % workspace_count_ == 0 ? settings_.first_workspace_rate : 1;
    auto const mean = std::chrono::duration<double>(settings_.pause);
    deployment_.at(deployment_.now() + deployment_.random.exponential(
                                           rate_factor / mean.count()),
                   [this, client] { issue_next(client); });
}

statement_kind workload::choose_statement(unsigned client)
{
    auto const n = deployment_.random.unit();
    if (deployment_.is_in_transaction(client))
        return n < 0.5 ? statement_kind::commit : statement_kind::write;
    if (n < settings_.transaction_fraction)
        return statement_kind::begin;
    return n < settings_.transaction_fraction + settings_.write_fraction
               ? statement_kind::write
               : statement_kind::read;
}

void workload::issue_next(unsigned client)
{
    // No more statements are issued once the simulation is finished.
    if (!deployment_.on_finished || deployment_.is_busy(client))
        return;
    auto const n = deployment_.random.unit();
    if (n < settings_.new_session_fraction + settings_.move_fraction)
    {
        bool const without_token = n < settings_.new_session_fraction;
        deployment_.move_client(
            client,
            static_cast<unsigned>(deployment_.random.below(host_count_)),
            without_token);
    }
    auto const what = choose_statement(client);
    current_[client] = {what, client, deployment_.now(), {}, {}};
    deployment_.issue(client, what);
}

double workload::quantile(double p, statement_kind what) const
{
    std::vector<duration> times;
    for (auto const& it : observations_)
        if (it.what == what)
            times.push_back(it.ended - it.began);
    if (times.empty())
        return 0;
    auto const at =
        times.begin() +
        static_cast<std::ptrdiff_t>(p * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), at, times.end());
    return std::chrono::duration<double, std::milli>(*at).count();
}

namespace
{

constexpr unsigned fault_count = 6;
constexpr duration fault_span = 6s;

struct random_fault
{
    simulated_deployment& deployment;
    unsigned server;
    unsigned host;
    bool random_bit;
};

// The health verdict of a lost server is reported at once.
void lose_server(random_fault const& it)
{
    it.deployment.lose_server(it.server);
    it.deployment.verdict(it.server, true);
}

void crash_and_restart_server(random_fault const& it)
{
    it.deployment.lose_server(it.server);
    it.deployment.restart_server(it.server);
}

void isolate(random_fault const& it)
{
    it.deployment.isolate(it.server, it.host);
    it.deployment.verdict(it.server, true);
}

void silence(random_fault const& it)
{
    it.deployment.silence(it.server, it.random_bit);
}

void lose_connections(random_fault const& it)
{
    it.deployment.lose_connections(it.server);
}

void delay_answers(random_fault const& it)
{
    it.deployment.delay_answers(it.server, 1500ms);
}

void lag(random_fault const& it)
{
    it.deployment.set_lag(it.server, it.random_bit ? 50ms : 8s);
}

void lose_host(random_fault const& it)
{
    // Host 0 is never lost, so that one host remains.
    if (it.host != 0)
        it.deployment.lose_host(it.host);
}

void lose_primary(random_fault const& it)
{
    auto const server = it.deployment.primary().value_or(it.server);
    it.deployment.lose_server(server);
    it.deployment.verdict(server, true);
}

void isolate_primary(random_fault const& it)
{
    auto const server = it.deployment.primary().value_or(it.server);
    it.deployment.isolate(server, it.host);
    it.deployment.verdict(server, true);
}

void false_verdict(random_fault const& it)
{
    it.deployment.verdict(it.server, true);
}

constexpr std::array faults = {&lose_server,
                               &crash_and_restart_server,
                               &isolate,
                               &silence,
                               &lose_connections,
                               &delay_answers,
                               &lag,
                               &lose_host,
                               &lose_primary,
                               &isolate_primary,
                               &false_verdict};

void repair(simulated_deployment& deployment)
{
    deployment.heal();
    for (unsigned n = 0; n != simulated_deployment::server_count; ++n)
    {
        deployment.restart_server(n);
        deployment.delay_answers(n, {});
        deployment.verdict(n, false);
    }
}

} // namespace

std::vector<violation> run_random(std::uint64_t seed,
                                  simulated_deployment_settings settings)
{
    settings.hosts = 3;
    simulated_deployment deployment(settings, seed);
    workload_settings const load{12, 20ms, 0.3, 0.1, 0.05, 0.02, 1};
    workload clients(deployment, settings, load);
    deployment.run(instant(200ms));
    for (unsigned n = 0; n != fault_count; ++n)
    {
        random_fault const it{
            deployment,
            static_cast<unsigned>(
                deployment.random.below(simulated_deployment::server_count)),
            static_cast<unsigned>(deployment.random.below(settings.hosts)),
            deployment.random.unit() < 0.5};
        faults[deployment.random.below(faults.size())](it);
        auto const pause = static_cast<std::uint64_t>(
            duration(2 * fault_span / fault_count).count());
        deployment.run(deployment.now() + duration(static_cast<duration::rep>(
                                              deployment.random.below(pause))));
        // Without a repair, the next fault occurs while this one persists.
        if (deployment.random.unit() < 0.7)
            repair(deployment);
    }
    return deployment.finish();
}

} // namespace basilreach::traffic::replay
