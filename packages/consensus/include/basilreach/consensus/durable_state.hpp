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

// The term and the vote of a host. A host that lost either could help to elect
// two leaders in one term.
struct hard_state
{
    std::uint64_t term = 0;
    // Empty when no vote was granted in this term.
    host_name vote;

    friend auto operator<=>(hard_state const&, hard_state const&) = default;
};

// The replicated state after the entry at index. The voters of a new cluster
// start from first_snapshot(); a host that joins later starts from a default
// value and receives a snapshot and the log from the leader.
struct snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    membership members;
    std::string state;

    friend auto operator<=>(snapshot const&, snapshot const&) = default;
};

// Returns the snapshot from which the voters of a new cluster start. Its index
// is 1, although no log contains that entry: a host that joins is therefore
// sent the snapshot. Log entries alone would not tell it the first voters.
[[nodiscard]] snapshot first_snapshot(std::vector<host_name> voters,
                                      std::string state);

// The state that a host loads from its storage when it starts.
struct durable_state
{
    hard_state hard;
    snapshot base;
    // The log entries after the snapshot, without gaps.
    std::vector<log_entry> entries;

    friend auto operator<=>(durable_state const&,
                            durable_state const&) = default;
};

} // namespace basilreach::consensus

#endif
