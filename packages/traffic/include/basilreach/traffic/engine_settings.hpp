#ifndef BASILREACH_TRAFFIC_ENGINE_SETTINGS_HPP
#define BASILREACH_TRAFFIC_ENGINE_SETTINGS_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>

namespace basilreach::traffic
{

// Which servers may serve a read. All but `session_position` exist as baselines
// for measurements.
enum class read_policy : std::uint8_t
{
    // Replicas that have reached the session's position.
    session_position,
    // The primary once the session has written, any replica before.
    primary_after_write,
    // Any replica, whatever its position: breaks read-your-writes.
    any_replica,
    primary_only
};

struct engine_settings
{
    // Replicas in this data centre are preferred at equal load.
    data_centre_name data_centre;
    read_policy reads = read_policy::session_position;
    // Time from a statement's arrival to its answer or refusal.
    duration request_timeout = std::chrono::seconds(5);
    // Time that a read waits for one server before it is tried at another.
    duration read_try_timeout = std::chrono::seconds(1);
    // Time that a read waits for a replica to reach the session's position.
    duration replica_wait = std::chrono::milliseconds(2);
    // Time that a statement waits for a token of its workspace's rate. Without
    // a leader the last tokens end after 1 s and the floor begins after 1.5 s;
    // a shorter wait refused statements within the rate in between.
    duration token_wait = std::chrono::milliseconds(1200);
    // Time between two positions queries to a server that is waited for.
    duration poll_interval = std::chrono::milliseconds(1);
    // Idle time after which a connection is probed.
    duration probe_after = std::chrono::seconds(5);
    // Time within which a connection opens or a probe is answered.
    duration probe_timeout = std::chrono::seconds(1);
    // Pause after a failed attempt to open a connection to a server.
    duration reconnect_delay = std::chrono::milliseconds(50);
    // Connections to each server before the control thread says otherwise.
    std::uint32_t initial_connections = 2;
    // Statements of one workspace that wait for one server.
    std::size_t queue_limit = 1000;
    // Whether keyed statements run while no control lease is held. A key that
    // was withdrawn meanwhile then works until the daemon hears of it.
    bool serves_without_lease = false;
    // Tries of one statement that servers have refused without running it.
    std::uint32_t max_attempts = 4;
    // Second tries of silent reads for each answer, and at most at once. Tries
    // without a bound double the load of servers that are slow already.
    double retry_budget_ratio = 0.1;
    double retry_budget_limit = 10;
    // A server that takes longer than this to answer is slow: opening another
    // connection to it is then spaced out, as it takes a slot.
    duration slow_answer_threshold = std::chrono::milliseconds(100);
    duration eviction_interval = std::chrono::milliseconds(250);
    // Time without a statement after which a connection of one workspace may
    // be given up to another daemon.
    duration idle_retention = std::chrono::seconds(10);
    // Time without any answer after which a server counts as silent, and the
    // interval at which this is reported again.
    duration silence_limit = std::chrono::milliseconds(600);
    duration silence_report_interval = std::chrono::milliseconds(250);
    // Time after which a server that refused as "not the primary" is asked
    // again if no other primary has become known.
    duration primary_retry = std::chrono::milliseconds(100);
    // Whether tokens of the workspace's rate are needed.
    bool limits_enabled = true;
    // Names the engine as a holder of tokens; different in each thread.
    daemon_name holder{};

    friend bool operator==(engine_settings const&,
                           engine_settings const&) = default;
};

// Sizes of the tables and totals since the start.
struct engine_counts
{
    std::size_t sessions = 0;
    std::size_t requests = 0;
    std::size_t connections = 0;
    std::size_t held = 0;
    std::uint64_t reads_at_replicas = 0;
    std::uint64_t reads_at_primaries = 0;
    std::uint64_t writes = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t outcome_unknown = 0;
    std::uint64_t silent_connections = 0;
    std::uint64_t connections_opened = 0;

    friend bool operator==(engine_counts const&,
                           engine_counts const&) = default;
};

} // namespace basilreach::traffic

#endif
