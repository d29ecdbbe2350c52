#ifndef BASILREACH_DAEMON_CONTROL_HOST_HPP
#define BASILREACH_DAEMON_CONTROL_HOST_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <basilreach/consensus/member.hpp>
#include <basilreach/control/control_state.hpp>
#include <basilreach/control/leader.hpp>
#include <basilreach/control/membership_manager.hpp>
#include <basilreach/control/server_monitor.hpp>
#include <basilreach/daemon/control_api_codec.hpp>
#include <basilreach/daemon/limit_leader.hpp>
#include <basilreach/daemon/link_table.hpp>
#include <basilreach/daemon/promotion_client.hpp>
#include <basilreach/daemon/update_feed.hpp>
#include <basilreach/messages/message.hpp>
#include <basilreach/storage/store.hpp>

namespace basilreach::daemon
{

// Callbacks from a control host to the rest of the daemon.
struct control_host_outputs
{
    std::function<void(consensus::host_name const&, messages::message const&)>
        send_to_host;
    std::function<void(link_id, messages::message const&)> send_to_link;
    std::function<void(std::vector<link_id> const&, messages::message const&)>
        send_to_links;
    // Messages of another control host arrive over the link.
    std::function<void(link_id)> peer_found;
    // Answers a call of the control API.
    std::function<void(std::uint64_t id, call_answer)> answer_call;
    // The control state has changed.
    std::function<void()> state_changed;
    // The data directory can no longer be written; the process must end.
    std::function<void(storage::storage_error const&)> failed;
};

// Requests for tokens and shares that a control host has received since its
// start.
struct limit_request_counts
{
    std::uint64_t tokens = 0;
    std::uint64_t shares = 0;
    // Those among them that follow an unanswered one.
    std::uint64_t repeated = 0;

    friend bool operator==(limit_request_counts const&,
                           limit_request_counts const&) = default;
};

// How far the daemons have the control state, for the log and the metrics.
struct distribution_sample
{
    std::uint64_t revision = 0;
    // Empty while this host does not lead.
    std::optional<control::lease_counts> leases;
    update_counts sent;

    friend bool operator==(distribution_sample const&,
                           distribution_sample const&) = default;
};

// The control role of a daemon: its member of the consensus group, the
// replicated control state and, while it leads, the leader's decisions.
class control_host
{
public:
    using open_result =
        result<std::unique_ptr<control_host>, storage::storage_error>;

    // Reads the data directory. An empty one starts a new cluster, unless
    // `is_joining` is set: the host then waits for the leader to add it.
    static open_result open(daemon_context const& context,
                            event_loop& loop,
                            control_host_outputs outputs,
                            bool is_joining,
                            instant now);

    // Handles a message that arrived over a link.
    void receive(link_id from, messages::message const& it);

    // No more messages arrive over the link.
    void link_ended(link_id it);

    // Runs a call of the control API. The answer is passed to
    // control_host_outputs::answer_call, possibly before this returns.
    void call(std::uint64_t id, control_call const& it, instant now);

    void tick(instant now);

    [[nodiscard]] instant next_deadline() const;

    [[nodiscard]] control::control_state const& state() const
    {
        return *state_;
    }

    // Whether a leader has confirmed the state since the process started. Until
    // then it may lack changes that were acknowledged before the start, so
    // nothing may be decided by it.
    [[nodiscard]] bool has_confirmed_state() const
    {
        return has_confirmed_state_;
    }

    [[nodiscard]] distribution_sample sample_distribution() const;

    [[nodiscard]] limit_request_counts const& limit_counts() const
    {
        return limit_counts_;
    }

    // Empty when the leader is unknown.
    [[nodiscard]] consensus::host_name leader_name() const
    {
        return member_->state().leader;
    }

    [[nodiscard]] consensus::host_name const& self() const
    {
        return self_;
    }

private:
    using handler = void (control_host::*)(link_id, messages::message const&);
    using output_handler =
        void (control_host::*)(control::leader_output const&);

    struct requester
    {
        link_id link = 0;
        std::uint64_t id = 0;
        // Whether the id is that of a control API call, not of a console's
        // request.
        bool is_call = false;
    };

    // Requests for tokens and shares that wait for the next tick.
    struct waiting_batch
    {
        link_id link = 0;
        messages::limit_requests requests;
    };

    // A command that waits to be proposed, and who is told if it is refused.
    struct queued_command
    {
        consensus::entry_payload payload;
        std::optional<requester> from;
        messages::admin_reply refusal;
    };

