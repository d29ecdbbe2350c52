#ifndef BASILREACH_LIMITS_REPLAY_SHARE_REPLAY_HPP
#define BASILREACH_LIMITS_REPLAY_SHARE_REPLAY_HPP

#include <cstdint>
#include <vector>

#include <rate_replay.hpp>

#include <basilreach/limits/connection_limiter.hpp>
#include <basilreach/limits/share_allocator.hpp>

namespace basilreach::limits::replay
{

// Statements from several hosts for one server. Arrivals, faults and network
// are those of `load`; its rate limits are not used.
struct share_trace
{
    rate_trace load;
    // Connection limit of the server.
    std::uint32_t limit = 25;
    // Time to open a connection.
    duration opening = std::chrono::milliseconds(10);
    // Mean time to serve a statement.
    duration service = std::chrono::milliseconds(20);
    // Each host has a fixed, equal part of the limit, without a leader.
    bool divided = false;
    connection_limiter_settings limiter;
};

struct share_outcome
{
    // Wait for a connection, in milliseconds.
    double wait_p99 = 0;
    // Connections opened per second.
    double opened = 0;
    // Number of events at which the server had more connections than its limit.
    std::uint64_t over_limit = 0;
    std::uint64_t served = 0;
    // Largest number of connections at the server.
    std::uint32_t max_open = 0;
};

// Simulates a trace in virtual time.
share_outcome replay_shares(share_trace const& trace,
                            std::uint64_t seed,
                            share_allocator_settings settings = {});

} // namespace basilreach::limits::replay

#endif
