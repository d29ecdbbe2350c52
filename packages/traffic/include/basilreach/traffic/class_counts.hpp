#ifndef BASILREACH_TRAFFIC_CLASS_COUNTS_HPP
#define BASILREACH_TRAFFIC_CLASS_COUNTS_HPP

#include <cstdint>
#include <map>

#include <basilreach/base/instant.hpp>
#include <basilreach/rules/rule_set.hpp>
#include <basilreach/traffic/action.hpp>

namespace basilreach::traffic
{

// Totals of the statements of one priority class since the start.
struct class_counts
{
    std::uint64_t served = 0;
    // Answered before their target; all that were answered if they have none.
    std::uint64_t within_target = 0;
    // Statements sent to a server, also repeatedly, and the sum of their times
    // since arrival.
    std::uint64_t sent = 0;
    duration waited{};
    std::map<refusal_reason, std::uint64_t> refused;

    class_counts& operator+=(class_counts const& it);

    friend bool operator==(class_counts const&, class_counts const&) = default;
};

using counts_by_class = std::map<rules::priority, class_counts>;

} // namespace basilreach::traffic

#endif
