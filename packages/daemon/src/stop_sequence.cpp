#include <basilreach/daemon/stop_sequence.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace basilreach::daemon
{

namespace
{

// The process refuses what is in progress, and ends, this fraction of the grace
// time before it would be killed.
constexpr double refusal_margin = 0.05;
constexpr double end_margin = 0.03;

// Time for sending the last refusals if no grace time is known.
constexpr duration refusal_time = std::chrono::milliseconds(100);

duration scale(duration it, double factor)
{
    return std::chrono::duration_cast<duration>(it * factor);
}

using schedule_member = duration stop_schedule::*;

// When each phase after `announced` begins, in the order of the phases.
constexpr std::array<schedule_member, 4> schedule_members = {
    &stop_schedule::sessions, &stop_schedule::transactions,
    &stop_schedule::statements, &stop_schedule::done};

} // namespace

stop_schedule make_stop_schedule(settings::duration_settings const& it)
{
    stop_schedule out;
    out.sessions = it.drain_period;
    out.transactions = out.sessions + it.drain_deadline;
    out.statements = out.transactions + it.request_timeout;
    out.done = out.statements + refusal_time;
    if (it.stop_grace_s == 0)
        return out;
    auto const grace = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(it.stop_grace_s));
    out.sessions = std::min(out.sessions, grace / 2);
    out.transactions = std::min(out.transactions, grace / 2);
    out.statements = std::min(out.statements, scale(grace, 1 - refusal_margin));
    out.done = std::min(out.done, scale(grace, 1 - end_margin));
    return out;
}

stop_sequence::stop_sequence(stop_schedule schedule, std::size_t threads)
    : schedule_(schedule), threads_(threads)
{
}

void stop_sequence::request(instant now)
{
    if (is_requested_ || phase_ != stop_phase::none)
        return;
    is_requested_ = true;
    requested_at_ = now;
}

void stop_sequence::record_drained_thread()
{
    ++drained_threads_;
}

bool stop_sequence::is_drained() const
{
    return phase_ >= stop_phase::sessions && drained_threads_ >= threads_;
}

std::optional<stop_phase> stop_sequence::advance(instant now)
{
    if (now < next_deadline())
        return std::nullopt;
    is_requested_ = false;
    phase_ = is_drained()
                 ? stop_phase::done
                 : static_cast<stop_phase>(static_cast<int>(phase_) + 1);
    return phase_;
}

instant stop_sequence::next_deadline() const
{
    if (phase_ == stop_phase::done)
        return never;
    if (is_requested_ || is_drained())
        return instant::min();
    if (phase_ == stop_phase::none)
        return never;
    auto const next = static_cast<std::size_t>(phase_) -
                      static_cast<std::size_t>(stop_phase::announced);
    return requested_at_ + schedule_.*schedule_members[next];
}

} // namespace basilreach::daemon
