#include "scenario.hpp"

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <unistd.h>

namespace review
{

scenario::scenario(std::string work_directory,
                   std::size_t entry_machines,
                   std::vector<group_settings> settings,
                   record& log)
    : log_(log)
{
    auto const block = deployment::choose_block();
    if (block.empty())
        return;
    provider_ = std::make_unique<listener>(
        block + ".200", 0, [this](int handle) { serve_provider(handle); });
    machines = std::make_unique<deployment>(
        std::move(work_directory), entry_machines, provider_->address(), log);
    int next_ip = 101;
    for (auto& it : settings)
    {
        for (auto& ip : it.server_ips)
            ip = block + '.' + std::to_string(next_ip++);
        for (std::size_t n = 0; n != 3; ++n)
            it.control_addresses.push_back(machines->control_address(n));
        groups.push_back(std::make_unique<database_group>(it, log));
    }
}

scenario::~scenario()
{
    machines.reset();
    if (provider_)
        provider_->stop();
    groups.clear();
}

bool scenario::start(json const& desired_state,
                     std::vector<std::string> databases)
{
    if (!machines || !machines->start() || !machines->put(desired_state))
        return false;
    for (auto& it : groups)
        it->start_reports();
    if (!machines->wait_until_ready())
        return false;
    constexpr double limit_ms = 20'000;
    auto const deadline = now_ms() + limit_ms;
    for (auto const& database : databases)
        for (bool is_served = false; !is_served;)
        {
            if (now_ms() > deadline)
                return false;
            auto const session = open_session("warm-up", 0, database);
            is_served = session->is_open() &&
                        session->run("WRITE warm-up 1").is_success();
            if (!is_served)
                sleep_ms(200);
        }
    return true;
}

std::unique_ptr<client_session> scenario::open_session(
    std::string const& name, std::size_t entry, std::string const& database)
{
    return std::make_unique<client_session>(
        name, machines->front_address(entry), database, key_of_tenant, log_);
}

void scenario::serve_provider(int handle)
{
    constexpr double limit_ms = 5000;
    connection peer(handle);
    auto const request = peer.read_line(limit_ms);
    std::size_t length = 0;
    std::uint64_t fence = 0;
    std::string holder;
    for (auto line = peer.read_line(limit_ms); line && !line->empty();
         line = peer.read_line(limit_ms))
    {
        if (line->starts_with("Content-Length: "))
            length = std::stoul(line->substr(16));
        if (line->starts_with("Basilreach-Fencing-Token: "))
            fence = std::stoull(line->substr(26));
        if (line->starts_with("Basilreach-Lease-Holder: "))
            holder = line->substr(25);
    }
    auto const body = json::parse(peer.read(length, limit_ms), nullptr, false);
    if (!request || !request->starts_with("POST /failover") ||
        !body.is_object())
        return;
    auto const service = body.value("service", "");
    auto const id = body.value("id", "");
    log_.write("order /failover service=" + service + " id=" + id +
               " fence=" + std::to_string(fence) + " holder=" + holder);
    if (on_order)
        on_order(service, id);
    int status = 409;
    for (auto& it : groups)
        if (it->name() == service)
            status = it->promote(id, fence);
    log_.write("order answered status=" + std::to_string(status));
    peer.send("HTTP/1.1 " + std::to_string(status) +
              " Done\r\nContent-Length: 0\r\n\r\n");
}

json make_route(std::string const& database,
                std::string const& type,
                std::string const& service)
{
    json out{{"name", "r-" + database}, {"database", database},
             {"path_prefix", "/"},      {"type", type},
             {"timeout_ms", 2000},      {"target_latency_ms", 500},
             {"priority", 1},           {"service", service},
             {"max_attempts", 2},       {"public", false}};
    if (type == "bounded_staleness")
        out["max_staleness_ms"] = 1500;
    if (type == "read_your_writes")
        out["max_staleness_ms"] = 2500;
    return out;
}

json make_desired_state(int version,
                        json const& routes,
                        std::vector<std::string> const& services,
                        int sync_replicas)
{
    json rows = json::array();
    for (auto const& it : services)
        rows.push_back({{"name", it},
                        {"health_check_path", "/health"},
                        {"max_connections", 46},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"sync_replicas", sync_replicas}});
    return {{"version", version},
            {"routes", routes},
            {"services", rows},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000},
              {"tx_idle_ms", 3000}}},
            {"tenants",
             {{{"name", "nypu920"},
               {"api_keys", {key_of_tenant}},
               {"priority", 1},
               {"rate_per_s", 2000},
               {"burst", 2000}}}}};
}

int run_case(int argc,
             char** argv,
             std::function<verdict(std::string const& work_directory,
                                   bool has_trouble,
                                   record& log)> const& body)
{
    constexpr double limit_ms = 110'000;
    if (argc != 2)
        return static_cast<int>(verdict::cannot_run);
    std::string const folder = argv[1];
    record log(folder + "/record.txt");
    auto directory =
        (std::filesystem::temp_directory_path() / "review.XXXXXX").string();
    if (mkdtemp(directory.data()) == nullptr)
        return static_cast<int>(verdict::cannot_run);
    auto const* const trouble = std::getenv("TROUBLE");
    bool const has_trouble = trouble == nullptr || std::string(trouble) != "0";
    std::thread(
        []
        {
            sleep_ms(limit_ms);
            // The processes end with this one.
            _exit(static_cast<int>(verdict::cannot_run));
        })
        .detach();
    auto const out = body(directory, has_trouble, log);
    constexpr std::array<char const*, 3> texts{
        "the rule held", "the rule was broken", "the case could not run"};
    log.report(texts.at(static_cast<std::size_t>(out)));
    std::error_code ec;
    if (std::getenv("REVIEW_KEEP") == nullptr)
        std::filesystem::remove_all(directory, ec);
    else
        std::cout << directory << std::endl;
    return static_cast<int>(out);
}

} // namespace review
