#ifndef BASILREACH_DAEMON_SERVER_CONNECTION_HPP
#define BASILREACH_DAEMON_SERVER_CONNECTION_HPP

#include <functional>
#include <memory>
#include <optional>

#include <basilreach/base/log_position.hpp>
#include <basilreach/daemon/client_connection.hpp>
#include <basilreach/traffic/action.hpp>
#include <basilreach/traffic/event.hpp>

namespace basilreach::daemon
{

// What the decisions need to know of an answer. The connection is filled in by
// the owner.
struct server_answer
{
    traffic::answer_received summary;
    std::unique_ptr<answer_payload> payload;
};

// The answer to a question for the position alone.
struct position_answer
{
    // Absent when the server told none.
    std::optional<log_position> position;
    bool is_from_primary = false;

    friend bool operator==(position_answer const&,
                           position_answer const&) = default;
};

// What a connection reports to its owner. `lost` and `answered` may destroy the
// connection's decision row, but not the connection itself.
struct server_observer
{
    std::function<void()> opened;
    std::function<void()> lost;
    std::function<void(server_answer)> answered;
    std::function<void(position_answer)> position_read;
};

// How a statement is to be sent.
struct statement_order
{
    traffic::transaction_wrapping wrapping =
        traffic::transaction_wrapping::none;
    std::optional<log_position> after;
    // The connection was opened read-only.
    bool on_read_only_connection = false;
    // The route declares its statements reads.
    bool on_read_route = false;

    friend bool operator==(statement_order const&,
                           statement_order const&) = default;
};

// A connection to a backend server, whatever protocol it speaks. One statement
// is outstanding at a time.
class server_connection
{
public:
    virtual ~server_connection() = default;

    // Starts to connect; the observer hears of success or failure.
    virtual void open(traffic::open_connection const& target) = 0;

    // Sends the caller's current statement.
    virtual void send(client_connection const& caller,
                      statement_order const& order) = 0;

    // Asks for the server's position alone, and whether it leads its group.
    virtual void query_position(bool verify_primary) = 0;

    // Closes the connection; the observer hears nothing more.
    virtual void close() = 0;
};

} // namespace basilreach::daemon

#endif
