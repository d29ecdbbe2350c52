#ifndef BASILREACH_LIMITS_CONCURRENCY_WINDOW_HPP
#define BASILREACH_LIMITS_CONCURRENCY_WINDOW_HPP

#include <compare>
#include <cstdint>

#include <basilreach/base/instant.hpp>

namespace basilreach::limits
{

struct concurrency_settings
{
    // Statements that may be outstanding before the first answer.
    double initial_size = 8;
    double min_size = 1.0 / 16;
    double max_size = 64;
    // Factor by which the window shrinks after a refusal.
    double decrease_factor = 0.5;

    friend auto operator<=>(concurrency_settings const&,
                            concurrency_settings const&) = default;
};

// Bounds the statements that one daemon has outstanding at one server, by
// additive increase and multiplicative decrease (AIMD). A server that refuses
// statements because it is full receives fewer from every daemon. The others
// wait at the daemon, where they are served in fair order and can be refused
// early.
class concurrency_window
{
public:
    explicit concurrency_window(concurrency_settings settings = {});

    // Returns whether one more statement may be sent. If the window is smaller
    // than one statement, statements are spaced out in time.
    [[nodiscard]] bool admits(std::uint32_t outstanding, instant now) const;

    // Returns when a statement may be sent if none is outstanding.
    [[nodiscard]] instant next_send() const;

    void record_send(instant now);

    // Records the answer to a statement that the server has run. `outstanding`
    // includes the statement itself.
    void record_answer(std::uint32_t outstanding, duration time);

    // Records a refusal by a server that is full. It is ignored if the
    // statement was sent before the window last shrank, because it shows
    // nothing about the smaller window.
    void record_refusal(instant sent_at, instant now);

    [[nodiscard]] double size() const noexcept
    {
        return size_;
    }

    // Returns the average time from a statement to its answer.
    [[nodiscard]] duration answer_time() const noexcept
    {
        return answer_time_;
    }

private:
    concurrency_settings settings_;
    double size_;
    duration answer_time_{};
    instant last_send_;
    instant last_decrease_;
};

} // namespace basilreach::limits

#endif
