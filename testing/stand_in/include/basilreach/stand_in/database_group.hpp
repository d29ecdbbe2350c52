#ifndef BASILREACH_STAND_IN_DATABASE_GROUP_HPP
#define BASILREACH_STAND_IN_DATABASE_GROUP_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/result.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/pgwire/encoder.hpp>
#include <basilreach/stand_in/client.hpp>
#include <basilreach/stand_in/replication.hpp>

namespace basilreach::stand_in
{

struct group_settings
{
    group_name group;
    std::vector<server_name> servers;
    duration lag{};
    // Statements that run at the same time on one server.
    std::size_t slots = 3;
    std::size_t connection_limit = 25;
    // Time that authentication takes after the password has arrived.
    duration connection_cost{};
    // Time for which a statement on the table `item` occupies a slot.
    duration statement_cost{};
    // Maximum size of the received bytes kept for SHOW RECEIVED. Once more have
    // been received, SHOW RECEIVED fails instead of returning a wrong count.
    std::size_t received_limit = 256 << 20;
    std::string user;
    std::string password;

    friend bool operator==(group_settings const&,
                           group_settings const&) = default;
};

// Sends bytes to a client.
struct send_bytes
{
    client_id client;
    std::string bytes;

    friend bool operator==(send_bytes const&, send_bytes const&) = default;
};

// Closes a client's connection after its pending output has been sent.
struct disconnect_client
{
    client_id client;

    friend bool operator==(disconnect_client const&,
                           disconnect_client const&) = default;
};

// Opens or closes the listening socket of a server.
struct set_listening
{
    std::size_t server = 0;
    bool listening = false;

    friend bool operator==(set_listening const&,
                           set_listening const&) = default;
};

using group_action = std::variant<send_bytes, disconnect_client, set_listening>;

// Rows and command tag that a statement returns.
struct answer
{
    std::vector<std::vector<std::optional<std::string>>> rows;
    std::string tag;

    friend bool operator==(answer const&, answer const&) = default;
};

using answer_result = result<answer, pgwire::error_fields>;

// Simulates a group of PostgreSQL servers as seen by its clients. The class has
// no sockets and no clock: the caller passes in received bytes and the time,
// and performs the actions that tick() returns.
class database_group
{
public:
    explicit database_group(group_settings settings);

    // Adds a client that has connected to a server.
    client_id open_client(std::size_t server);

    // Removes a client whose connection has ended and rolls its transaction
    // back.
    void close_client(client_id id);

    // Decodes bytes received from a client; the next tick handles the messages.
    void receive(client_id id, std::string_view bytes);

    // Runs every stage once and returns the actions that result.
    std::vector<group_action> tick(instant now);

    // Returns when the next tick is due without further input.
    [[nodiscard]] instant next_deadline() const;

    [[nodiscard]] group_settings const& settings() const noexcept
    {
        return settings_;
    }

private:
    struct server_row
    {
        bool running = true;
        bool paused = false;
        bool isolated = false;
        std::size_t connections = 0;
        std::size_t max_connections_seen = 0;
        std::size_t busy_slots = 0;
        std::deque<client_id> slot_queue;
        // The client that holds each lock. A lock is on an item or on a request
        // id, and is held to the end of the transaction that changed it.
        std::map<std::string, client_id> locks;
        std::set<client_id> lock_queue;
    };

    using status = result<void, pgwire::error_fields>;

    // The stages of a tick, in this order; replication runs before and after.
    void handle_deadlines();
    void handle_messages();

    // Message handlers, one for each type of message.
    void
    dispatch(client_id id, client& it, pgwire::frontend_message const& message);
    template <class Message>
    void
    handle(client_id id, client& it, pgwire::frontend_message const& message);
    void on(client_id id, client& it, pgwire::startup_message const& message);
    void on(client_id id, client& it, pgwire::ssl_request const& message);
    void
    on(client_id id, client& it, pgwire::gss_encryption_request const& message);
    void on(client_id id, client& it, pgwire::cancel_request const& message);
    void on(client_id id, client& it, pgwire::password_message const& message);
    void on(client_id id, client& it, pgwire::query const& message);
    void on(client_id id, client& it, pgwire::parse const& message);
    void on(client_id id, client& it, pgwire::bind const& message);
    void on(client_id id, client& it, pgwire::describe_target const& message);
    void on(client_id id, client& it, pgwire::close_target const& message);
    void on(client_id id, client& it, pgwire::execute const& message);
    void on(client_id id, client& it, pgwire::sync const& message);
    void on(client_id id, client& it, pgwire::flush const& message);
    void on(client_id id, client& it, pgwire::terminate const& message);
    void on(client_id id, client& it, pgwire::unsupported const& message);

