#ifndef BASILREACH_CONTROL_CONTACT_MONITOR_HPP
#define BASILREACH_CONTROL_CONTACT_MONITOR_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <basilreach/base/instant.hpp>

namespace basilreach::control
{

struct contact_settings
{
    // Another control host is tried when no message has been answered for this
    // time. Requests for rate tokens are sent ten times a second under load, so
    // that a lost leader is noticed before the reserve of tokens is spent.
    duration answer_timeout = std::chrono::milliseconds(250);
    // The timeout doubles up to this one once every known control host has been
    // tried in vain: a leader that is slow because of its load would get the
    // requests of all daemons again and again. For the same reason it is at
    // least twice the time that the leader has recently needed for an answer.
    duration max_answer_timeout = std::chrono::seconds(1);
    // Another control host is also tried when there was no lease grant for this
    // time. Longer than the renewal interval.
    duration grant_timeout = std::chrono::milliseconds(900);
    // The leader counts as reachable for this time after a link to it was seen
    // open. A daemon that is cut off gives up the leader and then waits for
    // this time, both together within the rest of its lease, so that it goes on
    // without a gap.
    duration reach_memory = std::chrono::seconds(1);

    friend auto operator<=>(contact_settings const&,
                            contact_settings const&) = default;
};

// Decides when a daemon takes the presumed leader for lost and tries another
// control host.
class contact_monitor
{
public:
    // The seed spreads the retries of daemons that lose the leader together.
    contact_monitor(contact_settings settings, std::uint64_t seed, instant now);

    // A message that will be answered was sent.
    void record_message(instant now);

    // The leader has answered a message.
    void record_answer(instant now);

    // The leader has answered a lease renewal.
    void record_grant(instant now);

    // Part of a message arrived. A large one takes longer than the timeout on a
    // slow link, and the answers wait behind it.
    void record_progress(instant at);

    // The host has answered that it knows no leader. It will name the next one,
    // so no other host is tried before the grant timeout.
    void record_no_leader();

    // Messages now go to the host that another one named as the leader. A host
    // that was given up last and still leads is slow and not lost.
    void record_redirect(instant now, bool is_given_up_host = false);

    // States whether the link to the presumed leader is open. To be called more
    // often than reach_memory; a longer pause is taken for a suspension of the
    // daemon, after which it has to look again.
    void record_link(bool is_open, instant now);

    // Messages now go to the next one of the known hosts.
    void record_switch(instant now, std::size_t known_hosts);

    // When to try another host, unless there is an answer or progress before.
    [[nodiscard]] instant deadline() const;

    // Since when a message is unanswered.
    [[nodiscard]] std::optional<instant> unanswered_since() const
    {
        return unanswered_since_;
    }

    // Whether the presumed leader has answered.
    [[nodiscard]] bool is_in_contact() const
    {
        return is_in_contact_;
    }

    // Until when the leader counts as reachable: it has answered, or another
    // host has named it, and a link to it was open a short time ago. It may be
    // too slow to answer.
    [[nodiscard]] instant reachable_until() const
    {
        return reachable_until_;
    }

private:
    void change_host(instant now);
    [[nodiscard]] duration answer_timeout() const;

    contact_settings settings_;
    std::uint64_t seed_;
    // When messages first went to the presumed leader.
    instant presumed_since_;
    instant last_grant_;
    instant last_progress_;
    std::optional<instant> unanswered_since_;
    // The longest recent time until an answer. It decreases with each answer
    // that is faster.
    duration answer_time_{};
    // The timeout after which the last host was given up.
    duration expired_timeout_{};
    bool is_in_contact_ = false;
    // Whether a control host has named the presumed leader as the leader.
    bool is_named_ = false;
    instant reachable_until_;
    instant link_checked_at_;
    // Hosts that were tried since the last answer.
    std::size_t switches_ = 0;
    // How often the timeout has been doubled.
    unsigned doublings_ = 0;
};

} // namespace basilreach::control

#endif
