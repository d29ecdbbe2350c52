#ifndef BASILREACH_DAEMON_LINE_SERVER_CONNECTION_HPP
#define BASILREACH_DAEMON_LINE_SERVER_CONNECTION_HPP

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <ace/Event_Handler.h>

#include <basilreach/daemon/buffered_socket.hpp>
#include <basilreach/daemon/line_client.hpp>
#include <basilreach/daemon/line_codec.hpp>
#include <basilreach/daemon/line_session.hpp>
#include <basilreach/daemon/server_connection.hpp>

namespace basilreach::daemon
{

// A connection to a backend server in a line protocol. What has to precede a
// statement (variables, PREPARE, BEGIN) is sent first, and the statement only
// after it has been answered: sent right behind a BEGIN that is refused, the
// statement would run outside its transaction.
class line_server_connection : public server_connection,
                               public ACE_Event_Handler
{
public:
    line_server_connection(event_loop& loop,
                           line_codec const& codec,
                           server_observer observer);

    void open(traffic::open_connection const& target) override;
    void send(client_connection const& client,
              send_options const& options) override;
    void query_position(bool verify_primary) override;
    void close() override;

    // Sends a status query alone and passes its row to the function.
    void query_status(std::function<void(row_message const&)> answered);

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override;

private:
    // The request that an outstanding answer belongs to.
    enum class step : std::uint8_t
    {
        start,
        variable,
        begin,
        statement,
        rollback,
        primary_check,
        position,
        status
    };

    struct pending_statement
    {
        std::string id;
        std::string text;
        std::optional<log_position> after;
        traffic::transaction_wrapping wrapping =
            traffic::transaction_wrapping::none;
        bool is_write = false;
    };

    using message_handler = void (line_server_connection::*)(server_message&);
    using step_handler = void (line_server_connection::*)();

    static message_handler const message_handlers[];
    static step_handler const step_handlers[];

    void on_ready(server_message& it);
    void on_row(server_message& it);
    void on_complete(server_message& it);
    void on_error(server_message& it);

    void finish_start();
    void finish_variable();
    void finish_begin();
    void finish_statement();
    void finish_rollback();
    void finish_primary_check();
    void finish_position();
    void finish_status();

    void process();
    void queue_variable_changes(line_client const& client,
                                std::optional<prepared_shape> const& shape);
    void send_statement();
    void send_rollback();
    void report_answer();
    void expect(step it);
    void write();
    void fail_connection();

    event_loop& loop_;
    line_codec const& codec_;
    server_observer observer_;
    buffered_socket socket_;
    std::string in_;
    bool is_connecting_ = false;
    std::deque<step> steps_;
    connection_variables connection_variables_;
    // Variables or prepared statements were changed in the open transaction.
    bool changed_in_transaction_ = false;
    // The open transaction has run a write.
    bool wrote_in_transaction_ = false;
    pending_statement pending_;
    std::unique_ptr<line_answer> answer_;
    // The answer that is being received.
    line_answer partial_answer_;
    bool is_from_primary_ = false;
    // The position in the answer to the BEGIN of a primary check.
    std::optional<log_position> checked_position_;
    traffic::answer_proof proof_ = traffic::answer_proof::none;
    traffic::transaction_status status_ = traffic::transaction_status::idle;
    std::function<void(row_message const&)> status_answered_;
};

} // namespace basilreach::daemon

#endif
