#include <basilreach/control/contact_monitor.hpp>

#include <algorithm>

namespace basilreach::control
{

namespace
{

// Parts into which the jitter divides a timeout.
constexpr std::int64_t jitter_steps = 64;

// The timeout is this many times the longest recent time until an answer.
constexpr std::int64_t answer_time_factor = 2;

// Part of the recent answer time by which a faster answer decreases it.
constexpr std::int64_t answer_time_decay = 8;

// The jitter lengthens a timeout by up to a quarter.
constexpr std::int64_t jitter_divisor = 4;

// Mixes the bits of a number, so that successive seeds give unrelated values
// (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t n)
{
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9U;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebU;
    return n ^ (n >> 31U);
}

} // namespace

contact_monitor::contact_monitor(contact_settings settings,
                                 std::uint64_t seed,
                                 instant now)
    : settings_(settings), seed_(seed), presumed_since_(now), last_grant_(now),
      last_progress_(now)
{
}

void contact_monitor::record_message(instant now)
{
    if (!unanswered_since_)
        unanswered_since_ = now;
}

void contact_monitor::record_answer(instant now)
{
    if (unanswered_since_)
        answer_time_ =
            std::max(now - *unanswered_since_,
                     answer_time_ - answer_time_ / answer_time_decay);
    unanswered_since_.reset();
    is_in_contact_ = true;
    switches_ = 0;
    doublings_ = 0;
}

void contact_monitor::record_grant(instant now)
{
    last_grant_ = now;
    record_answer(now);
}

void contact_monitor::record_progress(instant at)
{
    last_progress_ = std::max(last_progress_, at);
}

void contact_monitor::record_no_leader()
{
    unanswered_since_.reset();
    is_in_contact_ = false;
    is_named_ = false;
}

void contact_monitor::record_link(bool is_open, instant now)
{
    bool const was_suspended =
        now - link_checked_at_ > settings_.reach_memory &&
        link_checked_at_ < reachable_until_;
    link_checked_at_ = now;
    if (was_suspended || (is_open && (is_in_contact_ || is_named_)))
        reachable_until_ = now + settings_.reach_memory;
}

void contact_monitor::change_host(instant now)
{
    presumed_since_ = now;
    record_no_leader();
}

void contact_monitor::record_redirect(instant now, bool is_given_up_host)
{
    if (is_given_up_host)
        answer_time_ = std::max(answer_time_, expired_timeout_);
    change_host(now);
    is_named_ = true;
}

void contact_monitor::record_switch(instant now, std::size_t known_hosts)
{
    expired_timeout_ = answer_timeout();
    change_host(now);
    if (++switches_ % std::max<std::size_t>(known_hosts, 1) == 0 &&
        answer_timeout() < settings_.max_answer_timeout)
        ++doublings_;
}

duration contact_monitor::answer_timeout() const
{
    auto const timeout =
        std::min(std::max(settings_.answer_timeout * (1 << doublings_),
                          answer_time_ * answer_time_factor),
                 settings_.max_answer_timeout);
    auto const step =
        static_cast<std::int64_t>(mix(seed_ + switches_) % jitter_steps);
    return timeout + timeout * step / (jitter_steps * jitter_divisor);
}

instant contact_monitor::deadline() const
{
    auto const without_grant =
        std::max({last_grant_, presumed_since_, last_progress_}) +
        settings_.grant_timeout + (answer_timeout() - settings_.answer_timeout);
    if (!unanswered_since_)
        return without_grant;
    return std::min(without_grant,
                    std::max(*unanswered_since_, last_progress_) +
                        answer_timeout());
}

} // namespace basilreach::control
