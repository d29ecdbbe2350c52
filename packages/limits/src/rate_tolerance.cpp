#include <basilreach/limits/rate_tolerance.hpp>

namespace basilreach::limits
{

namespace
{

// Fraction of the tolerance that is granted as additional burst.
constexpr double used_fraction = 0.8;

} // namespace

std::int64_t tolerated_burst(std::uint64_t rate,
                             std::uint64_t burst,
                             rate_tolerance const& tolerance)
{
    auto const allowed_count = static_cast<double>(rate) * tolerance.window +
                               static_cast<double>(burst);
    auto const tolerated_excess =
        allowed_count * tolerance.overage + tolerance.slack;
    return static_cast<std::int64_t>(burst) +
           static_cast<std::int64_t>(tolerated_excess * used_fraction);
}

} // namespace basilreach::limits
