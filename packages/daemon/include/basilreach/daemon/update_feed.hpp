#ifndef BASILREACH_DAEMON_UPDATE_FEED_HPP
#define BASILREACH_DAEMON_UPDATE_FEED_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <basilreach/control/control_state.hpp>
#include <basilreach/daemon/link_table.hpp>
#include <basilreach/messages/message.hpp>

namespace basilreach::daemon
{

// Updates that a feed has produced since the start.
struct update_counts
{
    std::uint64_t updates = 0;
    // Of these, updates that carry the whole state.
    std::uint64_t snapshots = 0;

    friend bool operator==(update_counts const&,
                           update_counts const&) = default;
};

// One update for all subscribers with the same state.
struct outgoing_update
{
    control::state_update update;
    std::vector<link_id> links;

    friend bool operator==(outgoing_update const&,
                           outgoing_update const&) = default;
};

// Sends changes of the control state to the daemons that subscribe to this
// control host. A subscriber asks for one update at a time, so what is queued
// for it is bounded by one update, and changes that are made meanwhile reach it
// as one.
class update_feed
{
public:
    // Bytes of the texts of earlier rules that are retained. A subscriber that
    // has one of them gets the difference, others get the whole text.
    static constexpr std::size_t max_retained_bytes = std::size_t{2} << 20U;

    // Retains the rules of the state, if they are another version.
    void record(control::control_state const& state);

    // The link's peer asks for its next update.
    void subscribe(link_id link, messages::subscribe const& it);

    // The link has ended.
    void remove(link_id link);

    // Returns the updates that subscribers wait for, at most once in the time
    // that the control host needs to send the last ones and to handle the
    // answers. Changes that are made meanwhile reach a subscriber as one.
    [[nodiscard]] std::vector<outgoing_update>
    collect_updates(control::control_state const& state, instant now);

    // Returns when collect_updates() must be called again.
    [[nodiscard]] instant
    next_deadline(control::control_state const& state) const;

    [[nodiscard]] update_counts const& counts() const
    {
        return counts_;
    }

private:
    // The revision and the version of the rules that a subscriber has.
    using position = std::pair<std::uint64_t, std::uint64_t>;

    struct subscriber
    {
        position has;
        std::uint64_t updates_handled = 0;
    };

    struct retained_rules
    {
        std::uint64_t version = 0;
        std::string text;
    };

    [[nodiscard]] bool
    is_update_awaited(control::control_state const& state) const;
    [[nodiscard]] std::string_view text_of(std::uint64_t version) const;

    std::deque<retained_rules> retained_;
    std::size_t retained_bytes_ = 0;
    std::map<link_id, subscriber> subscribers_;
    // Subscribers without an update on its way.
    std::map<position, std::set<link_id>> waiting_;
    // Before this time no further updates are sent.
    instant next_collection_;
    update_counts counts_;
};

} // namespace basilreach::daemon

#endif
