#include <basilreach/limits/rate_tolerance.hpp>

namespace basilreach::limits
{

namespace
{

// Share of the tolerance that is handed out.
constexpr double used_share = 0.8;

} // namespace

std::int64_t tolerated_burst(std::uint64_t rate,
                             std::uint64_t burst,
                             rate_tolerance const& it)
{
    auto const allowed =
        static_cast<double>(rate) * it.window + static_cast<double>(burst);
    auto const tolerated = allowed * it.overage + it.slack;
    return static_cast<std::int64_t>(burst) +
           static_cast<std::int64_t>(tolerated * used_share);
}

} // namespace basilreach::limits
