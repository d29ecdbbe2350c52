#ifndef BASILREACH_BASE_INSTANT_HPP
#define BASILREACH_BASE_INSTANT_HPP

#include <chrono>

namespace basilreach
{

// Monotonic time in nanoseconds since an arbitrary origin of the process. The
// clock has no now(): decisions receive the time and cannot read it, which lets
// a replay run them under virtual time.
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

// Greatest relative error between the rates of the clocks of two hosts. Who
// waits for another host's lease to end waits this fraction longer.
inline constexpr int max_clock_drift_per_mille = 10;

// Returns the duration that certainly has passed on another host's clock when
// it has passed here, given a duration on that host's clock.
constexpr duration with_clock_margin(duration lease)
{
    return lease + lease * max_clock_drift_per_mille / 1000;
}

} // namespace basilreach

#endif
