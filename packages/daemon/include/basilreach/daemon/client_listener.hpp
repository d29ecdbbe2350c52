#ifndef BASILREACH_DAEMON_CLIENT_LISTENER_HPP
#define BASILREACH_DAEMON_CLIENT_LISTENER_HPP

#include <functional>
#include <string>

#include <ace/Event_Handler.h>
#include <ace/SOCK_Acceptor.h>

#include <basilreach/daemon/event_loop.hpp>

namespace basilreach::daemon
{

// Accepts client connections. Once it is closed, the load balancer chooses
// another entry host.
class client_listener : public ACE_Event_Handler
{
public:
    client_listener(event_loop& loop,
                    std::function<void(ACE_SOCK_Stream const&)> accepted);
    ~client_listener() override;

    // Listens on IP:PORT; returns whether that succeeded.
    [[nodiscard]] bool open(std::string const& address);

    void close();

    // Stops or resumes accepting connections.
    void pause(bool paused);

    int handle_input(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override;

private:
    event_loop& loop_;
    std::function<void(ACE_SOCK_Stream const&)> accepted_;
    ACE_SOCK_Acceptor acceptor_;
    bool is_open_ = false;
    bool is_paused_ = false;
};

} // namespace basilreach::daemon

#endif
