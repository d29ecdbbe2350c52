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

// Brings the daemons that follow a control host up to its state: commands for
// those a little behind, a snapshot for the others.
class update_feed
{
public:
    // Bytes of rules in the commands that are kept for followers.
    static constexpr std::size_t max_retained_bytes = std::size_t{2} << 20U;

    // The state has applied a command.
    void record(std::uint64_t index, control::command const& it);

    // The state was replaced by a snapshot.
    void clear();

    // The link's peer has the state of this revision and follows from there.
    void subscribe(link_id link, std::uint64_t revision);

    // Returns what followers lack. Each of them is taken to have it from then
    // on; one that does not subscribes again.
    [[nodiscard]] std::vector<std::pair<link_id, messages::state_update>>
    collect_updates(control::control_state const& state);

private:
    [[nodiscard]] messages::state_update
    make_update(control::control_state const& state, std::uint64_t after) const;

    std::deque<messages::indexed_command> retained_commands_;
    std::size_t retained_bytes_ = 0;
    std::map<link_id, std::uint64_t> subscribers_;
};

} // namespace basilreach::daemon

#endif
