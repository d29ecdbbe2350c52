#ifndef BASILREACH_LIMITS_RATE_TOLERANCE_HPP
#define BASILREACH_LIMITS_RATE_TOLERANCE_HPP

#include <compare>
#include <cstdint>

namespace basilreach::limits
{

// Tolerance of the checks on a workspace's rate: in any window, the number of
// statements may exceed what rate and burst allow by a fraction and by a fixed
// number.
struct rate_tolerance
{
    // Seconds.
    double window = 0;
    // Fraction of what rate and burst allow.
    double overage = 0;
    // Statements.
    double slack = 0;

    friend auto operator<=>(rate_tolerance const&,
                            rate_tolerance const&) = default;
};

// Returns a burst, in tokens, with which a token bucket of the rate stays
// within the tolerance. A part of the tolerance is kept back for statements
// that reach a server twice because their first answer was lost.
[[nodiscard]] std::int64_t tolerated_burst(std::uint64_t rate,
                                           std::uint64_t burst,
                                           rate_tolerance const& tolerance);

} // namespace basilreach::limits

#endif
