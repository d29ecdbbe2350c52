#ifndef BASILREACH_DAEMON_CONTROL_THREAD_HPP
#define BASILREACH_DAEMON_CONTROL_THREAD_HPP

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/control/contact_monitor.hpp>
#include <basilreach/daemon/control_api_server.hpp>
#include <basilreach/daemon/control_host.hpp>
#include <basilreach/daemon/http_server.hpp>
#include <basilreach/daemon/inbox.hpp>
#include <basilreach/daemon/lease_client.hpp>
#include <basilreach/daemon/limit_client.hpp>
#include <basilreach/daemon/link_table.hpp>
#include <basilreach/daemon/metrics_page.hpp>
#include <basilreach/daemon/stop_sequence.hpp>
#include <basilreach/daemon/thread_messages.hpp>
#include <basilreach/daemon/traffic_thread.hpp>

namespace basilreach::daemon
{

// Why the daemon could not start or had to stop.
enum class daemon_error : std::uint8_t
{
    none,
    cannot_listen,
    data_directory,
};

// The control thread of a daemon. It runs everything but the clients'
// statements: the control host, the lease, limits, links, the control API, the
// metrics page and the requests of admin consoles.
class control_thread
{
public:
    // The context's traffic threads must be set before start(). They may push
    // messages to control_inbox() from then on.
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
    [[nodiscard]] daemon_error start(bool is_joining);

    // Runs until the daemon has drained or an error makes it stop. Returns that
    // error.
    daemon_error run();

private:
    using control_message_handler = void (control_thread::*)(control_message&);
    using link_message_handler = void (control_thread::*)(link_id,
                                                          messages::message&);

    struct pending_console_request
    {
        console_request request;
        instant deadline;
    };

    static control_message_handler const control_message_handlers[];
    static link_message_handler const link_message_handlers[];

    void on_view_adopted(control_message& it);
    void on_term_ended(control_message& it);
    void on_token_request(control_message& it);
    void on_connections_used(control_message& it);
    void on_server_reachability(control_message& it);
    void on_console_request(control_message& it);
    void on_metrics_published(control_message& it);
    void on_thread_drained(control_message& it);
    void on_stop_requested(control_message& it);
    void on_reload_requested(control_message& it);

    void forward_to_control_host(link_id from, messages::message& it);
    void on_lease_grant(link_id from, messages::message& it);
    void on_state_update(link_id from, messages::message& it);
    void on_not_leader(link_id from, messages::message& it);
    void on_admin_reply(link_id from, messages::message& it);
    void on_limit_grants(link_id from, messages::message& it);

    [[nodiscard]] bool open_control_api();
    [[nodiscard]] bool open_metrics();
    [[nodiscard]] traffic_metrics sum_metrics() const;
    [[nodiscard]] metrics_sample sample_metrics() const;
    [[nodiscard]] bool is_in_contact() const;
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool has_entry_role() const;
    void receive(link_id from, messages::message& it);
    void deliver_local_messages();
    void send_to_leader(messages::message const& it);
    [[nodiscard]] consensus::host_name presumed_leader() const;
    void log_contact(bool was_in_contact);
    void on_leader_changed(instant now);
    void switch_control_host(instant now);
    void update_leader_reach(instant now);
    void send_console_request(std::uint64_t id);
    void process_due_console_requests(instant now);
    void answer_console_request(std::uint64_t id, messages::admin_reply reply);
    [[nodiscard]] messages::admin_reply show_metrics() const;
    void log_distribution(instant now);
    void log_load(instant now);
    void read_peers();
    void advance_stop(instant now);
    void enter(stop_phase it, instant now);
    [[nodiscard]] instant next_deadline() const;

    daemon_context& context_;
    event_loop loop_;
    inbox<control_message> inbox_;
    link_table links_;
    std::unique_ptr<control_host> host_;
    // Absent when the settings have no address for it.
    std::unique_ptr<control_api_server> control_api_;
    std::unique_ptr<http_server> metrics_server_;
    std::unique_ptr<lease_client> lease_;
    std::unique_ptr<limit_client> limits_;
    // Messages of this daemon to itself that have not been handled.
    std::vector<messages::message> local_messages_;
    std::vector<consensus::host_name> known_hosts_;
    std::size_t presumed_leader_index_ = 0;
    // The host that was given up last, if a link to it was open.
    consensus::host_name given_up_host_;
    bool is_leader_reachable_ = false;
    control::contact_monitor contact_;
    bool state_changed_ = false;
    distribution_sample logged_distribution_;
    instant next_distribution_line_;
    // Messages received since the start, indexed by the alternatives of
    // messages::message, and those of the last load line.
    using message_counts =
        std::array<std::uint64_t, std::variant_size_v<messages::message>>;
    message_counts received_messages_{};
    message_counts logged_messages_{};
    limit_request_counts logged_limits_;
    instant next_load_line_;
    instant next_peer_read_;

    std::map<std::uint64_t, pending_console_request> console_requests_;
    deadline_queue<std::uint64_t> resends_;
    std::uint64_t last_console_request_id_ = 0;
    std::vector<traffic_metrics> metrics_;

    stop_sequence stop_;
    daemon_error error_ = daemon_error::none;
};

} // namespace basilreach::daemon

#endif
