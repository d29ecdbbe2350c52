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

// A server's answer to a statement: the part that the traffic engine decides
// on, and the part that is relayed to the client. The owner fills in the
// summary's connection.
struct server_answer
{
    traffic::answer_received summary;
    std::unique_ptr<answer_payload> payload;
};

// The answer to a positions query that was sent alone.
struct position_answer
{
    // Absent when the server reported none.
    std::optional<log_position> position;
    bool is_from_primary = false;

    friend bool operator==(position_answer const&,
                           position_answer const&) = default;
};

// Callbacks of a connection to its owner. `lost` and `answered` may remove the
// connection from the traffic engine, but must not destroy the object.
struct server_observer
{
    std::function<void()> opened;
    std::function<void()> lost;
    std::function<void(server_answer)> answered;
    std::function<void(position_answer)> position_read;
    // A holder refused the statement, or it did not reach the holder.
    std::function<void(traffic::forward_refused)> refused;
};

// How a statement is to be sent.
struct send_options
{
    traffic::transaction_wrapping wrapping =
        traffic::transaction_wrapping::none;
    std::optional<log_position> after;
    // The connection was opened read-only, so that every write on it fails.
    bool on_read_only_connection = false;
    // The route declares its statements to be reads.
    bool on_read_route = false;
    // Set if the connection leads to a holder.
    std::optional<traffic::forward_details> forwarding;

    friend bool operator==(send_options const&, send_options const&) = default;
};

// A connection to a backend server in any protocol. At most one statement is
// outstanding.
class server_connection
{
public:
    virtual ~server_connection() = default;

    // Starts to connect. The observer's `opened` or `lost` reports the result.
    virtual void open(traffic::open_connection const& target) = 0;

    // Sends the client's current statement.
    virtual void send(client_connection const& client,
                      send_options const& options) = 0;

    // Sends a positions query alone. With `verify_primary` set the answer also
    // states whether the server is the primary of its group.
    virtual void query_position(bool verify_primary) = 0;

    // Closes the connection. The observer is not called again.
    virtual void close() = 0;
};

} // namespace basilreach::daemon

#endif
