#ifndef BASILREACH_LIMITS_CONCURRENCY_WINDOW_HPP
#define BASILREACH_LIMITS_CONCURRENCY_WINDOW_HPP

#include <compare>
#include <cstdint>

#include <basilreach/base/instant.hpp>

namespace basilreach::limits
{

struct concurrency_settings
{
    // Statements that may be outstanding before anything is known.
    double initial = 8;
    double least = 1.0 / 16;
    double most = 64;
    // Factor by which the window shrinks when the server is full.
    double decrease = 0.5;

    friend auto operator<=>(concurrency_settings const&,
                            concurrency_settings const&) = default;
};

// Bounds the statements that one daemon has outstanding at one server, by
// additive increase and multiplicative decrease. A server that refuses for want
// of a free place gets less from every daemon, and what waits does so here,
// where it is served in fair order and can be refused early.
class concurrency_window
{
public:
    explicit concurrency_window(concurrency_settings settings = {});

    // Returns whether one more statement may be sent. With a window below one,
    // statements are spaced out in time.
    [[nodiscard]] bool admits(std::uint32_t outstanding, instant now) const;

    // Returns when a statement may be sent if nothing is outstanding.
    [[nodiscard]] instant next_send() const;

    void record_send(instant now);

    // Records an answer to a statement that the server has run.
    // `outstanding` counts the statement itself.
    void record_answer(std::uint32_t outstanding, duration time);

    // Records a refusal for want of a free place. Refusals of statements that
    // were sent before the window last shrank say nothing new.
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
