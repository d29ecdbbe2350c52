#ifndef BASILREACH_DAEMON_HTTP_CLIENT_HPP
#define BASILREACH_DAEMON_HTTP_CLIENT_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <ace/Event_Handler.h>

#include <basilreach/daemon/buffered_socket.hpp>
#include <basilreach/daemon/http_message.hpp>
#include <basilreach/daemon/http_reader.hpp>

namespace basilreach::daemon
{

// Sends one request to an HTTP server, over a connection of its own.
class http_client : public ACE_Event_Handler
{
public:
    // Called once, with the response or with nullopt when the connection
    // failed.
    using response_handler = std::function<void(std::optional<http_response>)>;

    http_client(event_loop& loop, response_handler on_response);
    ~http_client() override;

    void start(std::string const& address, http_request const& it);

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override;

private:
    void end(std::optional<http_response> it);

    event_loop& loop_;
    response_handler on_response_;
    buffered_socket socket_;
    http_reader reader_;
    std::string in_;
    bool is_connecting_ = false;
};

} // namespace basilreach::daemon

#endif
