#ifndef BASILREACH_DAEMON_LIMIT_CLIENT_HPP
#define BASILREACH_DAEMON_LIMIT_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include <basilreach/control/control_state.hpp>
#include <basilreach/daemon/traffic_thread.hpp>
#include <basilreach/limits/connection_limiter.hpp>
#include <basilreach/limits/rate_limiter.hpp>
#include <basilreach/limits/token_allocator.hpp>
#include <basilreach/messages/message.hpp>

namespace basilreach::daemon
{

// Returns the holder name of a traffic thread for rate tokens.
[[nodiscard]] daemon_name token_holder_name(std::size_t thread);

// Holds the daemon's rate tokens and connection shares. It grants the tokens to
// the traffic threads with the same allocator as the leader uses to grant them
// to daemons.
class limit_client
{
public:
    // `send_to_leader` sends a message to the presumed leader.
    limit_client(daemon_context const& context,
                 std::uint64_t incarnation,
                 std::function<void(messages::message const&)> send_to_leader,
                 instant now);

    // Adds and removes workspaces and servers as in the control state.
    void configure(control::control_state const& state, instant now);

    // Handles the requests of traffic threads and the grants of the leader.
    void receive(limits::token_request const& it, instant now);
    void receive(messages::limit_grants const& batch, instant now);
    void receive(traffic::connections_used const& it, instant now);

    // States that messages now go to another control host.
    void change_allocator(instant now);

    // States whether the presumed leader has answered a lease renewal. Nothing
    // is requested before: while no host leads, the requests of all daemons
    // would keep the control hosts from electing one.
    void set_contact(bool is_in_contact);

    void tick(instant now);

    [[nodiscard]] instant next_deadline() const;

private:
    void configure_workspaces(rules::rule_set const& all, instant now);
    void configure_servers(control::control_state const& state, instant now);
    void send_requests(instant now);
    // Returns when the next batch of requests may be sent.
    [[nodiscard]] instant next_batch() const;
    void post_share_changes(instant now);

    daemon_context const& context_;
    std::uint64_t incarnation_;
    std::function<void(messages::message const&)> send_to_leader_;
    limits::rate_limiter rate_limiter_;
    limits::token_allocator thread_allocator_;
    limits::connection_limiter connection_limiter_;
    bool is_in_contact_ = false;
    // Repeated requests that the batches so far have stated.
    std::uint32_t stated_repeats_ = 0;
    // The batch of requests that was sent last, and whether the leader has
    // answered it.
    std::uint64_t last_batch_ = 0;
    instant batch_sent_;
    bool is_batch_answered_ = true;
    // Revision of the last control state that was passed to configure().
    std::optional<std::uint64_t> configured_revision_;
    std::set<workspace_name> workspaces_;
    // Shares that were last sent to the traffic threads.
    std::map<server_name, std::uint32_t> known_shares_;
};

} // namespace basilreach::daemon

#endif
