#ifndef BASILREACH_TRAFFIC_ENGINE_SETTINGS_HPP
#define BASILREACH_TRAFFIC_ENGINE_SETTINGS_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/dispatch/dispatch_mode.hpp>
#include <basilreach/traffic/class_counts.hpp>

namespace basilreach::traffic
{

// Which servers may serve a read. All but `session_position` are baselines for
// measurements.
enum class read_policy : std::uint8_t
{
    // Replicas that have reached the session's position.
    session_position,
    // The primary once the session has written, any replica before.
    primary_after_write,
    // Any replica, whatever its position. Violates read-your-writes.
    any_replica,
    primary_only
};

struct engine_settings
{
    // Replicas in this data centre are preferred at equal load.
    data_centre_name data_centre;
    read_policy reads = read_policy::session_position;
    // Longest time from a statement's arrival to its answer or refusal, on
    // routes without a timeout of their own.
    duration request_timeout = std::chrono::seconds(5);
    // Time that a read waits for the answer of one server before it is sent to
    // another.
    duration read_try_timeout = std::chrono::seconds(1);
    // Time that a read waits for a replica to reach the session's position.
    duration replica_wait = std::chrono::milliseconds(2);
    // Time that a statement waits for a rate token of its workspace. Without a
    // leader the last tokens expire after 1 s and the floor starts after 1.5 s;
    // a shorter wait would refuse statements within the rate in between.
    duration token_wait = std::chrono::milliseconds(1200);
    // Time between two positions queries to a server for whose position a read
    // or a held answer waits.
    duration poll_interval = std::chrono::milliseconds(1);
    // Idle time after which a connection is probed with a positions query.
    duration probe_after = std::chrono::seconds(5);
    // Time after which a connection that does not open, or a positions query
    // that is not answered, counts as lost.
    duration probe_timeout = std::chrono::seconds(1);
    // Pause after a failed attempt to open a connection to a server.
    duration reconnect_delay = std::chrono::milliseconds(50);
    // Connection share of each server until the control thread sets it.
    std::uint32_t initial_connections = 2;
    // Most statements of one workspace that wait for one server, and of all
    // workspaces that wait for a primary.
    std::size_t queue_limit = 1000;
    // Whether statements of sessions with a key run while the leader cannot be
    // reached and no control lease is
    // held. A key that is withdrawn meanwhile then works until the daemon
    // receives the withdrawal.
    bool serves_without_lease = false;
    // Most attempts to run one statement that servers reject without running
    // it.
    std::uint32_t max_attempts = 4;
    // Budget for retries of reads that get no answer: retries earned per
    // answer, and the most that can be saved up. Unlimited retries would double
    // the load of servers that are already slow.
    double retry_budget_ratio = 0.1;
    double retry_budget_limit = 10;
    // At a server whose average answer takes longer than this, idle connections
    // are closed to make room for other workspaces only at this interval, since
    // opening a connection occupies a slot of the server.
    duration slow_answer_threshold = std::chrono::milliseconds(100);
    duration eviction_interval = std::chrono::milliseconds(250);
    // Time without a statement after which an idle connection of one workspace
    // no longer counts as wanted, so that its share can go to another daemon.
    duration idle_retention = std::chrono::seconds(10);
    // The same for a group with holders: a holder uses its connections often,
    // so one that is unused for this time belongs to a workspace whose load has
    // ended or moved.
    duration placed_idle_retention = std::chrono::seconds(2);
    // Whether the priorities in the rules have an effect.
    bool uses_priorities = true;
    // Time without any answer after which reads run at another server (longer
    // for a slow server). A single slow statement rarely takes this long.
    duration suspicion_limit = std::chrono::milliseconds(100);
    // Time without any answer after which a server counts as silent (longer for
    // a slow server), and the interval at which this is reported again.
    duration silence_limit = std::chrono::milliseconds(600);
    duration silence_report_interval = std::chrono::milliseconds(250);
    // Time after which a server that answered "not the primary" is tried again
    // if no other primary has become known.
    duration primary_retry = std::chrono::milliseconds(100);
    // Time that the answers to outstanding commits are waited for before the
    // loss of their group's primary is confirmed. Shorter than the leader's
    // confirmation timeout, after which the daemon would get no lease.
    duration fence_wait = std::chrono::milliseconds(150);
    // Time for which transactions that are open at a server of a data centre
    // out of service may continue. It leaves half of the 5 s within which the
    // last statement must reach such a server for the command to arrive here.
    duration out_of_service_grace = std::chrono::milliseconds(2500);
    // Whether statements need a rate token.
    bool limits_enabled = true;
    // Name of this engine as a holder of rate tokens; unique in each thread.
    daemon_name holder{};
    // Whether statements run at the daemons that hold their workspaces.
    dispatch::dispatch_mode dispatch = dispatch::dispatch_mode::local;
    // Name of this daemon as a member.
    daemon_name self{};
    // Most statements outstanding at one holder.
    std::uint32_t forward_limit = 256;

    friend bool operator==(engine_settings const&,
                           engine_settings const&) = default;
};

// Current sizes of the tables and totals since the start.
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
    // Only statements that have a class.
    counts_by_class by_class{};
    // Statements sent to holders, and statements received from other daemons.
    std::uint64_t forwarded = 0;
    std::uint64_t received = 0;
    // Statements that ran here although another daemon holds the workspace:
    // the holder rejected them, could not be reached, was given up, or too many
    // were outstanding there.
    std::uint64_t local_after_rejection = 0;
    std::uint64_t local_after_undelivered = 0;
    std::uint64_t local_after_loss = 0;
    std::uint64_t local_above_limit = 0;

    engine_counts& operator+=(engine_counts const& it);

    friend bool operator==(engine_counts const&,
                           engine_counts const&) = default;
};

} // namespace basilreach::traffic

#endif
