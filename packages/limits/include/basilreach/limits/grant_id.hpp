#ifndef BASILREACH_LIMITS_GRANT_ID_HPP
#define BASILREACH_LIMITS_GRANT_ID_HPP

#include <compare>
#include <cstdint>

namespace basilreach::limits
{

// Orders the grants to one holder. A holder ignores a grant that is not later
// than the last one it accepted, so that a delayed grant of a superseded leader
// has no effect after the holder has reported to the new leader.
struct grant_id
{
    // Term of the leader that issued the grant.
    std::uint64_t term = 0;
    // Counts the grants to the holder within the term.
    std::uint64_t number = 0;

    friend auto operator<=>(grant_id const&, grant_id const&) = default;
};

} // namespace basilreach::limits

#endif
