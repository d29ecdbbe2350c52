#ifndef BASILREACH_LIMITS_REPLAY_SHARE_REPLAY_HPP
#define BASILREACH_LIMITS_REPLAY_SHARE_REPLAY_HPP

#include <cstdint>
#include <vector>

#include <rate_replay.hpp>

#include <basilreach/limits/share_allocator.hpp>
#include <basilreach/limits/connection_limiter.hpp>

namespace basilreach::limits::replay
{

// Statements at the hosts of one server. Arrivals, faults and network are
// those of the trace; its limits are not used.
struct share_trace
{
    rate_trace load;
    std::uint32_t limit = 25;
    duration opening = std::chrono::milliseconds(10);
    duration service = std::chrono::milliseconds(20);
    // Each host has the limit divided by the hosts, without a leader.
    bool divided = false;
};

struct share_outcome
{
    // Waits for a connection, in milliseconds.
    double wait_p99 = 0;
    // Connections opened a second.
    double opened = 0;
    // Events with more connections at the server than its limit.
    std::uint64_t over_limit = 0;
    std::uint64_t served = 0;
    std::uint32_t most = 0;
};

// Replays statements under virtual time.
share_outcome replay_shares(share_trace const& trace,
                            std::uint64_t seed,
                            share_allocator_settings settings = {});

} // namespace basilreach::limits::replay

#endif
