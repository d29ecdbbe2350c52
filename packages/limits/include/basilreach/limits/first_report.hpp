#ifndef BASILREACH_LIMITS_FIRST_REPORT_HPP
#define BASILREACH_LIMITS_FIRST_REPORT_HPP

#include <functional>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>

namespace basilreach::limits
{

// Returns how long a holder delays its first reports, within a spread. All
// reports of one holder have the same delay, so that one message carries them.
[[nodiscard]] inline duration first_report_delay(daemon_name const& holder,
                                                 duration spread)
{
    constexpr duration::rep steps = 1024;
    auto const step = static_cast<duration::rep>(
        std::hash<daemon_name>{}(holder) % static_cast<std::size_t>(steps));
    return spread / steps * step;
}

} // namespace basilreach::limits

#endif
