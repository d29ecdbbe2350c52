#ifndef BASILREACH_LIMITS_REPLAY_SIMULATION_HPP
#define BASILREACH_LIMITS_REPLAY_SIMULATION_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include <basilreach/base/instant.hpp>

namespace basilreach::limits::replay
{

// Event queue in virtual time. Events of the same time run in the order in
// which they were scheduled, so that a run is reproducible from its seed.
class simulation
{
public:
    void at(instant time, std::function<void()> event)
    {
        events_.emplace(std::pair{time, order_++}, std::move(event));
    }

    // Runs all events of times before `end`.
    void run(instant end)
    {
        while (!events_.empty() && events_.begin()->first.first < end)
        {
            auto node = events_.extract(events_.begin());
            now_ = node.key().first;
            node.mapped()();
        }
    }

    [[nodiscard]] instant now() const
    {
        return now_;
    }

private:
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t order_ = 0;
    instant now_;
};

// A host's clock, which differs from the virtual time by an offset and by a
// small relative error of its rate.
struct host_clock
{
    duration offset{};
    double error = 0;

    [[nodiscard]] instant local(instant time) const
    {
        auto const passed =
            static_cast<double>(time.time_since_epoch().count());
        return time + offset +
               duration(static_cast<duration::rep>(passed * error));
    }

    // Returns a virtual time at which the clock shows at least `time`.
    [[nodiscard]] instant global(instant time) const
    {
        if (time == never)
            return never;
        auto const passed =
            static_cast<double>((time - offset).time_since_epoch().count());
        return instant(
            duration(static_cast<duration::rep>(passed / (1 + error)) + 2));
    }
};

// Random numbers that are the same with every standard library, unlike the
// distributions of <random>.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed)
    {
    }

    // Returns a number from 0 up to but not including 1.
    double unit()
    {
        return static_cast<double>(engine_() >> 11U) * 0x1.0p-53;
    }

    // Returns a number from 0 up to but not including n.
    std::uint64_t below(std::uint64_t n)
    {
        return engine_() % n;
    }

    // Returns an exponentially distributed time between events at `rate` a
    // second.
    duration exponential(double rate);

private:
    std::mt19937_64 engine_;
};

} // namespace basilreach::limits::replay

#endif
