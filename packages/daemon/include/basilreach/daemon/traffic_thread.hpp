#ifndef BASILREACH_DAEMON_TRAFFIC_THREAD_HPP
#define BASILREACH_DAEMON_TRAFFIC_THREAD_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

#include <ace/Event_Handler.h>

#include <basilreach/daemon/client_connection.hpp>
#include <basilreach/daemon/client_listener.hpp>
#include <basilreach/daemon/client_resources.hpp>
#include <basilreach/daemon/deployment_adapter.hpp>
#include <basilreach/daemon/event_loop.hpp>
#include <basilreach/daemon/forward_links.hpp>
#include <basilreach/daemon/inbox.hpp>
#include <basilreach/daemon/protocol.hpp>
#include <basilreach/daemon/thread_messages.hpp>
#include <basilreach/settings/daemon_settings.hpp>
#include <basilreach/telemetry/decision_log.hpp>
#include <basilreach/traffic/engine.hpp>

namespace basilreach::daemon
{

class traffic_thread;

// Shared by all threads of a daemon. It does not change while they run.
struct daemon_context
{
    settings::daemon_settings settings;
    // Read again at a reload; empty in tests.
    std::string settings_file;
    settings::backend_credential credential;
    deployment_adapter adapter;
    std::unique_ptr<daemon::protocol> protocol;
    // Parses the rules in the format that the deployment uses.
    control::rules_parser rules;
    telemetry::decision_log* decisions = nullptr;
    inbox<control_message>* control = nullptr;
    std::vector<traffic_thread*> threads;
    std::shared_ptr<connection_count> client_connections =
        std::make_shared<connection_count>(0);
};

// Sets the protocol and the rules parser according to the settings and the
// adapter, which must be set before.
void choose_protocol(daemon_context& context);

// A traffic thread: runs a traffic::engine and the sockets of its clients and
// servers. It serves the groups whose names hash to its index.
class traffic_thread
{
public:
    traffic_thread(std::size_t index, daemon_context const& context);
    ~traffic_thread();
    traffic_thread(traffic_thread const&) = delete;
    traffic_thread& operator=(traffic_thread const&) = delete;

    // Opens the listener; only one thread of a daemon does so.
    [[nodiscard]] bool listen(std::string const& address);

    void start();

    // Waits for the end of the thread.
    void join();

    // Sends a message to the thread.
    void post(traffic_message it);

private:
    struct connection_entry
    {
        traffic::connection_id id;
        std::unique_ptr<server_connection> connection;
        // The session whose statement is outstanding, or 0.
        std::uint64_t session = 0;
        bool read_only = false;
        // When a statement was last sent to a holder.
        std::optional<instant> forwarded_at{};
    };

    using message_handler = void (traffic_thread::*)(traffic_message&);
    using action_handler = void (traffic_thread::*)(traffic::action const&);

    static message_handler const message_handlers[];

    void on_event(traffic_message& it);
    void on_client(traffic_message& it);
    void on_console_reply(traffic_message& it);
    void on_drain(traffic_message& it);
    void on_stop(traffic_message& it);

    void perform(traffic::open_connection const& it);
    void perform(traffic::close_connection const& it);
    void perform(traffic::send_statement const& it);
    void perform(traffic::query_position const& it);
    void perform(traffic::relay_answer const& it);
    void perform(traffic::refuse const& it);
    void perform(traffic::end_session const& it);
    void perform(limits::token_request const& it);
    void perform(traffic::connections_used const& it);
    void perform(traffic::server_reachability const& it);
    void perform(traffic::term_ended const& it);
    void perform(traffic::control_view_adopted const& it);
    void perform(traffic::log_decision const& it);
    void perform(traffic::abort_transaction const& it);
    void perform(traffic::probe_holder const& it);

    void run();
    void tick();
    void set_callbacks();
    [[nodiscard]] forward_owner make_forward_owner();
    void add_forwarded_client(std::unique_ptr<forwarded_client> client);
    void accept(ACE_SOCK_Stream const& stream);
    void open_session(client_connection& client);
    void hand_over(client_connection* key);
    void remove_client(client_connection& client);
    void publish_metrics(instant now);
    [[nodiscard]] client_connection* find_client(std::uint64_t session);
    [[nodiscard]] std::optional<client_identity>
    authenticate(std::string_view database,
                 std::optional<std::string_view> key) const;
    [[nodiscard]] bool is_known(std::string_view database) const;
    [[nodiscard]] traffic::refusal_reason
    denial_reason(std::string_view database) const;
    void log_refused_connection(std::string_view database,
                                traffic::refusal_reason reason);
    [[nodiscard]] std::size_t thread_of(group_name const& group) const;
    [[nodiscard]] server_observer make_observer(traffic::connection_id id);

    std::size_t index_;
    daemon_context const& context_;
    event_loop loop_;
    inbox<traffic_message> inbox_;
    client_listener listener_;
    client_owner owner_;
    // Destroyed after the clients and connections, which refer to it.
    forward_links forward_links_;
    client_resources resources_;
    traffic::engine engine_;
    traffic::control_view_ptr view_;
    // The end of the daemon's control lease.
    instant lease_until_{};
    std::unordered_map<std::uint64_t, std::unique_ptr<client_connection>>
        clients_;
    // Clients that have not been handed over to the thread of their group,
    // most of them not authenticated yet.
    std::unordered_map<client_connection*, std::unique_ptr<client_connection>>
        pending_clients_;
    // Pending clients to be handed over at the end of the tick.
    std::vector<client_connection*> authenticated_;
    std::unordered_map<traffic::connection_id, connection_entry>
        server_connections_;
    // Closed connections. One of their functions may be on the call stack, so
    // they are destroyed at the end of the tick.
    std::vector<std::unique_ptr<ACE_Event_Handler>> retired_clients_;
    std::vector<std::unique_ptr<server_connection>> retired_server_connections_;
    std::vector<telemetry::decision_record> decisions_;
    std::uint64_t next_session_ = 0;
    telemetry::latency_histogram reads_;
    telemetry::latency_histogram writes_;
    telemetry::latency_histogram forwarded_;
    instant next_publication_;
    bool is_draining_ = false;
    bool is_drained_ = false;
    bool is_stopping_ = false;
    std::thread thread_;
};

} // namespace basilreach::daemon

#endif
