#ifndef BASILREACH_DAEMON_METRICS_PAGE_HPP
#define BASILREACH_DAEMON_METRICS_PAGE_HPP

#include <cstdint>
#include <string>

#include <basilreach/daemon/message_link.hpp>
#include <basilreach/daemon/thread_messages.hpp>
#include <basilreach/daemon/update_feed.hpp>

namespace basilreach::daemon
{

// The metrics of a daemon at one moment.
struct metrics_sample
{
    // Sum over the traffic threads.
    traffic_metrics traffic;
    std::uint64_t decisions_dropped = 0;
    // Revision of the daemon's control state.
    std::uint64_t revision = 0;
    bool is_ready = false;
    bool is_leader = false;
    // Whether a leader is known or, without the control role, a control host
    // answers.
    bool is_in_contact = false;
    // Sums over the links to other daemons that are open now.
    link_counts links;
    update_counts state_updates;
    // By the daemon's control state.
    std::size_t data_centres_out_of_service = 0;

    friend bool operator==(metrics_sample const&,
                           metrics_sample const&) = default;
};

// Returns the metrics in the text format of Prometheus. docs/OPERATIONS.md
// lists their names and units.
[[nodiscard]] std::string write_metrics(metrics_sample const& it);

} // namespace basilreach::daemon

#endif
