#include <basilreach/limits/connection_pacer.hpp>

#include <algorithm>

namespace basilreach::limits
{

namespace
{

// The weight of the exponential average of the open time covers about this many
// openings. It is small, so that a server that becomes full is noticed soon.
constexpr int averaged_openings = 4;

} // namespace

connection_pacer::connection_pacer(pacer_settings settings)
    : settings_(settings), budget_(settings.burst),
      open_time_(settings.initial_open_time)
{
}

bool connection_pacer::may_open(instant now) const
{
    return budget(now) >= 1;
}

instant connection_pacer::next_open() const
{
    auto const missing = std::max(1 - budget_, 0.0);
    return updated_ +
           std::chrono::ceil<duration>(
               missing *
               std::chrono::duration<double, duration::period>(interval()));
}

void connection_pacer::record_start(instant now)
{
    budget_ = std::max(budget(now) - 1, 0.0);
    updated_ = now;
}

void connection_pacer::record_open(duration time, instant now)
{
    budget_ = budget(now);
    updated_ = now;
    // A shorter open time replaces the average at once. While the average is
    // high, few connections are opened that could lower it.
    open_time_ =
        std::min(time, open_time_ + (time - open_time_) / averaged_openings);
}

double connection_pacer::budget(instant now) const
{
    auto const time = interval();
    if (time <= duration{})
        return settings_.burst;
    auto const refilled = static_cast<double>((now - updated_).count()) /
                          static_cast<double>(time.count());
    return std::min(budget_ + refilled, settings_.burst);
}

duration connection_pacer::interval() const
{
    return std::min(open_time_ * settings_.interval_factor,
                    settings_.max_interval);
}

} // namespace basilreach::limits
