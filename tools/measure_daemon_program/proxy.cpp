#include "console.hpp"
#include "deployment.hpp"
#include "figure.hpp"
#include "wire_client.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <basilreach/base/name.hpp>

namespace basilreach::measure
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::size_t groups = 2;
// Connections to each group that read, and as many that write.
constexpr std::size_t connections = 6;
constexpr std::size_t round_count = 7;
constexpr auto round_duration = std::chrono::milliseconds(1200);
constexpr std::size_t few_idle_clients = 100;
constexpr std::size_t many_idle_clients = 8000;

// Targets of the design, printed as baselines.
constexpr double min_throughput_ratio = 0.5;
constexpr double max_latency_ratio = 2;
constexpr double min_statements_per_s = 30'000;
constexpr double max_idle_bytes = 8192;

// A client and the statement that it repeats.
struct load_client
{
    wire_target target;
    std::string statement;
    wire_client client;
};

using load_clients = std::vector<std::unique_ptr<load_client>>;

struct load_result
{
    double statements = 0;
    double p50 = 0;
    double p99 = 0;
    std::size_t failures = 0;
};

// Returns names of groups that belong to different traffic threads of a daemon,
// which has as many threads as there are groups.
std::vector<std::string> group_names()
{
    std::vector<std::string> out(groups);
    for (std::size_t n = 0; std::any_of(
             out.begin(), out.end(), [](auto const& it) { return it.empty(); });
         ++n)
    {
        auto const name = "group" + std::to_string(n);
        out[std::hash<group_name>{}(group_name(name)) % groups] = name;
    }
    return out;
}

std::string rules_for(std::vector<std::string> const& names)
{
    std::ostringstream out;
    for (auto const& it : names)
        out << "route read-" << it << " group=" << it
            << " class=read  # asked by developers: measurement\n"
            << "route write-" << it << " group=" << it
            << "  # asked by developers: measurement\nserver_limit " << it
            << " connections=25 slots=25  # asked by developers: "
               "measurement\n";
    return out.str();
}

void add(load_clients& to, wire_target target, std::string statement)
{
    auto it = std::make_unique<load_client>();
    it->target = std::move(target);
    it->statement = std::move(statement);
    if (it->client.open(it->target) && it->client.run(it->statement))
        to.push_back(std::move(it));
    else
        std::printf("note=client_refused database=%s\n",
                    it->target.database.c_str());
}

constexpr char read_statement[] =
    "SELECT value FROM item WHERE key = 'measure'";
constexpr char write_statement[] =
    "UPDATE item SET amount = amount + 1 WHERE key = 'measure'";

load_result run_load(load_clients& clients)
{
    std::vector<std::vector<double>> latencies(clients.size());
    std::atomic<std::size_t> failures = 0;
    std::vector<std::thread> threads;
    auto const started = steady::now();
    auto const deadline = started + round_duration;
    for (std::size_t n = 0; n != clients.size(); ++n)
        threads.emplace_back(
            [&, n]
            {
                auto& it = *clients[n];
                for (auto from = steady::now(); from < deadline;)
                {
                    bool const is_ok = it.client.run(it.statement);
                    auto const now = steady::now();
                    if (!is_ok && ++failures > 1000)
                        return;
                    latencies[n].push_back(
                        std::chrono::duration<double, std::micro>(now - from)
                            .count());
                    from = now;
                }
            });
    for (auto& it : threads)
        it.join();
    auto const elapsed =
        std::chrono::duration<double>(steady::now() - started).count();
    std::vector<double> all;
    for (auto const& it : latencies)
        all.insert(all.end(), it.begin(), it.end());
    return {static_cast<double>(all.size()) / elapsed, quantile(all, 0.5),
            quantile(all, 0.99), failures};
}

