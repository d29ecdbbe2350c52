#ifndef BASILREACH_DAEMON_BUFFERED_SOCKET_HPP
#define BASILREACH_DAEMON_BUFFERED_SOCKET_HPP

#include <cstddef>
#include <string>

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <basilreach/daemon/event_loop.hpp>

namespace basilreach::daemon
{

// A connected, non-blocking socket of an event handler: bytes that wait for a
// peer that reads slowly, and the registration with the reactor.
class buffered_socket
{
public:
    explicit buffered_socket(ACE_Event_Handler& handler);
    ~buffered_socket();
    buffered_socket(buffered_socket const&) = delete;
    buffered_socket& operator=(buffered_socket const&) = delete;

    // Takes over an accepted connection.
    void accept(ACE_SOCK_Stream const& stream);

    // Starts to connect to IP:PORT; returns whether that was possible. The
    // handler becomes writable when the attempt has ended.
    [[nodiscard]] bool connect(std::string const& address);

    // Ends an attempt to connect; returns whether it succeeded.
    [[nodiscard]] bool finish_connecting();

    void attach(event_loop& loop);
    void detach();
    void close();

    // Bytes to send; written by flush().
    [[nodiscard]] std::string& out()
    {
        return out_;
    }

    // Writes what the peer takes now; returns whether the connection is whole.
    [[nodiscard]] bool flush();

    // Appends what has arrived; returns false at the end of the connection.
    [[nodiscard]] bool receive(std::string& in);

    // Stops or resumes reading.
    void pause_reading(bool paused);

    [[nodiscard]] ACE_HANDLE handle() const
    {
        return stream_.get_handle();
    }

    [[nodiscard]] bool is_open() const
    {
        return is_open_;
    }

private:
    void watch_writing(bool wanted);

    ACE_Event_Handler& handler_;
    event_loop* loop_ = nullptr;
    ACE_SOCK_Stream stream_;
    std::string out_;
    bool is_open_ = false;
    bool watches_writing_ = false;
    bool is_paused_ = false;
};

} // namespace basilreach::daemon

#endif
