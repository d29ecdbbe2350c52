#ifndef BASILREACH_LIMITS_CONTACT_MESSAGES_HPP
#define BASILREACH_LIMITS_CONTACT_MESSAGES_HPP

#include <compare>
#include <cstdint>
#include <vector>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>

namespace basilreach::limits
{

// From a holder to the allocator: it is in contact. One report keeps the floors
// of all its workspaces suspended, so that those it does not use need no
// requests of their own.
struct contact_report
{
    daemon_name holder;
    std::uint64_t incarnation = 0;
    // The last contact grant that the holder accepted.
    std::uint64_t term = 0;
    instant heard;
    // Whether the holder has no tokens and no floors but those of workspaces in
    // which it has accepted a grant of `term`. It accepts no grants of earlier
    // terms any more, so this stays true.
    bool is_current = false;

    friend auto operator<=>(contact_report const&,
                            contact_report const&) = default;
};

// The answer to a contact report. It prolongs the suspension of each floor that
// is suspended when it arrives and whose last grant was of this term, and asks
// for the reports without which the holder does not get its floors.
struct contact_grant
{
    daemon_name holder;
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    // When it was sent, by the allocator's clock.
    instant sent;
    // How long the floors are suspended after this grant arrives.
    duration floor_suspension{};
    // Workspaces of which the holder's floor changes with its next report.
    std::vector<workspace_name> unreported;
    // Whether the holder lacks a floor that it will get, at the latest once all
    // holders have reported.
    bool lacks_floors = false;

    friend auto operator<=>(contact_grant const&,
                            contact_grant const&) = default;
};

} // namespace basilreach::limits

#endif
