#include <basilreach/stand_in/server_loop.hpp>

#include <cstdint>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

DEFINE_string(group, "group", "name of the database group");
DEFINE_string(ports, "0,0,0", "port of each server, 0 for any free port");
DEFINE_string(servers, "a,b,c", "name of each server");
DEFINE_string(data_centres, "dc-a,dc-b,dc-c", "data centre of each server");
DEFINE_uint32(lag_ms, 0, "replication lag of each server");
DEFINE_uint32(slots, 3, "statements that run at the same time on a server");
DEFINE_uint32(connection_limit,
              25,
              "maximum number of connections to a server");
DEFINE_uint32(connection_cost_ms, 10, "duration of an authentication");
DEFINE_uint32(statement_cost_us, 0, "time that a statement occupies a slot");
DEFINE_uint32(received_limit_mib, 256, "received bytes kept for SHOW RECEIVED");
DEFINE_string(user, "basilreach", "user name of the proxy");
DEFINE_string(password, "", "password of the proxy");
DEFINE_string(announce, "", "addresses of admin consoles, as IP:PORT,...");
DEFINE_string(operator_key_file, "", "file that holds the operator key");

namespace
{

std::vector<std::string> split(std::string const& text)
{
    std::vector<std::string> parts;
    std::istringstream input{text};
    for (std::string part; std::getline(input, part, ',');)
        parts.push_back(part);
    return parts;
}

template <class Name>
std::vector<Name> split_names(std::string const& text)
{
    std::vector<Name> parts;
    for (auto& it : split(text))
        parts.emplace_back(std::move(it));
    return parts;
}

} // namespace

int main(int argc, char* argv[])
{
    namespace stand_in = basilreach::stand_in;
    gflags::SetUsageMessage("simulated database group for tests");
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    stand_in::group_settings settings;
    settings.group = basilreach::group_name{FLAGS_group};
    settings.servers = split_names<basilreach::server_name>(FLAGS_servers);
    settings.lag = std::chrono::milliseconds{FLAGS_lag_ms};
    settings.slots = FLAGS_slots;
    settings.connection_limit = FLAGS_connection_limit;
    settings.connection_cost =
        std::chrono::milliseconds{FLAGS_connection_cost_ms};
    settings.statement_cost =
        std::chrono::microseconds{FLAGS_statement_cost_us};
    settings.received_limit = std::size_t{FLAGS_received_limit_mib} << 20U;
    settings.user = FLAGS_user;
    settings.password = FLAGS_password;

    std::vector<std::uint16_t> ports;
    for (auto const& it : split(FLAGS_ports))
        ports.push_back(
            static_cast<std::uint16_t>(std::strtoul(it.c_str(), nullptr, 10)));

    stand_in::announcement announce;
    announce.consoles = split(FLAGS_announce);
    announce.data_centres =
        split_names<basilreach::data_centre_name>(FLAGS_data_centres);
    if (!FLAGS_operator_key_file.empty())
    {
        std::ifstream file{FLAGS_operator_key_file};
        if (!std::getline(file, announce.operator_key))
        {
            std::cerr << "cannot read " << FLAGS_operator_key_file << '\n';
            return 1;
        }
    }
    if (settings.servers.empty() || settings.slots == 0 ||
        ports.size() != settings.servers.size() ||
        announce.data_centres.size() != settings.servers.size())
    {
        std::cerr << "each server needs a name, a port and a data centre, and "
                     "at least one slot\n";
        return 1;
    }

    auto const servers = settings.servers;
    auto const loop =
        stand_in::server_loop::open(std::move(settings), ports, announce);
    if (!loop)
    {
        std::cerr << "cannot listen\n";
        return 1;
    }
    for (std::size_t n = 0; n != servers.size(); ++n)
        std::cout << "listening " << servers[n]
                  << " 127.0.0.1:" << loop.value()->ports()[n] << '\n';
    std::cout.flush();
    loop.value()->run();
    return 0;
}
