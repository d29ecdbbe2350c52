#ifndef BASILREACH_DAEMON_POSTGRESQL_CLIENT_CONNECTION_HPP
#define BASILREACH_DAEMON_POSTGRESQL_CLIENT_CONNECTION_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <basilreach/daemon/client_connection.hpp>
#include <basilreach/daemon/event_loop.hpp>
#include <basilreach/daemon/libpq_connection.hpp>
#include <basilreach/messages/message.hpp>
#include <basilreach/pgwire/decoder.hpp>
#include <basilreach/pgwire/encoder.hpp>
#include <basilreach/pgwire/frontend_message.hpp>
#include <basilreach/traffic/action.hpp>
#include <basilreach/traffic/session_token.hpp>
#include <basilreach/traffic/statement.hpp>

namespace basilreach::daemon
{

// A client's connection in the PostgreSQL protocol.
class postgresql_client_connection : public client_connection
{
public:
    postgresql_client_connection(ACE_SOCK_Stream const& stream,
                                 std::size_t message_limit);
    ~postgresql_client_connection() override;
    postgresql_client_connection(postgresql_client_connection const&) = delete;
    postgresql_client_connection&
    operator=(postgresql_client_connection const&) = delete;

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
        return request_id_;
    }

    [[nodiscard]] bool is_read_only() const override
    {
        return is_read_only_;
    }

    [[nodiscard]] bool is_in_transaction() const
    {
        return status_ != pgwire::ready_status::idle;
    }

    [[nodiscard]] statement const& current() const
    {
        return current_;
    }

    [[nodiscard]] instant submitted_at() const override
    {
        return submitted_at_;
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
        password,
        handing_over,
        ready,
        // A statement is in progress.
        busy,
        // Messages are skipped up to the next Sync, as after any error of the
        // extended protocol.
        skipping,
        closing
    };

    struct prepared_statement
    {
        std::string text;
        std::vector<std::uint32_t> parameter_types;
    };

    struct portal
    {
        statement bound;
        // A Describe has not been answered yet: the columns are sent with the
        // portal's result.
        bool is_described = false;
    };

    using handler =
        void (postgresql_client_connection::*)(pgwire::frontend_message&);

    static handler const handlers[];

    void on_startup(pgwire::frontend_message& it);
    void on_encryption_request(pgwire::frontend_message& it);
    void on_cancel(pgwire::frontend_message& it);
    void on_password(pgwire::frontend_message& it);
    void on_query(pgwire::frontend_message& it);
    void on_parse(pgwire::frontend_message& it);
    void on_bind(pgwire::frontend_message& it);
    void on_describe(pgwire::frontend_message& it);
    void on_close(pgwire::frontend_message& it);
    void on_execute(pgwire::frontend_message& it);
    void on_sync(pgwire::frontend_message& it);
    void on_flush(pgwire::frontend_message& it);
    void on_terminate(pgwire::frontend_message& it);
    void on_unsupported(pgwire::frontend_message& it);

    void process(std::string_view input);
    [[nodiscard]] bool can_process() const;
    [[nodiscard]] std::size_t waiting_answer_bytes() const;
    void update_reading();
    [[nodiscard]] static std::size_t size_of(std::string const& name,
                                             prepared_statement const& it);
    [[nodiscard]] static std::size_t size_of(std::string const& name,
                                             portal const& it);
    // Replaces the bytes of one prepared statement or portal. Fails the message
    // and returns false when the client keeps too many.
    [[nodiscard]] bool account_prepared(std::size_t before, std::size_t after);
    void close_portals();
    template <class Table>
    void erase_prepared(Table& table, std::string const& name);
    void handle(pgwire::frontend_message& it);
    [[nodiscard]] bool describe_waiting_portal();
    void finish_authentication(std::optional<std::string_view> key);
    // Refuses the client's connection.
    void deny();
    void apply_startup_options(pgwire::startup_message const& it);
    void begin_statement(statement it, bool is_simple);
    void answer_variable(std::string const& text);
    void set_variable(std::string_view name, std::string_view value);
    void complete(std::string_view tag);
    void finish_statement();
    void append_rows();
    void append_description(PGresult const* it);
    void append_columns(PGresult const* it);
    void append_server_error();
    void fail(pgwire::error_fields const& error);
    void fail_fatally(pgwire::error_fields error);
    void append_ready();
    void write();
    void disconnect();

    ACE_SOCK_Stream stream_;
    client_owner const* owner_ = nullptr;
    std::size_t message_limit_;
    pgwire::decoder decoder_;
    // Bytes received and not decoded yet, among them all that arrive while a
    // statement is in progress.
    std::string backlog_;
    std::string out_;
    std::size_t out_offset_ = 0;
    bool is_write_registered_ = false;
    bool is_reading_paused_ = false;
    bool is_held_ = false;
    bool is_processing_ = false;
    phase phase_ = phase::startup;
    std::uint64_t session_ = 0;

    std::string database_;
    client_identity identity_;
    session_name session_label_;
    traffic::session_token session_token_;
    bool is_read_only_ = false;
    std::string request_id_;

    std::map<std::string, prepared_statement, std::less<>> statements_;
    std::map<std::string, portal, std::less<>> portals_;
    // The bytes in statements_ and portals_.
    std::size_t prepared_bytes_ = 0;
    statement current_;
    bool current_is_simple_ = true;
    bool current_is_described_ = false;
    // The current statement only queries the columns of a portal.
    bool current_describes_portal_ = false;
    // A Sync has been received and is answered after the current statement.
    bool is_sync_waiting_ = false;
    // Statements executed outside a transaction since the last Sync.
    int executed_since_sync_ = 0;
    instant submitted_at_;
    libpq_answer answer_;
    pgwire::ready_status status_ = pgwire::ready_status::idle;
};

} // namespace basilreach::daemon

#endif
