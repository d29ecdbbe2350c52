#ifndef BASILREACH_DAEMON_LIMIT_LEADER_HPP
#define BASILREACH_DAEMON_LIMIT_LEADER_HPP

#include <cstdint>
#include <functional>
#include <map>

#include <basilreach/control/control_state.hpp>
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

    void receive(limits::token_request const& it, instant now);
    void receive(limits::contact_report const& it, instant now);
    void receive(limits::share_request const& it, instant now);

    // Sends the grants that are due. No other host can lead before
    // `leader_until`.
    void tick(instant leader_until, instant now);

    [[nodiscard]] instant next_deadline() const;

private:
    void configure_servers(control::control_state const& state, instant now);
    void configure_daemons(control::control_state const& state, instant now);

    limits::rate_tolerance tolerance_;
    sender send_;
    limits::token_allocator token_allocator_;
    limits::share_allocator share_allocator_;
    std::shared_ptr<rules::rule_set const> rules_;
    // Limits of the servers that are configured in share_allocator_.
    std::map<server_name, rules::server_limit_rule> servers_;
    std::set<daemon_name> daemons_;
};

} // namespace basilreach::daemon

#endif
