#ifndef BASILREACH_LIMITS_RATE_TOLERANCE_HPP
#define BASILREACH_LIMITS_RATE_TOLERANCE_HPP

#include <compare>
#include <cstdint>

namespace basilreach::limits
{

// How those who check a workspace's rate count it: in any window, statements
// may exceed what rate and burst allow by a share and by a fixed number.
struct rate_tolerance
{
    // Seconds.
    double window = 0;
    double overage = 0;
    // Statements.
    double slack = 0;

    friend auto operator<=>(rate_tolerance const&,
                            rate_tolerance const&) = default;
};

// Returns the burst in tokens with which a bucket of the rate stays inside the
// tolerance. A part of the tolerance is left for statements that reach a server
// twice because their first answer was lost.
[[nodiscard]] std::int64_t tolerated_burst(std::uint64_t rate,
                                           std::uint64_t burst,
                                           rate_tolerance const& it);

} // namespace basilreach::limits

#endif
