#ifndef BASILREACH_DAEMON_LINE_CLIENT_CONNECTION_HPP
#define BASILREACH_DAEMON_LINE_CLIENT_CONNECTION_HPP

#include <memory>
#include <string>

#include <basilreach/daemon/buffered_socket.hpp>
#include <basilreach/daemon/line_client.hpp>

namespace basilreach::daemon
{

// A client's connection in a line protocol. A transaction is begun at the
// server together with its first statement. Variables and prepared statements
// belong to the session: a server connection gets them before it runs one of
// the session's statements.
class line_client_connection : public line_client
{
public:
    line_client_connection(ACE_SOCK_Stream const& stream,
                           line_codec const& codec);

    void attach(client_owner const& owner) override;
    void detach() override;
    void start_session(std::uint64_t session) override;
    void relay(std::optional<group_position> const& position) override;
    void refuse(traffic::refuse const& it) override;
    void end(traffic::refusal_reason reason) override;
    void abort_transaction() override;
    void send_console_reply(messages::admin_reply const& reply) override;
    void store_answer(std::unique_ptr<answer_payload> answer) override;
    [[nodiscard]] group_positions presented_positions() const override;

    [[nodiscard]] std::uint64_t session() const override
    {
        return session_;
    }

    [[nodiscard]] client_identity const& identity() const override
    {
        return identity_;
    }

    [[nodiscard]] session_name const& session_label() const override
    {
        return session_label_;
    }

    [[nodiscard]] std::string const& request_label() const override
    {
        return current_.id;
    }

    [[nodiscard]] bool is_read_only() const override
    {
        return false;
    }

    [[nodiscard]] instant submitted_at() const override
    {
        return submitted_at_;
    }

    [[nodiscard]] client_command const& current() const override
    {
        return current_;
    }

    [[nodiscard]] session_variables const& variables() const override
    {
        return variables_;
    }

    [[nodiscard]] std::size_t buffered_bytes() const override;
    void hold_reading(bool held) override;
    void close_at_once() override;

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override;

private:
    enum class phase : std::uint8_t
    {
        startup,
        handing_over,
        ready,
        // A statement is in progress.
        busy,
        closing
    };

    using message_handler = void (line_client_connection::*)(client_message&);
    using command_handler = void (line_client_connection::*)();

    static message_handler const message_handlers[];
    static command_handler const command_handlers[];

    void on_start(client_message& it);
    void on_command(client_message& it);
    void on_end(client_message& it);

    void run_begin();
    void run_commit();
    void run_rollback();
    void run_read();
    void run_write();
    void run_set();
    void run_prepare();
    void run_execute();
    void run_deallocate();
    void run_unknown();

    void process();
    void update_reading();
    void submit(traffic::statement_verb verb);
    void complete();
    void fail(statement_error code);
    void close_with_error(statement_error code);
    // Refuses the client's connection.
    void deny(std::string_view database);
    void leave_transaction(traffic::transaction_status status);
    void append_ready(std::optional<log_position> position);
    void write();
    void disconnect();

    line_codec const& codec_;
    buffered_socket socket_;
    client_owner const* owner_ = nullptr;
    std::string in_;
    bool is_processing_ = false;
    bool is_held_ = false;
    phase phase_ = phase::startup;
    std::uint64_t session_ = 0;
    client_identity identity_;
    session_name session_label_;
    session_variables variables_;
    // The bytes in variables_.
    std::size_t variable_bytes_ = 0;
    client_command current_;
    instant submitted_at_;
    // The status of the transaction as reported to the client.
    traffic::transaction_status status_ = traffic::transaction_status::idle;
    // How the transaction is to be begun at the server; none outside a
    // transaction and once the server has begun it.
    traffic::transaction_opening opening_ = traffic::transaction_opening::none;
    bool is_read_only_transaction_ = false;
    bool has_server_transaction_ = false;
    std::unique_ptr<line_answer> answer_;
};

} // namespace basilreach::daemon

#endif