void measure_idle(deployment& hosts,
                  std::string const& route,
                  std::uint64_t seed)
{
    std::vector<std::unique_ptr<wire_client>> clients;
    wire_target const target{hosts.client_port(0), route, client_key};
    auto const open_up_to = [&](std::size_t n)
    {
        while (clients.size() < n)
        {
            clients.push_back(std::make_unique<wire_client>());
            if (!clients.back()->open(target))
                std::printf("note=idle_client_refused\n");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        return hosts.host(0).resident_bytes();
    };
    auto const resident_with_few = open_up_to(few_idle_clients);
    auto const resident_with_many = open_up_to(many_idle_clients);
    print_figure("proxy.idle_connection",
                 (resident_with_many - resident_with_few) /
                     static_cast<double>(many_idle_clients - few_idle_clients),
                 "bytes", max_idle_bytes, seed);
}

bool wait_for_groups(deployment const& hosts,
                     std::vector<std::string> const& names)
{
    console admin(hosts.client_port(0));
    return wait_until(
        [&]
        {
            for (auto const& it : names)
                if (admin.status("group", it, "phase") != "serving" ||
                    admin.status("group", it, "primary") != it + "-a")
                    return false;
            return true;
        },
        std::chrono::seconds(10), std::chrono::milliseconds(50));
}

} // namespace

int measure_proxy(std::uint64_t seed)
{
    auto const names = group_names();
    deployment hosts(1, R"(["entry", "control"])", rules_for(names));
    (void)hosts.wait_for_leader();
    std::vector<std::vector<std::uint16_t>> servers;
    servers.reserve(names.size());
    for (auto const& it : names)
        servers.push_back(hosts.start_group(it));
    if (!wait_for_groups(hosts, names))
        std::printf("note=primary_is_not_the_first_server\n");
    measure_idle(hosts, "read-" + names[0], seed);

    load_clients direct;
    load_clients proxied;
    for (std::size_t g = 0; g != groups; ++g)
    {
        add(direct, {servers[g][0], "postgres", backend_password},
            "INSERT INTO item (key, value) VALUES ('measure', 'x')");
        direct.pop_back();
        for (std::size_t n = 0; n != connections; ++n)
        {
            // The first server is the primary, the others are replicas.
            add(direct, {servers[g][1 + n % 2], "postgres", backend_password},
                read_statement);
            add(direct, {servers[g][0], "postgres", backend_password},
                write_statement);
            add(proxied, {hosts.client_port(0), "read-" + names[g], client_key},
                read_statement);
            add(proxied,
                {hosts.client_port(0), "write-" + names[g], client_key},
                write_statement);
        }
    }
    std::vector<double> throughput;
    std::vector<double> p50;
    std::vector<double> p99;
    std::vector<double> statements;
    std::vector<double> direct_statements;
    std::vector<double> direct_p50;
    std::vector<double> cpu;
    std::size_t failures = 0;
    for (std::size_t n = 0; n != round_count; ++n)
    {
        auto const direct_result = run_load(direct);
        auto const cpu_before = hosts.host(0).cpu_seconds();
        auto const proxied_result = run_load(proxied);
        cpu.push_back((hosts.host(0).cpu_seconds() - cpu_before) * 1e6 /
                      (proxied_result.statements * 1.2));
        throughput.push_back(proxied_result.statements /
                             direct_result.statements);
        p50.push_back(proxied_result.p50 / direct_result.p50);
        p99.push_back(proxied_result.p99 / direct_result.p99);
        statements.push_back(proxied_result.statements);
        direct_statements.push_back(direct_result.statements);
        direct_p50.push_back(direct_result.p50);
        failures += direct_result.failures + proxied_result.failures;
    }
    auto const print = [seed](char const* name, std::vector<double> const& it,
                              char const* unit, double baseline)
    {
        print_figure(name, quantile(it, 0.5), unit, baseline, seed);
    };
    print("proxy.throughput_ratio", throughput, "", min_throughput_ratio);
    print("proxy.p50_ratio", p50, "", max_latency_ratio);
    print("proxy.p99_ratio", p99, "", max_latency_ratio);
    print("proxy.statements", statements, "1/s", min_statements_per_s);
    print("proxy.direct_statements", direct_statements, "1/s", 0);
    print("proxy.direct_p50", direct_p50, "us", 0);
    print("proxy.cpu_per_statement", cpu, "us", 0);
    print_figure("proxy.failures", static_cast<double>(failures), "statements",
                 0, seed);
    return 0;
}

} // namespace basilreach::measure
