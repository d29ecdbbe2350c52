#ifndef BASILREACH_DAEMON_LEASE_CLIENT_HPP
#define BASILREACH_DAEMON_LEASE_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include <basilreach/control/control_state.hpp>
#include <basilreach/control/lease_holder.hpp>
#include <basilreach/daemon/thread_messages.hpp>
#include <basilreach/daemon/traffic_thread.hpp>
#include <basilreach/messages/message.hpp>
#include <basilreach/traffic/control_view.hpp>

namespace basilreach::daemon
{

// Holds the daemon's lease and its copy of the control state, and passes both
// on to the traffic threads.
class lease_client
{
public:
    // `send_to_leader` sends a message to the presumed leader.
    lease_client(daemon_context const& context,
                 std::function<void(messages::message const&)> send_to_leader,
                 instant now);

    void receive(control::grant_lease const& it);
    void receive(control::state_update const& it);
    void receive(view_adopted const& it);
    void receive(traffic::term_ended const& it);

    // States that messages now go to another control host, which does not know
    // of this daemon's subscription.
    void leader_changed();

    // Takes over the state of the control host in this daemon, if it is newer.
    void update_state(control::control_state const& state);

    // Refuses a key from now on, before its withdrawal is committed.
    void deny_key(control::key_digest const& key);

    // Releases the lease, for a planned stop.
    void stop();

    void tick(instant now);

    [[nodiscard]] instant next_deadline() const
    {
        return holder_.next_deadline();
    }

    // Differs for each start of the daemon.
    [[nodiscard]] std::uint64_t incarnation() const
    {
        return incarnation_;
    }

    // When the last grant arrived.
    [[nodiscard]] instant last_grant() const
    {
        return last_grant_;
    }

    // Whether the daemon has held a lease since its start, and so has had a
    // state that was in force.
    [[nodiscard]] bool has_held_lease() const
    {
        return has_held_lease_;
    }

    // The latest state. The traffic threads may not have adopted it yet.
    [[nodiscard]] control::control_state const& state() const
    {
        return state_;
    }

private:
    using output_handler =
        void (lease_client::*)(control::holder_output const&);

    static output_handler const output_handlers[];

    void on_lease_renewal(control::holder_output const& it);
    void on_lease_returned(control::holder_output const& it);
    void on_adopt_state(control::holder_output const& it);
    void on_state_refused(control::holder_output const& it);
    void on_lease_updated(control::holder_output const& it);

    // Asks the presumed leader for the next update of the state.
    void subscribe();
    void publish();
    // Tells apart a daemon that lacks an update, one that is refused a lease
    // and one that has lost the leader.
    void log_lease_change(instant now);
    void post(traffic::event const& it) const;

    daemon_context const& context_;
    std::function<void(messages::message const&)> send_to_leader_;
    std::uint64_t incarnation_;
    control::lease_holder holder_;
    control::control_state state_;
    std::set<control::key_digest> denied_keys_;
    instant last_grant_;
    // Revision of the leader's state at the last grant.
    std::uint64_t leader_revision_ = 0;
    std::uint64_t updates_handled_ = 0;
    // Whether the presumed leader has been asked for the next update.
    bool is_subscribed_ = false;
    bool is_lease_held_ = false;
    bool has_held_lease_ = false;
    // The last update did not fit, so the whole state is asked for.
    bool needs_whole_state_ = false;
};

} // namespace basilreach::daemon

#endif