    struct pending_read
    {
        requester from;
        std::string text;
    };

    static handler const handlers[];
    static output_handler const output_handlers[];

    control_host(daemon_context const& context,
                 event_loop& loop,
                 control_host_outputs outputs,
                 consensus::host_name self,
                 storage::store store);

    void start(storage::contents contents, bool is_joining, instant now);

    void on_lease_renewal(link_id from, messages::message const& it);
    void on_lease_returned(link_id from, messages::message const& it);
    void on_subscribe(link_id from, messages::message const& it);
    void on_admin_request(link_id from, messages::message const& it);
    void on_limit_requests(link_id from, messages::message const& it);
    void handle_limit_requests();
    void on_peer_message(link_id from, messages::message const& it);
    void on_join_request(link_id from, messages::message const& it);
    void on_reach_report(link_id from, messages::message const& it);
    void on_unexpected_message(link_id from, messages::message const& it);

    void on_propose(control::leader_output const& it);
    void on_lease_grant(control::leader_output const& it);
    void on_query_positions(control::leader_output const& it);
    void on_promote(control::leader_output const& it);
    void on_change_in_force(control::leader_output const& it);
    void on_promotion_decision(control::leader_output const& it);

    void run_call(std::uint64_t id, put_rules const& it);
    void run_call(std::uint64_t id, get_rules const& it);
    void run_call(std::uint64_t id, report_server const& it);
    void run_call(std::uint64_t id, deregister_server const& it);
    void run_call(std::uint64_t id, set_data_centre_service const& it);
    void commit_call(std::uint64_t id,
                     std::optional<control::command_body> const& it);
    [[nodiscard]] bool record_link(daemon_name const& daemon, link_id link);
    void run_step(consensus::step_result step);
    void queue_command(control::command const& it);
    void queue_command(control::command const& it,
                       requester const& from,
                       messages::admin_reply refusal);
    void propose_queued();
    void propose_batch(std::vector<queued_command> batch);
    void refuse(requester const& to, messages::admin_reply reply);
    bool persist(consensus::step_result const& step);
    void install_snapshot(consensus::snapshot const& it);
    void apply(consensus::log_entry const& entry);
    void handle_role_change(consensus::role_state const& role);
    void start_leading();
    void compact();
    [[nodiscard]] bool has_current_state() const;
    void send_updates();
    [[nodiscard]] instant next_update() const;
    void propose_initial_rules();
    void check_membership();
    void request_to_join();
    void answer(requester const& to, messages::admin_reply reply);
    void answer_read(consensus::read_outcome const& it);
    void refuse_pending();
    bool redirect(link_id from);
    void run_step_for(requester const& to,
                      consensus::step_result step,
                      messages::admin_reply refusal);

    daemon_context const& context_;
    control_host_outputs outputs_;
    consensus::host_name self_;
    storage::store store_;
    std::unique_ptr<control::control_state> state_;
    std::unique_ptr<consensus::member> member_;
    std::unique_ptr<control::leader> leader_;
    std::unique_ptr<limit_leader> limits_;
    std::unique_ptr<promotion_client> promotion_client_;
    std::unique_ptr<control::server_monitor> monitor_;
    instant now_;
    instant elected_at_;
    std::uint64_t compacted_index_ = 0;
    std::uint64_t applied_index_ = 0;
    // Bytes of the payloads applied since the last snapshot.
    std::size_t applied_bytes_ = 0;
    std::uint64_t last_read_id_ = 0;
    bool has_confirmed_state_ = false;
    // Present while this host leads, if the settings have seeds.
    std::unique_ptr<control::membership_manager> membership_manager_;
    instant next_membership_check_ = never;
    // When this host asks to join, unless it knows a leader by then.
    instant next_join_request_;

    update_feed feed_;
    limit_request_counts limit_counts_;
    // In the order of arrival. A daemon has one batch here at most, as it sends
    // the next one when this one has been answered.
    std::deque<waiting_batch> waiting_batches_;
    // The latest link of each daemon.
    std::map<daemon_name, link_id> daemon_links_;
    // By index and term of the proposed entry.
    std::map<std::pair<std::uint64_t, std::uint64_t>, requester>
        pending_proposals_;
    std::map<std::uint64_t, pending_read> pending_reads_;
    // Commands for the next tick. Those of one tick are synced, sent and
    // distributed together.
    std::vector<queued_command> queued_commands_;
    std::vector<control::leader_input> leader_inputs_;
};

} // namespace basilreach::daemon

#endif
