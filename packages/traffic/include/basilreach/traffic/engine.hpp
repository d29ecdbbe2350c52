#ifndef BASILREACH_TRAFFIC_ENGINE_HPP
#define BASILREACH_TRAFFIC_ENGINE_HPP

#include <memory>
#include <vector>

#include <basilreach/base/instant.hpp>
#include <basilreach/traffic/action.hpp>
#include <basilreach/traffic/engine_settings.hpp>
#include <basilreach/traffic/event.hpp>

namespace basilreach::traffic
{

namespace detail
{
struct state;
}

// Decides for the sessions of one traffic thread where each statement runs and
// which reply its client receives. It has no sockets, clock or codec: it turns
// events into actions, and the caller of tick() passes the time.
class engine
{
public:
    explicit engine(engine_settings settings);
    ~engine();
    engine(engine const&) = delete;
    engine& operator=(engine const&) = delete;

    // Adds an event; it takes effect in the next tick.
    void push(event it);

    // Processes the events since the last tick and the timers that have
    // expired, and returns the resulting actions in order.
    std::vector<action> tick(instant now);

    // Returns the time at which the next tick is due without any event.
    [[nodiscard]] instant next_deadline() const;

    // Returns table sizes and totals, for the metrics and for tests.
    [[nodiscard]] engine_counts counts() const;

private:
    std::unique_ptr<detail::state> state_;
    std::vector<event> pending_events_;
};

} // namespace basilreach::traffic

#endif
