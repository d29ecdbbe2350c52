#ifndef BASILREACH_DAEMON_LIMIT_LEADER_HPP
#define BASILREACH_DAEMON_LIMIT_LEADER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include <basilreach/control/control_state.hpp>
#include <basilreach/dispatch/dispatch_mode.hpp>
#include <basilreach/dispatch/placement.hpp>
#include <basilreach/limits/rate_tolerance.hpp>
#include <basilreach/limits/share_allocator.hpp>
#include <basilreach/limits/token_allocator.hpp>
#include <basilreach/messages/message.hpp>
#include <basilreach/settings/daemon_settings.hpp>

namespace basilreach::daemon
{

// Grants rate tokens and connection shares to daemons. It exists while the
// control host leads.
class limit_leader
{
public:
    using sender =
        std::function<void(daemon_name const&, messages::message const&)>;

    // `is_first_leader` states that no earlier leader can have granted
    // anything.
    limit_leader(settings::daemon_settings const& settings,
                 std::uint64_t term,
                 bool is_first_leader,
                 sender send,
                 instant now);

    // Adds, changes and removes limits and holders as in the control state.
    void configure(control::control_state const& state, instant now);

    // Handles the requests of a daemon. An incarnation other than the last one
    // of its daemon is taken for a later process: the caller leaves out what an
    // earlier one has sent.
    void receive(messages::limit_requests const& batch, instant now);

    // Sends the grants that are due. No other host can lead before
    // `leader_until`.
    void tick(instant leader_until, instant now);

    [[nodiscard]] instant next_deadline() const;

private:
    // A daemon's latest process, in the order in which this leader heard of
    // them. Incarnations have no order: they are start times, and the time of
    // day can be set back.
    struct process
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
    };

    struct batch_id
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
    };

    [[nodiscard]] std::uint64_t number_of(daemon_name const& daemon,
                                          std::uint64_t incarnation);
    [[nodiscard]] std::optional<std::uint64_t>
    incarnation_of(daemon_name const& daemon, std::uint64_t number) const;
    bool update_placement(control::control_state const& state);
    void configure_workspaces(instant now);
    void configure_servers(control::control_state const& state, instant now);
    void configure_daemons(control::control_state const& state, instant now);

    limits::rate_tolerance tolerance_;
    dispatch::dispatch_mode mode_;
    sender send_;
    limits::token_allocator token_allocator_;
    limits::share_allocator share_allocator_;
    std::shared_ptr<rules::rule_set const> rules_;
    // Daemons that may be holders, and the groups whose statements they run.
    dispatch::member_map members_;
    std::set<group_name> placed_groups_;
    // Workspaces whose limits or floor holders are not configured yet.
    std::set<workspace_name> unplaced_;
    // Limits of the servers that are configured in share_allocator_.
    std::map<server_name, rules::server_limit_rule> servers_;
    std::set<daemon_name> daemons_;
    std::map<daemon_name, process> processes_;
    // The batches that were received since the last tick in which this host
    // led, by daemon. A daemon sends the next one once it knows that its last
    // one was handled.
    std::map<daemon_name, batch_id> unanswered_batches_;
};

} // namespace basilreach::daemon

#endif
