#ifndef BASILREACH_DAEMON_LIBPQ_CONNECTION_HPP
#define BASILREACH_DAEMON_LIBPQ_CONNECTION_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <ace/Event_Handler.h>
#include <libpq-fe.h>

#include <basilreach/base/log_position.hpp>
#include <basilreach/daemon/client_connection.hpp>
#include <basilreach/daemon/event_loop.hpp>
#include <basilreach/pgwire/parameter_list.hpp>
#include <basilreach/settings/daemon_settings.hpp>

namespace basilreach::daemon
{

struct result_deleter
{
    void operator()(PGresult* it) const
    {
        PQclear(it);
    }
};

using result_ptr = std::unique_ptr<PGresult, result_deleter>;

// Whether a statement is run or only described.
enum class statement_mode : std::uint8_t
{
    run,
    describe
};

// A statement as a client sent it.
struct statement
{
    std::string text;
    std::vector<std::uint32_t> parameter_types;
    std::vector<std::int16_t> parameter_formats;
    pgwire::parameter_list parameters;
    std::int16_t result_format = 0;
    statement_mode mode = statement_mode::run;
    // The client's id of a request that must run at most once.
    std::string request_id;
    // The workspace within which the request id is unique.
    std::string workspace;

    friend bool operator==(statement const&, statement const&) = default;
};

// The answer to one statement.
struct libpq_answer : answer_payload
{
    result_ptr result;
    PGTransactionStatusType status = PQTRANS_UNKNOWN;
    std::optional<log_position> position;
    // The request id had been used before, so the statement did not run.
    bool is_repeated = false;
};

// The address of a backend server and the mode of the connection.
struct server_target
{
    // IP address and port.
    std::string address;
    bool read_only = false;

    friend bool operator==(server_target const&,
                           server_target const&) = default;
};

// Callbacks of a connection to its owner. `lost` and `answered` may remove the
// connection from the traffic engine, but must not destroy the object.
struct libpq_observer
{
    std::function<void()> opened;
    std::function<void()> lost;
    std::function<void(libpq_answer)> answered;
    std::function<void(std::optional<log_position>)> position_read;
};

// A connection to a backend server through libpq's pipeline mode. At most one
// statement is outstanding.
class libpq_connection : public ACE_Event_Handler
{
public:
    libpq_connection(event_loop& loop,
                     settings::daemon_settings const& settings,
                     settings::backend_credential const& credential,
                     libpq_observer observer);
    ~libpq_connection() override;
    libpq_connection(libpq_connection const&) = delete;
    libpq_connection& operator=(libpq_connection const&) = delete;

    // Starts to connect. The observer's `opened` or `lost` reports the result.
    void open(server_target const& target);

    // Sends a statement, followed in the same write by a positions query. With
    // `read_only` set the statement runs in a read-only transaction of its own.
    void send(statement const& it, bool read_only);

    // Sends a positions query alone.
    void query_position();

    // Closes the connection. The observer is not called again.
    void close();

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override;

private:
    enum class step : std::uint8_t
    {
        begin,
        rollback,
        claim,
        prepare,
        statement,
        statement_sync,
        position,
        position_sync
    };

    using step_handler = void (libpq_connection::*)(result_ptr);

    static step_handler const step_handlers[];

    void ignore(result_ptr it);
    void on_claim(result_ptr it);
    void on_prepare(result_ptr it);
    void on_statement(result_ptr it);
    void on_statement_sync(result_ptr it);
    void on_position(result_ptr it);
    void on_position_sync(result_ptr it);

    void continue_connecting();
    void read_results();
    void flush();
    void fail_connection();
    void expect(step it);
    bool queue_statement(statement const& it, bool read_only);
    void queue_position();
    void watch(bool for_writing);

    event_loop& loop_;
    settings::daemon_settings const& settings_;
    settings::backend_credential const& credential_;
    libpq_observer observer_;
    PGconn* connection_ = nullptr;
    // The handle that is registered with the reactor: a duplicate of libpq's.
    ACE_HANDLE handle_ = ACE_INVALID_HANDLE;
    bool is_connecting_ = false;
    bool is_registered_ = false;
    bool wants_write_ = false;
    std::deque<step> steps_;
    libpq_answer answer_;
    // The outstanding request is a positions query without a statement.
    bool is_position_only_ = false;
};

} // namespace basilreach::daemon

#endif
