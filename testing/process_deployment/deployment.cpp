#include "deployment.hpp"

#include "console.hpp"

#include <filesystem>
#include <sstream>

#include <basilreach/rules/digest.hpp>

namespace basilreach::measure
{

namespace
{

std::string const build_directory = BASILREACH_BUILD_DIR;

std::string hexadecimal(rules::key_digest const& it)
{
    constexpr char digits[] = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned mask = 15;
    std::string out;
    for (auto const byte : it)
    {
        auto const n = static_cast<unsigned>(byte);
        out += digits[n >> bits_per_digit];
        out += digits[n & mask];
    }
    return out;
}

std::string host_name(std::size_t n)
{
    return "host-" + std::to_string(n);
}

std::string loopback_address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

deployment::deployment(std::size_t n,
                       std::string roles,
                       std::string const& rules,
                       host_options options)
    : roles_(std::move(roles)), options_(std::move(options))
{
    auto const ports = free_ports(2 * n);
    client_ports_.assign(ports.begin(),
                         ports.begin() + static_cast<std::ptrdiff_t>(n));
    control_ports_.assign(ports.begin() + static_cast<std::ptrdiff_t>(n),
                          ports.end());
    write_file(directory() + "/operator.key", std::string(operator_key) + '\n');
    write_file(directory() + "/credential.json",
               R"({"user": "basilreach", "password": ")" +
                   std::string(backend_password) + "\"}");
    write_file(directory() + "/rules",
               "workspace callers rate=1000000 burst=1000000  # asked by "
               "developers: measurement\nkey callers sha256=" +
                   hexadecimal(rules::digest_of_key(client_key)) +
                   "  # asked by developers: measurement\n" + rules);
    hosts_.resize(n);
    for (std::size_t it = 0; it != n; ++it)
    {
        write_settings(host_name(it), roles_, client_ports_[it],
                       control_ports_[it]);
        start(it);
    }
}

void deployment::write_settings(std::string const& name,
                                std::string const& roles,
                                std::uint16_t client_port,
                                std::uint16_t control_port) const
{
    auto const base = directory() + '/' + name;
    std::filesystem::create_directory(base);
    std::filesystem::create_directory(base + "/data");
    std::ostringstream out;
    out << '{' << options_.settings << R"("name": ")" << name
        << R"(", "data_centre": "dc-0", "roles": )" << roles
        << R"(, "client_listen": ")" << loopback_address(client_port) << '"';
    if (control_port != 0)
        out << R"(, "data_directory": ")" << base
            << R"(/data", "control_listen": ")"
            << loopback_address(control_port) << R"(", "initial_rules_file": ")"
            << directory() << "/rules\"";
    out << R"(, "control_hosts": [)";
    for (std::size_t n = 0; n != control_ports_.size(); ++n)
        out << (n == 0 ? "" : ", ") << R"({"name": ")" << host_name(n)
            << R"(", "address": ")" << loopback_address(control_ports_[n])
            << R"(", "data_centre": "dc-0"})";
    out << R"(], "operator_key_sha256": ")"
        << hexadecimal(rules::digest_of_key(operator_key))
        << R"(", "backend_credential_file": ")" << directory()
        << R"(/credential.json", "log": {"directory": ")" << base << "\"}}\n";
    write_file(base + "/settings.json", out.str());
}

void deployment::start(std::size_t n)
{
    auto const base = directory() + '/' + host_name(n);
    std::vector<std::string> args;
    if (options_.descriptors != 0)
        args = {"/bin/sh", "-c",
                "ulimit -n " + std::to_string(options_.descriptors) +
                    R"(; exec "$0" "$@")"};
    args.push_back(build_directory + "/packages/daemon/basilreachd");
    args.push_back("--settings=" + base + "/settings.json");
    hosts_[n] =
        std::make_unique<child_process>(std::move(args), base + "/output");
}

std::unique_ptr<child_process> deployment::start_entry()
{
    write_settings("entry", R"(["entry"])", free_ports(1).front(), 0);
    auto const base = directory() + "/entry";
    return std::make_unique<child_process>(
        std::vector<std::string>{build_directory +
                                     "/packages/daemon/basilreachd",
                                 "--settings=" + base + "/settings.json"},
        base + "/output");
}

std::string deployment::log(std::size_t n) const
{
    return read_file(directory() + '/' + host_name(n) + "/basilreachd.log");
}

std::optional<std::size_t> deployment::find_leader() const
{
    for (std::size_t n = 0; n != size(); ++n)
    {
        auto const name =
            console(client_ports_[n]).status("control", "leader", "name");
        for (std::size_t it = 0; it != size(); ++it)
            if (name.starts_with(host_name(it) + '='))
                return it;
    }
    return std::nullopt;
}

std::size_t deployment::wait_for_leader() const
{
    std::optional<std::size_t> out;
    wait_until(
        [&]
        {
            out = find_leader();
            return out.has_value();
        },
        std::chrono::seconds(15), std::chrono::milliseconds(20));
    return out.value_or(0);
}

settings::daemon_settings
deployment::entry_settings(std::string const& name) const
{
    settings::daemon_settings out;
    out.name = daemon_name(name);
    out.data_centre = data_centre_name("dc-0");
    out.roles = {settings::daemon_role::entry};
    for (std::size_t n = 0; n != size(); ++n)
        out.control_hosts.push_back({daemon_name(host_name(n)),
                                     loopback_address(control_ports_[n]),
                                     data_centre_name("dc-0")});
    return out;
}

std::vector<std::uint16_t> deployment::start_group(std::string const& name)
{
    std::string consoles;
    for (auto const port : client_ports_)
        consoles += (consoles.empty() ? "" : ",") + loopback_address(port);
    auto const output = directory() + "/group-" + name;
    groups_.push_back(std::make_unique<child_process>(
        std::vector<std::string>{
            build_directory + "/testing/stand_in/basilreach_stand_in",
            "--group=" + name, "--ports=0,0,0",
            "--servers=" + name + "-a," + name + "-b," + name + "-c",
            "--data_centres=dc-0,dc-0,dc-0", "--user=basilreach",
            "--password=" + std::string(backend_password), "--slots=25",
            "--received_limit_mib=0", "--connection_limit=60",
            "--announce=" + consoles,
            "--operator_key_file=" + directory() + "/operator.key"},
        output));
    std::vector<std::uint16_t> ports;
    wait_until(
        [&]
        {
            ports.clear();
            std::istringstream lines(read_file(output));
            for (std::string line; std::getline(lines, line);)
                ports.push_back(static_cast<std::uint16_t>(std::strtoul(
                    line.substr(line.rfind(':') + 1).c_str(), nullptr, 10)));
            return ports.size() == 3;
        },
        std::chrono::seconds(5), std::chrono::milliseconds(5));
    return ports;
}

std::vector<double> changes_in_force_ms(std::string const& log)
{
    constexpr std::string_view field = "elapsed_us=";
    constexpr double us_per_ms = 1000;
    std::vector<double> out;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);)
        if (line.find("event=change_in_force") != std::string::npos)
            out.push_back(
                std::strtod(line.c_str() + line.find(field) + field.size(),
                            nullptr) /
                us_per_ms);
    return out;
}

} // namespace basilreach::measure
