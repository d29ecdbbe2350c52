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
// what its caller is told. It has no sockets, clock or codec: events go in,
// actions come out, and time is what the caller of tick() says it is.
class engine
{
public:
    explicit engine(engine_settings settings);
    ~engine();
    engine(engine const&) = delete;
    engine& operator=(engine const&) = delete;

    // Adds an event; it takes effect in the next tick.
    void push(event it);

    // Runs the systems over what has changed since the last tick or has become
    // due, and returns the resulting actions in order.
    std::vector<action> tick(instant now);

    // Returns the time at which the next tick is due without any event.
    [[nodiscard]] instant next_deadline() const;

    // Numbers for the metrics and for tests.
    [[nodiscard]] engine_counts counts() const;

private:
    std::unique_ptr<detail::state> state_;
    std::vector<event> pending_events_;
};

} // namespace basilreach::traffic

#endif
