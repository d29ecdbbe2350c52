#ifndef BASILREACH_CONTROL_MEMBERSHIP_MANAGER_HPP
#define BASILREACH_CONTROL_MEMBERSHIP_MANAGER_HPP

#include <compare>
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
    // Time after which a voter that is not heard of may be replaced by a host
    // that waits. A restart takes less.
    duration silence = std::chrono::milliseconds{2500};
    // Time for which a wish to join counts; it is repeated more often.
    duration wish = std::chrono::milliseconds{2000};
    // Time after which a learner that is not heard of is removed.
    duration learner_silence = std::chrono::seconds{10};

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

// Decides at the leading control host which host joins and which one goes. A
// host is NAME=ADDRESS; one that lost its disk comes back under another name at
// its address and is a new host. A host joins as a learner and gets its vote in
// place of a voter that is gone: the one at its address, or one that has been
// silent. The number of voters returns to an odd number before the next repair.
class membership_manager
{
public:
    membership_manager(membership_settings settings,
                       consensus::host_name self,
                       instant started);

    // A message of another control host has arrived.
    void record_contact(consensus::host_name const& host, instant now);

    // A host that is no member asks to join.
    void record_join_request(consensus::host_name const& host, instant now);

    // Returns the next change, if one is due. It may be refused and is then
    // decided again.
    [[nodiscard]] std::optional<membership_change>
    next_change(consensus::membership const& members, instant now) const;

private:
    [[nodiscard]] instant heard(consensus::host_name const& host) const;
    [[nodiscard]] bool is_silent(consensus::host_name const& host,
                                 duration limit,
                                 instant now) const;
    [[nodiscard]] std::optional<consensus::host_name>
    find_superfluous_voter(consensus::membership const& members,
                           instant now) const;
    [[nodiscard]] std::optional<consensus::host_name>
    find_superfluous_learner(consensus::membership const& members,
                             instant now) const;
    [[nodiscard]] bool is_needed(consensus::host_name const& learner,
                                 consensus::membership const& members,
                                 instant now) const;

    membership_settings settings_;
    consensus::host_name self_;
    instant started_;
    std::map<consensus::host_name, instant> heard_;
    std::map<consensus::host_name, instant> wishes_;
};

} // namespace basilreach::control

#endif
