#ifndef BASILREACH_DAEMON_UPDATE_FEED_HPP
#define BASILREACH_DAEMON_UPDATE_FEED_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
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
    // Of these, updates that carry a snapshot.
    std::uint64_t snapshots = 0;

    friend bool operator==(update_counts const&,
                           update_counts const&) = default;
};

// Sends changes of the control state to the daemons that subscribe to this
// control host. A subscriber gets the commands that it lacks, or a snapshot
// when some of them are no longer retained.
class update_feed
{
public:
    // Bytes of rules in the commands that are retained.
    static constexpr std::size_t max_retained_bytes = std::size_t{2} << 20U;

    // Adds a command that the state has applied.
    void record(std::uint64_t index, control::command const& it);

    // Drops the retained commands, after a snapshot has replaced the state.
    void clear();

    // The link's peer has the state of this revision and gets later changes.
    void subscribe(link_id link, std::uint64_t revision);

    // Returns the updates that subscribers lack. They are assumed to arrive; a
    // subscriber that misses one subscribes again.
    [[nodiscard]] std::vector<std::pair<link_id, messages::state_update>>
    collect_updates(control::control_state const& state);

    [[nodiscard]] update_counts const& counts() const
    {
        return counts_;
    }

private:
    [[nodiscard]] messages::state_update
    make_update(control::control_state const& state, std::uint64_t after) const;

    std::deque<messages::indexed_command> retained_commands_;
    std::size_t retained_bytes_ = 0;
    update_counts counts_;
    std::map<link_id, std::uint64_t> subscribers_;
};

} // namespace basilreach::daemon

#endif
