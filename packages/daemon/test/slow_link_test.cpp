#include "deployment.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include <throttled_relay.hpp>

#include <basilreach/rules/digest.hpp>
#include <basilreach/telemetry/log_output.hpp>

namespace basilreach::daemon
{

namespace
{

using namespace std::chrono_literals;

// The link of the smallest entry host, 2 Mbit/s.
constexpr std::size_t link_bytes_per_second = 250'000;

// Time in which a change must be in force.
constexpr std::chrono::seconds in_force_limit{4};

constexpr std::size_t many_routes = 1'400;

std::string workspace_rules()
{
    return "workspace public rate=50000 burst=10000  # asked by the test: w\n";
}

// Rules of about 380 KB. The comments differ, as those of many owners do.
std::string large_rules()
{
    std::ostringstream out;
    out << workspace_rules();
    for (std::size_t n = 0; n != many_routes; ++n)
        out << "route r" << n << " group=cases class=read open=public  # asked "
            << "by owner-"
            << rules::print_digest(
                   rules::digest_of_key("first" + std::to_string(n)))
            << rules::print_digest(
                   rules::digest_of_key("second" + std::to_string(n)))
            << ": a route\n";
    return out.str();
}

// One control host and an entry host that reaches it over a slow link.
class slow_link_deployment
{
public:
    explicit slow_link_deployment(std::string const& rules)
    {
        auto name =
            (std::filesystem::temp_directory_path() / "slow_link.XXXXXX")
                .string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        directory_ = name;
        std::filesystem::create_directory(directory_ / "log");
        telemetry::set_log_output((directory_ / "log").string(),
                                  telemetry::log_threshold::debug);
        std::ofstream(directory_ / "rules.txt") << rules;
        control_ = std::make_unique<daemon_process>(control_settings());
        relay_ = std::make_unique<throttled_relay>(
            entry_ip() + ":7433", control_address(), link_bytes_per_second);
        entry_ = std::make_unique<daemon_process>(entry_settings());
    }

    ~slow_link_deployment()
    {
        entry_.reset();
        relay_.reset();
        control_.reset();
        telemetry::set_log_output(std::nullopt,
                                  telemetry::log_threshold::error);
        std::error_code ec;
        std::filesystem::remove_all(directory_, ec);
    }

    slow_link_deployment(slow_link_deployment const&) = delete;
    slow_link_deployment& operator=(slow_link_deployment const&) = delete;

    // Returns whether the entry host knows the route.
    [[nodiscard]] bool has_route(std::string const& route) const
    {
        auto const text =
            "hostaddr=" + entry_ip() +
            " port=6432 user=client password=none dbname=" + route;
        client_ptr const c(PQconnectdb(text.c_str()), PQfinish);
        return PQstatus(c.get()) == CONNECTION_OK;
    }

private:
    static std::string control_ip()
    {
        return deployment::ip_of(10);
    }

    static std::string entry_ip()
    {
        return deployment::ip_of(11);
    }

    static std::string control_address()
    {
        return control_ip() + ":7432";
    }

    [[nodiscard]] settings::daemon_settings control_settings() const
    {
        settings::daemon_settings it;
        it.name = daemon_name("control-a");
        it.data_centre = data_centre_name("dc-a");
        it.roles = {settings::daemon_role::control};
        it.data_directory = (directory_ / "data").string();
        std::filesystem::create_directory(*it.data_directory);
        it.client_listen = control_ip() + ":6432";
        it.control_listen = control_address();
        it.durations.drain_period = 0ms;
        it.control_hosts.push_back(
            {it.name, control_address(), it.data_centre});
        it.operator_key = rules::digest_of_key(operator_key);
        it.initial_rules_file = (directory_ / "rules.txt").string();
        return it;
    }

    static settings::daemon_settings entry_settings()
    {
        settings::daemon_settings it;
        it.name = daemon_name("entry-a");
        it.data_centre = data_centre_name("dc-a");
        it.roles = {settings::daemon_role::entry};
        it.client_listen = entry_ip() + ":6432";
        it.durations.drain_period = 0ms;
        it.control_hosts.push_back(
            {daemon_name("control-a"), entry_ip() + ":7433", it.data_centre});
        it.operator_key = rules::digest_of_key(operator_key);
        return it;
    }

    std::filesystem::path directory_;
    std::unique_ptr<daemon_process> control_;
    std::unique_ptr<throttled_relay> relay_;
    std::unique_ptr<daemon_process> entry_;
};

} // namespace

// Guards against an entry host that takes the leader for lost while a large
// update is arriving, closes the link and starts again from nothing, for ever.
TEST_CASE("large rules arrive over the link of a small host")
{
    auto const start = std::chrono::steady_clock::now();
    slow_link_deployment const it(large_rules());
    auto const last = "r" + std::to_string(many_routes - 1);
    CHECK(eventually([&] { return it.has_route(last); }));
    CHECK(std::chrono::steady_clock::now() - start < in_force_limit);
}

} // namespace basilreach::daemon
