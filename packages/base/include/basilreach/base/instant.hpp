#ifndef BASILREACH_BASE_INSTANT_HPP
#define BASILREACH_BASE_INSTANT_HPP

#include <chrono>

namespace basilreach
{

// Monotonic time in nanoseconds since an arbitrary origin that differs between
// processes. The clock has no now(): the code that takes decisions receives the
// time as an argument, so that a replay can run it under virtual time.
struct monotonic_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using duration = monotonic_clock::duration;
using instant = monotonic_clock::time_point;

// A time later than any deadline.
inline constexpr instant never = instant::max();

// Greatest drift between the clocks of two hosts, in thousandths of the elapsed
// time. A host that waits for another host's lease to end adds this fraction to
// its wait.
inline constexpr int max_clock_drift_per_mille = 10;

// Returns how long to wait by this host's clock so that the given duration has
// passed by another host's clock, whatever the drift within the limit.
constexpr duration with_clock_margin(duration lease)
{
    return lease + lease * max_clock_drift_per_mille / 1000;
}

} // namespace basilreach

#endif
