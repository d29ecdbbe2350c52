#ifndef BASILREACH_LIMITS_FIRST_REPORT_HPP
#define BASILREACH_LIMITS_FIRST_REPORT_HPP

#include <algorithm>
#include <cstddef>
#include <functional>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>

namespace basilreach::limits
{

// First reports that a holder sends together, in one message.
inline constexpr std::size_t first_reports_per_group = 32;

// Time that the allocator is given for one row (a workspace or a server): the
// holders spread their first reports of it over this time. A new leader grants
// no tokens of a workspace before all holders have reported it, so the time is
// no longer than a few hundred daemons need.
inline constexpr duration first_report_time_per_row =
    std::chrono::milliseconds(22);

// Returns how long a holder delays its first report of the n-th of its rows.
// Rows are reported in groups, one after the other, so that the load of the
// allocator grows with the holders, but not with the product of holders and
// rows. The rows of a group have the same delay.
[[nodiscard]] inline duration
first_report_delay(daemon_name const& holder, std::size_t n, std::size_t rows)
{
    constexpr duration::rep steps = 1024;
    auto const step = static_cast<duration::rep>(
        std::hash<daemon_name>{}(holder) % static_cast<std::size_t>(steps));
    auto const first = n - n % first_reports_per_group;
    auto const size = std::min(first_reports_per_group, rows - first);
    auto const spread =
        first_report_time_per_row * static_cast<duration::rep>(size);
    return first_report_time_per_row * static_cast<duration::rep>(first) +
           spread / steps * step;
}

} // namespace basilreach::limits

#endif
