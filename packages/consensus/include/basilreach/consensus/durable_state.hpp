#ifndef BASILREACH_CONSENSUS_DURABLE_STATE_HPP
#define BASILREACH_CONSENSUS_DURABLE_STATE_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <basilreach/consensus/log_entry.hpp>
#include <basilreach/consensus/membership.hpp>

namespace basilreach::consensus
{

// The term and the vote of a host. Forgetting either could elect two leaders
// in one term.
struct hard_state
{
    std::uint64_t term = 0;
    // Empty when no vote was given in this term.
    host_name vote;

    friend auto operator<=>(hard_state const&, hard_state const&) = default;
};

// The replicated state after the entry at index. A new cluster starts from
// first_snapshot(), which names its first voters; a host that joins later
// starts from a default value and receives everything from the leader.
struct snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    membership members;
    std::string state;

    friend auto operator<=>(snapshot const&, snapshot const&) = default;
};

// Returns the snapshot from which the voters of a new cluster start. Its index
// is that of an entry which no log holds: a host that joins is sent the
// snapshot, because entries alone do not name the first voters.
[[nodiscard]] snapshot first_snapshot(std::vector<host_name> voters,
                                      std::string state);

// What a host reads back from its storage when it starts.
struct durable_state
{
    hard_state hard;
    snapshot base;
    // The entries after the snapshot, without gaps.
    std::vector<log_entry> entries;

    friend auto operator<=>(durable_state const&,
                            durable_state const&) = default;
};

} // namespace basilreach::consensus

#endif
