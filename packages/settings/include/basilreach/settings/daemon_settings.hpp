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
#include <basilreach/dispatch/dispatch_mode.hpp>
#include <basilreach/rules/rule_set.hpp>

namespace basilreach::settings
{

enum class daemon_role : std::uint8_t
{
    entry,
    control
};

// The protocol of connections from clients and to backend servers.
enum class statement_protocol : std::uint8_t
{
    postgresql,
    // The line protocol: text with one message per line. The codec belongs to
    // the deployment that uses it and is not part of packages/.
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
    // IP address and port.
    std::string address;
    data_centre_name data_centre;

    friend bool operator==(control_host_settings const&,
                           control_host_settings const&) = default;
};

struct duration_settings
{
    duration control_lease = std::chrono::seconds{3};
    duration lease_renewal = std::chrono::milliseconds{500};
    // A statement that is not answered within this time fails with "not run" or
    // "outcome unknown".
    duration request_timeout = std::chrono::seconds{5};
    // A read that a server does not answer within this time is sent to another
    // server.
    duration read_try_timeout = std::chrono::seconds{1};
    // Time that a read waits for a replica to reach the session's position.
    duration replica_wait = std::chrono::milliseconds{2};
    // Time that a statement waits for a rate token of its workspace.
    duration token_wait = std::chrono::milliseconds{1200};
    // A client's connection whose startup takes longer is closed.
    duration startup_timeout = std::chrono::seconds{10};
    // Idle time after which a connection is probed before it is used again.
    duration probe_after = std::chrono::seconds{5};
    // After a stop request, the listener stays open for this time, so that the
    // load balancer can notice the stop before connections are rejected.
    duration drain_period = std::chrono::seconds{5};
    // Time after the listener is closed in which sessions can end their open
    // transactions.
    duration drain_deadline = std::chrono::seconds{30};
    // Time in seconds after a stop request at which the process is killed; 0 if
    // it is not. Open transactions may use the first half of it at most.
    double stop_grace_s = 0;
    // The connection shares of a lost daemon stay reserved for this time after
    // its lease has expired, because its server connections may still be open.
    // A new leader also waits for this time if a daemon has just restarted;
    // with 10 s, a restart of all control hosts left such a daemon without
    // connections for 13 s.
    duration lost_host_hold = std::chrono::seconds{2};
    duration election_timeout_min = std::chrono::milliseconds{300};
    duration election_timeout_max = std::chrono::milliseconds{600};
    duration heartbeat = std::chrono::milliseconds{75};
    // A server that reports its own state counts as down after this time
    // without a report.
    duration server_silence = std::chrono::seconds{3};

    friend bool operator==(duration_settings const&,
                           duration_settings const&) = default;
};

struct limit_settings
{
    // Maximum number of statements of one workspace that wait for one server,
    // and of all workspaces together that wait for a primary.
    std::uint32_t queue_per_workspace = 1000;
    // Maximum size of a message from a client, in the PostgreSQL protocol.
    std::uint32_t message_bytes = 16 * 1024 * 1024;
    // Memory for the buffers of all client connections of the process, divided
    // among its traffic threads. The part of a thread is at least twice
    // message_bytes. The default leaves an entry host of 160 MB room for the
    // rest of the process, which needs about 20 MB, and for the copies of a
    // statement at its server connection.
    std::uint32_t client_buffer_bytes = 64 * 1024 * 1024;
    // The tolerance with which compliance with a workspace's rate is checked:
    // in any window of rate_window_s seconds, statements may exceed what rate
    // and burst allow by the fraction rate_overage and by rate_slack
    // statements. The leader grants most of the tolerance as additional burst,
    // because rate tokens that are unused at one daemon are not available to
    // another.
    double rate_window_s = 0;
    double rate_overage = 0;
    double rate_slack = 0;
    // Fraction of a workspace's rate and burst that all daemons without contact
    // to the leader may use together, in equal parts. A daemon without contact
    // does not learn of a lower rate.
    double floor_rate = 0.2;
    double floor_burst = 0.2;

    friend bool operator==(limit_settings const&,
                           limit_settings const&) = default;
};

struct log_settings
{
    // Logs to standard error if absent.
    std::optional<std::string> directory;
    log_level level = log_level::info;

    friend bool operator==(log_settings const&, log_settings const&) = default;
};

// Statements that daemons run for each other.
struct dispatch_settings
{
    // IP address and port for statements from other daemons.
    std::optional<std::string> listen;
    dispatch::dispatch_mode mode = dispatch::dispatch_mode::local;

    friend bool operator==(dispatch_settings const&,
                           dispatch_settings const&) = default;
};

// The content of a daemon's settings file.
struct daemon_settings
{
    daemon_name name;
    data_centre_name data_centre;
    std::set<daemon_role> roles;
    // Present when the control role is on.
    std::optional<std::string> data_directory;
    std::uint32_t traffic_threads = 2;
    // IP address and port for clients and for the admin console.
    std::string client_listen;
    // IP address and port for other daemons; present when the control role is
    // on.
    std::optional<std::string> control_listen;
    std::vector<control_host_settings> control_hosts;
    // Addresses of some control hosts, given instead of control_hosts. Their
    // ports are ignored: control hosts are reached at peer_port.
    std::vector<std::string> seeds;
    std::uint32_t peer_port = 0;
    // Whether a control host with an empty data directory starts a new
    // consensus group of the listed control hosts; otherwise it waits to be
    // added to one.
    bool first_start = true;
    // Control hosts that may be lost at once, with their disks. As many control
    // hosts become voters as this needs, if seeds are given.
    std::uint32_t tolerated_losses = 1;
    statement_protocol protocol = statement_protocol::postgresql;
    // IP address and port for the readiness check of a load balancer, over
    // HTTP.
    std::optional<std::string> readiness_listen;
    // IP address and port for operators and for servers that report their
    // state, over HTTP.
    std::optional<std::string> operator_listen;
    // IP address and port for the metrics, as text over HTTP.
    std::optional<std::string> metrics_listen;
    // IP address and port of the service that carries out promotions in
    // server-checked groups.
    std::optional<std::string> promotion_service;
    // Whether statements of clients with a key run while no control lease is
    // held.
    bool serve_without_lease = false;
    // Whether statements are ordered and refused by the priorities in the
    // rules, and reads leave a server that answers late.
    bool overload_control = false;
    rules::key_digest operator_key{};
    // Path of a JSON file with the user and the password at backend servers;
    // present when the entry role is on and the protocol is postgresql.
    std::optional<std::string> backend_credential_file;
    // Database name at backend servers.
    std::string backend_database = "postgres";
    std::string positions_query =
        "SELECT term, position FROM basilreach.position()";
    // Path of the rules file that is applied when the control state has no
    // rules yet.
    std::optional<std::string> initial_rules_file;
    duration_settings durations;
    limit_settings limits;
    dispatch_settings dispatch;
    log_settings log;

    friend bool operator==(daemon_settings const&,
                           daemon_settings const&) = default;
};

// The user and password with which the daemon logs in at backend servers.
struct backend_credential
{
    std::string user;
    std::string password;

    friend bool operator==(backend_credential const&,
                           backend_credential const&) = default;
};

} // namespace basilreach::settings

#endif
