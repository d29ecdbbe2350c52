#ifndef BASILREACH_DAEMON_CONTROL_THREAD_HPP
#define BASILREACH_DAEMON_CONTROL_THREAD_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/daemon/control_api_server.hpp>
#include <basilreach/daemon/control_host.hpp>
#include <basilreach/daemon/http_server.hpp>
#include <basilreach/daemon/inbox.hpp>
#include <basilreach/daemon/lease_client.hpp>
#include <basilreach/daemon/limit_client.hpp>
#include <basilreach/daemon/link_table.hpp>
#include <basilreach/daemon/metrics_page.hpp>
#include <basilreach/daemon/thread_messages.hpp>
#include <basilreach/daemon/traffic_thread.hpp>

namespace basilreach::daemon
{

// Why the daemon could not start or had to end.
enum class daemon_error : std::uint8_t
{
    none,
    cannot_listen,
    data_directory,
};

// The control thread of a daemon: the sockets around the control state, the
// leases, the agreement and the admin console.
class control_thread
{
public:
    // The context's threads are set before start(); they may post notes from
    // then on.
    explicit control_thread(daemon_context& context);

    [[nodiscard]] inbox<control_message>& control_inbox()
    {
        return inbox_;
    }

    [[nodiscard]] event_loop& loop()
    {
        return loop_;
    }

    // Opens the data directory and the listeners.
    [[nodiscard]] daemon_error start(bool joins);

    // Runs until the daemon has drained or cannot go on.
    daemon_error run();

private:
    using note_handler = void (control_thread::*)(control_message&);
    using message_handler = void (control_thread::*)(link_id,
                                                     messages::message&);

    struct pending_call
    {
        console_request call;
        instant deadline;
    };

    static note_handler const note_handlers[];
    static message_handler const message_handlers[];

    void on_adopted(control_message& it);
    void on_term_ended(control_message& it);
    void on_tokens_wanted(control_message& it);
    void on_connections_used(control_message& it);
    void on_server_reach(control_message& it);
    void on_admin_call(control_message& it);
    void on_metrics(control_message& it);
    void on_drained(control_message& it);
    void on_stop(control_message& it);
    void on_reload(control_message& it);

    void to_control_host(link_id from, messages::message& it);
    void on_grant(link_id from, messages::message& it);
    void on_update(link_id from, messages::message& it);
    void on_not_leader(link_id from, messages::message& it);
    void on_admin_reply(link_id from, messages::message& it);
    void on_token_grant(link_id from, messages::message& it);
    void on_share_grant(link_id from, messages::message& it);

    [[nodiscard]] bool open_calls();
    [[nodiscard]] bool open_metrics();
    [[nodiscard]] traffic_metrics sum_metrics() const;
    [[nodiscard]] metrics_sample sample_metrics() const;
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool serves_clients() const;
    void receive(link_id from, messages::message& it);
    void deliver_local();
    void to_leader(messages::message const& it);
    [[nodiscard]] consensus::host_name leader_guess() const;
    void note_answer();
    [[nodiscard]] instant rotation_deadline() const;
    void rotate_leader(instant now);
    void send_call(std::uint64_t id);
    void expire_calls(instant now);
    void answer_call(std::uint64_t id, messages::admin_reply reply);
    [[nodiscard]] messages::admin_reply show_metrics() const;
    void start_drain();
    void close_listener(instant now);
    void follow_drain(instant now);
    [[nodiscard]] instant next_deadline() const;

    daemon_context& context_;
    event_loop loop_;
    inbox<control_message> inbox_;
    link_table links_;
    std::unique_ptr<control_host> host_;
    // Absent where no address for it is set.
    std::unique_ptr<control_api_server> service_;
    std::unique_ptr<http_server> metrics_server_;
    std::unique_ptr<lease_client> lease_;
    std::unique_ptr<limit_client> limits_;
    // Messages of this daemon to itself.
    std::vector<messages::message> local_;
    std::vector<consensus::host_name> known_hosts_;
    std::size_t guess_ = 0;
    // Since when something sent to the leader has had no answer.
    std::optional<instant> unanswered_since_;
    bool is_in_contact_ = false;
    instant guessed_at_;
    bool state_changed_ = false;

    std::map<std::uint64_t, pending_call> calls_;
    deadline_queue<std::uint64_t> resends_;
    std::uint64_t last_call_ = 0;
    std::vector<traffic_metrics> metrics_;

    enum class drain_phase : std::uint8_t
    {
        none,
        announced,
        draining,
        done
    };

    drain_phase drain_ = drain_phase::none;
    instant drain_deadline_ = never;
    std::size_t drained_threads_ = 0;
    daemon_error error_ = daemon_error::none;
};

} // namespace basilreach::daemon

#endif
