#ifndef BASILREACH_CONTROL_MEMBERSHIP_MANAGER_HPP
#define BASILREACH_CONTROL_MEMBERSHIP_MANAGER_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <basilreach/base/instant.hpp>
#include <basilreach/consensus/membership.hpp>

namespace basilreach::control
{

struct membership_settings
{
    // Time without contact after which a voter may be replaced by another host.
    // Longer than a restart takes.
    duration contact_timeout = std::chrono::milliseconds{2500};
    // Time for which a join request is valid. It is repeated more often.
    duration join_request_lifetime = std::chrono::milliseconds{2000};
    // Time without contact after which a learner is removed.
    duration learner_contact_timeout = std::chrono::seconds{10};
    // Control hosts that may be lost at once, with their disks, without loss of
    // what was acknowledged. Learners become voters until a majority is left
    // after such a loss.
    std::size_t tolerated_losses = 1;

    friend bool operator==(membership_settings const&,
                           membership_settings const&) = default;
};

enum class membership_step : std::uint8_t
{
    add_learner,
    promote,
    remove
};

struct membership_change
{
    membership_step step = membership_step::add_learner;
    consensus::host_name host;

    friend bool operator==(membership_change const&,
                           membership_change const&) = default;
};

// Decides on the leader which control hosts join and leave the consensus group.
// A host name is NAME=ADDRESS. A host that lost its disk returns with a new
// NAME at the same ADDRESS and is a new host. A host joins as a learner. It
// becomes a voter if there are fewer voters than the tolerated losses need, or
// to replace a voter at its address or one that is out of contact. Before the
// next replacement, the number of voters is made odd again.
class membership_manager
{
public:
    membership_manager(membership_settings settings,
                       consensus::host_name self,
                       instant started);

    // Records that a message of another control host has arrived.
    void record_contact(consensus::host_name const& host, instant now);

    // Records that a host which is no member has asked to join.
    void record_join_request(consensus::host_name const& host, instant now);

    // Returns the next membership change, if one is needed. A change that is
    // refused is returned again by later calls as long as it is needed.
    [[nodiscard]] std::optional<membership_change>
    next_change(consensus::membership const& members, instant now) const;

private:
    [[nodiscard]] instant last_contact(consensus::host_name const& host) const;
    [[nodiscard]] bool is_out_of_contact(consensus::host_name const& host,
                                         duration timeout,
                                         instant now) const;
    [[nodiscard]] std::optional<consensus::host_name>
    find_surplus_voter(consensus::membership const& members, instant now) const;
    [[nodiscard]] std::optional<consensus::host_name>
    find_lost_learner(consensus::membership const& members, instant now) const;
    [[nodiscard]] bool should_promote(consensus::host_name const& learner,
                                      consensus::membership const& members,
                                      instant now) const;

    membership_settings settings_;
    consensus::host_name self_;
    instant started_;
    std::map<consensus::host_name, instant> last_contact_;
    std::map<consensus::host_name, instant> join_requests_;
};

} // namespace basilreach::control

#endif
