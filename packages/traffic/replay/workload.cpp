#include <traffic_replay/workload.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace basilreach::traffic::replay
{

using namespace std::chrono_literals;

workload::workload(simulated_deployment& w,
                   simulated_deployment_settings const& s,
                   workload_settings settings)
    : world_(w), hosts_(s.hosts), workspaces_(s.workspaces), settings_(settings)
{
    world_.on_finished = [this](unsigned client, statement_outcome end)
    {
        auto& it = current_[client];
        it.ended = world_.now();
        it.end = end;
        observations_.push_back(it);
        pause(client);
    };
    for (unsigned n = 0; n != settings_.clients; ++n)
    {
        current_.emplace_back();
        pause(world_.add_client(n % hosts_, n % workspaces_));
    }
}

void workload::pause(unsigned client)
{
    auto const faster =
        client % workspaces_ == 0 ? settings_.first_workspace : 1;
    auto const mean = std::chrono::duration<double>(settings_.pause);
    world_.at(world_.now() + world_.random.exponential(faster / mean.count()),
              [this, client] { next(client); });
}

statement_kind workload::choose(unsigned client)
{
    auto const n = world_.random.unit();
    if (world_.is_in_transaction(client))
        return n < 0.5 ? statement_kind::commit : statement_kind::write;
    if (n < settings_.transaction_share)
        return statement_kind::begin;
    return n < settings_.transaction_share + settings_.write_share
               ? statement_kind::write
               : statement_kind::read;
}

void workload::next(unsigned client)
{
    // The world takes no more statements once it is finished.
    if (!world_.on_finished || world_.is_busy(client))
        return;
    auto const n = world_.random.unit();
    if (n < settings_.fresh_share + settings_.move_share)
    {
        bool const afresh = n < settings_.fresh_share;
        world_.move_client(
            client, static_cast<unsigned>(world_.random.below(hosts_)), afresh);
    }
    auto const what = choose(client);
    current_[client] = {what, client, world_.now(), {}, {}};
    world_.issue(client, what);
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

constexpr unsigned random_faults = 6;
constexpr duration random_span = 6s;

struct random_fault
{
    simulated_deployment& w;
    unsigned server;
    unsigned host;
    bool coin;
};

// A server that is down or cut off is repaired before the next fault, but the
// verdict may come at any time.
void lose_server(random_fault const& it)
{
    it.w.lose_server(it.server);
    it.w.verdict(it.server, true);
}

void lose_server_for_a_moment(random_fault const& it)
{
    it.w.lose_server(it.server);
    it.w.restart_server(it.server);
}

void isolate(random_fault const& it)
{
    it.w.isolate(it.server, it.host);
    it.w.verdict(it.server, true);
}

void silence(random_fault const& it)
{
    it.w.silence(it.server, it.coin);
}

void lose_connections(random_fault const& it)
{
    it.w.lose_connections(it.server);
}

void delay_answers(random_fault const& it)
{
    it.w.delay_answers(it.server, 1500ms);
}

void lag(random_fault const& it)
{
    it.w.set_lag(it.server, it.coin ? 50ms : 8s);
}

void lose_host(random_fault const& it)
{
    // The last host stays.
    if (it.host != 0)
        it.w.lose_host(it.host);
}

void lose_primary(random_fault const& it)
{
    auto const server = it.w.primary().value_or(it.server);
    it.w.lose_server(server);
    it.w.verdict(server, true);
}

void isolate_primary(random_fault const& it)
{
    auto const server = it.w.primary().value_or(it.server);
    it.w.isolate(server, it.host);
    it.w.verdict(server, true);
}

void false_verdict(random_fault const& it)
{
    it.w.verdict(it.server, true);
}

constexpr std::array faults = {&lose_server,
                               &lose_server_for_a_moment,
                               &isolate,
                               &silence,
                               &lose_connections,
                               &delay_answers,
                               &lag,
                               &lose_host,
                               &lose_primary,
                               &isolate_primary,
                               &false_verdict};

void repair(simulated_deployment& w)
{
    w.heal();
    for (unsigned n = 0; n != simulated_deployment::server_count; ++n)
    {
        w.restart_server(n);
        w.delay_answers(n, {});
        w.verdict(n, false);
    }
}

} // namespace

std::vector<violation> run_random(std::uint64_t seed,
                                  simulated_deployment_settings settings)
{
    settings.hosts = 3;
    simulated_deployment w(settings, seed);
    workload_settings const load{12, 20ms, 0.3, 0.1, 0.05, 0.02, 1};
    workload clients(w, settings, load);
    w.run(instant(200ms));
    for (unsigned n = 0; n != random_faults; ++n)
    {
        random_fault const it{
            w,
            static_cast<unsigned>(
                w.random.below(simulated_deployment::server_count)),
            static_cast<unsigned>(w.random.below(settings.hosts)),
            w.random.unit() < 0.5};
        faults[w.random.below(faults.size())](it);
        auto const pause = static_cast<std::uint64_t>(
            duration(2 * random_span / random_faults).count());
        w.run(w.now() +
              duration(static_cast<duration::rep>(w.random.below(pause))));
        if (w.random.unit() < 0.7)
            repair(w);
    }
    return w.finish();
}

} // namespace basilreach::traffic::replay
