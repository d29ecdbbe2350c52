#ifndef BASILREACH_CONSENSUS_STEP_RESULT_HPP
#define BASILREACH_CONSENSUS_STEP_RESULT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include <basilreach/consensus/durable_state.hpp>
#include <basilreach/consensus/log_entry.hpp>
#include <basilreach/consensus/peer_message.hpp>

namespace basilreach::consensus
{

enum class member_role : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader
};

// The role and term of this host, and the leader of the term (empty when
// unknown).
struct role_state
{
    member_role role = member_role::follower;
    std::uint64_t term = 0;
    host_name leader;

    friend auto operator<=>(role_state const&, role_state const&) = default;
};

// Why a proposal, a read or a membership change was not started.
enum class refusal : std::uint8_t
{
    not_leader,
    // More than max_uncommitted entries would be uncommitted.
    too_many_uncommitted,
    payload_too_large,
    // The leader has not yet committed an entry of its own term.
    leader_not_ready,
    // An earlier membership change is not yet committed.
    change_in_progress,
    unknown_host,
    already_member,
    // The learner lags by more than catch_up_entries entries, or has not
    // replied within the last minimum election timeout.
    learner_behind,
    // The change would leave the cluster without a voter.
    last_voter,
    // After the change the voters that have replied recently would be no
    // majority, so that nothing could be committed, not even the change.
    quorum_at_risk
};

// Identifies a read; chosen by the caller of member::read.
enum class read_id : std::uint64_t
{
};

// The outcome of a read. When confirmed, the read may use the state after the
// entries applied up to and including this step: it is not stale.
struct read_outcome
{
    read_id id;
    bool confirmed = false;

    friend auto operator<=>(read_outcome const&, read_outcome const&) = default;
};

// The log position of the first entry of an accepted proposal. The proposal is
// committed once an entry with this index and term is applied, and lost once an
// entry of another term is applied at the index.
struct proposal_position
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;

    friend auto operator<=>(proposal_position const&,
                            proposal_position const&) = default;
};

// The actions that the caller must perform after a step, in the order of the
// fields: hard, install, truncate_from and append must be synced to storage
// before anything is sent or applied. If that fails, the caller must stop using
// the member.
struct step_result
{
    std::optional<hard_state> hard;
    // Replaces the whole log and the applied state.
    std::optional<snapshot> install;
    // Removes the entries from this index on.
    std::optional<std::uint64_t> truncate_from;
    std::vector<log_entry> append;
    std::vector<peer_message> send;
    std::vector<log_entry> apply;
    std::vector<read_outcome> reads;
    std::optional<role_state> role;
    std::optional<proposal_position> accepted;
    std::optional<refusal> refused;

    friend auto operator<=>(step_result const&, step_result const&) = default;
};

} // namespace basilreach::consensus

#endif
