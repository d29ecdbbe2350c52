#ifndef BASILREACH_SETTINGS_DAEMON_SETTINGS_HPP
#define BASILREACH_SETTINGS_DAEMON_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/rules/rule_set.hpp>

namespace basilreach::settings
{

enum class daemon_role : std::uint8_t
{
    entry,
    control
};

// What callers and backend servers speak.
enum class statement_protocol : std::uint8_t
{
    postgresql,
    // Lines of words; its codec comes with the deployment that uses it.
    lines
};

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

struct control_host_settings
{
    daemon_name name;
    // IP number and port.
    std::string address;
    data_centre_name data_centre;

    friend bool operator==(control_host_settings const&,
                           control_host_settings const&) = default;
};

struct duration_settings
{
    duration control_lease = std::chrono::seconds{3};
    duration lease_renewal = std::chrono::milliseconds{500};
    // A request that is not answered within this time ends as "not run" or
    // "outcome unknown".
    duration request_timeout = std::chrono::seconds{5};
    // A read that a replica does not answer within this time is tried at
    // another server.
    duration read_try_timeout = std::chrono::seconds{1};
    // How long a read waits for a replica that lacks the session's position.
    duration replica_wait = std::chrono::milliseconds{2};
    // How long a statement waits for a token of its workspace's rate.
    duration token_wait = std::chrono::milliseconds{1200};
    // Idle time after which a connection is probed before it is used again.
    duration probe_after = std::chrono::seconds{5};
    // After a stop request, the listener stays open for this time so that the
    // load balancer notices first.
    duration drain_period = std::chrono::seconds{5};
    // Open transactions may use this time after the listener closed.
    duration drain_deadline = std::chrono::seconds{30};
    // Connection shares of a lost host stay reserved for this time after its
    // lease, because its server connections may still be open. A new leader
    // also waits for it when a daemon has just restarted; with 10 s, a restart
    // of all control hosts left that daemon without connections for 13 s.
    duration lost_host_hold = std::chrono::seconds{2};
    duration election_timeout_min = std::chrono::milliseconds{300};
    duration election_timeout_max = std::chrono::milliseconds{600};
    duration heartbeat = std::chrono::milliseconds{75};
    // Time without a report after which a server that reports itself is taken
    // for down.
    duration server_silence = std::chrono::seconds{3};

    friend bool operator==(duration_settings const&,
                           duration_settings const&) = default;
};

struct limit_settings
{
    // Requests that wait for one workspace.
    std::uint32_t queue_per_workspace = 1000;
    // Bytes of the largest message of a caller.
    std::uint32_t message_bytes = 16 * 1024 * 1024;
    // How those who check a workspace's rate count it: what runs in a window
    // may exceed rate and burst by a share and by a number of statements. The
    // leader hands this out as additional burst, because tokens that wait at
    // one host are not there for another.
    double rate_window_s = 0;
    double rate_overage = 0;
    double rate_slack = 0;
    // Part of a workspace's rate and burst that all hosts which are out of
    // contact with the leader may use together, in equal parts. A host out of
    // contact does not learn of a smaller rate.
    double floor_rate = 0.2;
    double floor_burst = 0.2;

    friend bool operator==(limit_settings const&,
                           limit_settings const&) = default;
};

struct log_settings
{
    // Absent for standard error.
    std::optional<std::string> directory;
    log_level level = log_level::info;

    friend bool operator==(log_settings const&, log_settings const&) = default;
};

// Everything that a daemon learns from its settings file.
struct daemon_settings
{
    daemon_name name;
    data_centre_name data_centre;
    std::set<daemon_role> roles;
    // Present when the control role is on.
    std::optional<std::string> data_directory;
    std::uint32_t traffic_threads = 2;
    // IP number and port for callers and for the admin console.
    std::string client_listen;
    // IP number and port for other daemons; present when the control role is
    // on.
    std::optional<std::string> control_listen;
    std::vector<control_host_settings> control_hosts;
    // Addresses of some control hosts, where the list is not given. Only the
    // IP numbers count; other daemons are reached at `peer_port`.
    std::vector<std::string> seeds;
    std::uint32_t peer_port = 0;
    // Whether an empty data directory starts a new cluster of the listed
    // control hosts; otherwise the host waits to be added.
    bool first_start = true;
    statement_protocol protocol = statement_protocol::postgresql;
    // IP number and port for the readiness check of a load balancer, over HTTP.
    std::optional<std::string> readiness_listen;
    // IP number and port for operators and reporting servers, over HTTP.
    std::optional<std::string> operator_listen;
    // IP number and port for the metrics, as text over HTTP.
    std::optional<std::string> metrics_listen;
    // IP number and port of the service that carries out promotions, for
    // groups whose servers check terms.
    std::optional<std::string> promotion_service;
    // Whether keyed statements run while no control lease is held.
    bool serve_without_lease = false;
    rules::key_digest operator_key{};
    // Path of a JSON file with the user and the password at backend servers;
    // present when the entry role is on.
    std::optional<std::string> backend_credential_file;
    // Database name at backend servers.
    std::string backend_database = "postgres";
    std::string positions_query =
        "SELECT term, position FROM basilreach.position()";
    // Used once, when the control state is empty.
    std::optional<std::string> initial_rules_file;
    duration_settings durations;
    limit_settings limits;
    log_settings log;

    friend bool operator==(daemon_settings const&,
                           daemon_settings const&) = default;
};

// The system's own credential at backend servers.
struct backend_credential
{
    std::string user;
    std::string password;

    friend bool operator==(backend_credential const&,
                           backend_credential const&) = default;
};

} // namespace basilreach::settings

#endif
