#ifndef BASILREACH_CONSENSUS_MEMBERSHIP_HPP
#define BASILREACH_CONSENSUS_MEMBERSHIP_HPP

#include <compare>
#include <vector>

#include <basilreach/consensus/log_entry.hpp>

namespace basilreach::consensus
{

// The members of the consensus group, each list sorted by name. Voters form
// majorities; learners only receive the log.
struct membership
{
    std::vector<host_name> voters;
    std::vector<host_name> learners;

    [[nodiscard]] bool has_voter(host_name const& host) const;
    [[nodiscard]] bool has_learner(host_name const& host) const;

    friend auto operator<=>(membership const&, membership const&) = default;
};

// Returns the membership after a log entry. An entry that is no membership
// change, or repeats one, leaves it unchanged.
membership apply_change(membership before, log_entry const& entry);

} // namespace basilreach::consensus

#endif