    void finish_authentication(client& it);

    // Statements.
    void advance(client_id id, client& it);
    void next_simple_statement(client_id id, client& it);
    void finish_simple_query(client_id id, client& it);
    void start(client_id id, client& it);
    void acquire_lock(client_id id, client& it);
    void acquire_slot(client_id id, client& it);
    void run(client_id id, client& it);
    void finish(client_id id, client& it);
    status check(client const& it) const;
    answer_result execute_select_value(client_id id, client& it);
    answer_result execute_select_amount(client_id id, client& it);
    answer_result execute_insert_item(client_id id, client& it);
    answer_result execute_update_value(client_id id, client& it);
    answer_result execute_increment_amount(client_id id, client& it);
    answer_result execute_sleep(client_id id, client& it);
    answer_result execute_begin(client_id id, client& it);
    answer_result execute_begin_read_only(client_id id, client& it);
    answer_result execute_begin_read_write(client_id id, client& it);
    answer_result execute_commit(client_id id, client& it);
    answer_result execute_rollback(client_id id, client& it);
    answer_result execute_position(client_id id, client& it);
    answer_result execute_claim_request(client_id id, client& it);
    answer_result execute_promote(client_id id, client& it);

    // Transactions.
    status commit(client_id id, client& it);
    void rollback(client_id id, client& it);
    void release_locks(client_id id, client& it);
    [[nodiscard]] std::optional<item> find_item(client const& it,
                                                std::string const& key) const;
    [[nodiscard]] bool would_deadlock(client_id id, client const& it) const;

    // Statements of the control database.
    answer_result run_control(std::string_view text,
                              std::vector<pgwire::column>& columns);
    answer_result control_lag(std::vector<std::string> const& arguments);
    answer_result control_stop(std::vector<std::string> const& arguments);
    answer_result control_start(std::vector<std::string> const& arguments);
    answer_result control_isolate(std::vector<std::string> const& arguments);
    answer_result control_heal(std::vector<std::string> const& arguments);
    answer_result control_silence(std::vector<std::string> const& arguments);
    answer_result control_pause(std::vector<std::string> const& arguments);
    answer_result control_resume(std::vector<std::string> const& arguments);
    answer_result show_state(std::vector<std::string> const& arguments);
    answer_result show_received(std::vector<std::string> const& arguments);
    answer_result show_value(std::vector<std::string> const& arguments);
    result<std::size_t, pgwire::error_fields>
    find_server(std::string const& name) const;
    void update_connected(std::size_t server);

    void mark_changed(client_id id, client& it);
    void mark_clients_changed(std::size_t server);
    void dequeue(client_id id, client& it);
    void fail(client_id id, client& it, pgwire::error_fields const& error);
    void
    fail_fatally(client_id id, client& it, pgwire::error_fields const& error);
    [[nodiscard]] bool is_paused(client const& it) const;

    struct statement_properties;
    struct control_command;
    static statement_properties const& properties_of(statement_kind kind);

    group_settings settings_;
    std::vector<server_row> servers_;
    replication replication_;
    table<client> clients_;
    deadline_queue<client_id> deadlines_;
    // Clients with new messages, a passed deadline, or a lock to try again.
    std::vector<client_id> changed_;
    std::vector<group_action> actions_;
    // Received bytes of the clients that have disconnected.
    std::vector<std::string> received_;
    std::size_t received_size_ = 0;
    std::uint32_t next_process_ = 1;
    instant now_;
};

} // namespace basilreach::stand_in

#endif
