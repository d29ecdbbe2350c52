#ifndef BASILREACH_DAEMON_STOP_SEQUENCE_HPP
#define BASILREACH_DAEMON_STOP_SEQUENCE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <basilreach/base/instant.hpp>
#include <basilreach/settings/daemon_settings.hpp>

namespace basilreach::daemon
{

// The phases of a planned stop, in their order.
enum class stop_phase : std::uint8_t
{
    // No stop was requested.
    none,
    // The daemon is not ready any more and serves as before, until the load
    // balancer has noticed it.
    announced,
    // The listener is closed. Sessions end when they have neither a statement
    // in progress nor an open transaction.
    sessions,
    // The next statement of an open transaction is refused.
    transactions,
    // Statements that are still in progress are refused.
    statements,
    // The process ends.
    done
};

// When the phases begin, as times since the stop was requested.
struct stop_schedule
{
    duration sessions{};
    duration transactions{};
    duration statements{};
    duration done{};

    friend auto operator<=>(stop_schedule const&,
                            stop_schedule const&) = default;
};

// Returns the schedule for the settings. If the time until the process is
// killed is known, transactions may use the first half of it, and what they
// have begun by then can be answered in the second half.
[[nodiscard]] stop_schedule
make_stop_schedule(settings::duration_settings const& it);

// The course of a planned stop.
class stop_sequence
{
public:
    stop_sequence(stop_schedule schedule, std::size_t threads);

    // Starts the stop. A further request changes nothing.
    void request(instant now);

    // A traffic thread has no clients left.
    void record_drained_thread();

    // Enters the next phase if it is due, and returns it. To be called again
    // until it returns nothing, so that no phase is left out.
    std::optional<stop_phase> advance(instant now);

    // When advance() must be called.
    [[nodiscard]] instant next_deadline() const;

    [[nodiscard]] stop_phase phase() const
    {
        return phase_;
    }

private:
    [[nodiscard]] bool is_drained() const;

    stop_schedule schedule_;
    std::size_t threads_;
    std::size_t drained_threads_ = 0;
    stop_phase phase_ = stop_phase::none;
    // Set by request() until advance() enters the first phase.
    bool is_requested_ = false;
    instant requested_at_;
};

} // namespace basilreach::daemon

#endif
