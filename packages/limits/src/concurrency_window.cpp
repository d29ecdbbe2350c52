#include <basilreach/limits/concurrency_window.hpp>

#include <algorithm>

namespace basilreach::limits
{

namespace
{

// The weight of the exponential average covers about this many answers.
constexpr int averaged_answers = 16;

} // namespace

concurrency_window::concurrency_window(concurrency_settings settings)
    : settings_(settings), size_(settings.initial_size)
{
}

bool concurrency_window::admits(std::uint32_t outstanding, instant now) const
{
    if (size_ >= 1)
        return outstanding + 1 <= size_;
    return outstanding == 0 && now >= next_send();
}

instant concurrency_window::next_send() const
{
    if (size_ >= 1)
        return {};
    return last_send_ +
           std::chrono::duration_cast<duration>(
               std::chrono::duration<double, duration::period>(
                   static_cast<double>(answer_time_.count()) / size_));
}

void concurrency_window::record_send(instant now)
{
    last_send_ = now;
}

void concurrency_window::record_answer(std::uint32_t outstanding, duration time)
{
    answer_time_ += (time - answer_time_) / averaged_answers;
    // A window that is not fully used does not show that the server can take
    // more.
    if (outstanding + 1 < size_)
        return;
    size_ =
        std::min(size_ + std::min(size_ / 2, 1 / size_), settings_.max_size);
}

void concurrency_window::record_refusal(instant sent_at, instant now)
{
    if (sent_at < last_decrease_)
        return;
    last_decrease_ = now;
    size_ = std::max(size_ * settings_.decrease_factor, settings_.min_size);
}

} // namespace basilreach::limits
