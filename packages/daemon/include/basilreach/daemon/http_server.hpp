#ifndef BASILREACH_DAEMON_HTTP_SERVER_HPP
#define BASILREACH_DAEMON_HTTP_SERVER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <basilreach/daemon/event_loop.hpp>
#include <basilreach/daemon/http_message.hpp>
#include <basilreach/daemon/traffic_thread.hpp>

namespace basilreach::daemon
{

// Identifies a request that waits for its response.
using exchange_id = std::uint64_t;

class http_connection;

// Serves HTTP/1.1 on one address. A connection has one request in progress at a
// time; pipelined requests wait for its response.
class http_server
{
public:
    using handler = std::function<void(exchange_id, http_request)>;

    http_server(event_loop& loop, handler received);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    // Listens on IP:PORT. Returns whether that succeeded.
    [[nodiscard]] bool listen(std::string const& address);

    // Answers a request. Does nothing if its connection has ended.
    void respond(exchange_id id, http_response const& it);

    // Destroys connections that have ended. Must not be called from a
    // connection's handler.
    void remove_closed();

    [[nodiscard]] std::string const& address() const
    {
        return address_;
    }

private:
    void accept(ACE_SOCK_Stream const& stream);

    event_loop& loop_;
    handler received_;
    std::string address_;
    client_listener listener_;
    std::map<exchange_id, std::unique_ptr<http_connection>> connections_;
    std::vector<exchange_id> closed_;
    exchange_id last_id_ = 0;
};

} // namespace basilreach::daemon

#endif
