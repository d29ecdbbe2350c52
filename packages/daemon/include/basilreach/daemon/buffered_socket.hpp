#ifndef BASILREACH_DAEMON_BUFFERED_SOCKET_HPP
#define BASILREACH_DAEMON_BUFFERED_SOCKET_HPP

#include <cstddef>
#include <string>

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <basilreach/daemon/event_loop.hpp>

namespace basilreach::daemon
{

// A non-blocking socket of an event handler. Buffers the bytes that the peer
// does not accept yet, and keeps the handler's registration with the reactor.
class buffered_socket
{
public:
    explicit buffered_socket(ACE_Event_Handler& handler);
    ~buffered_socket();
    buffered_socket(buffered_socket const&) = delete;
    buffered_socket& operator=(buffered_socket const&) = delete;

    // Takes ownership of an accepted connection.
    void accept(ACE_SOCK_Stream const& stream);

    // Starts to connect to IP:PORT. Returns false when the address is invalid
    // or the attempt failed at once. Otherwise the socket becomes writable when
    // the attempt has ended.
    [[nodiscard]] bool connect(std::string const& address);

    // Called when the attempt to connect has ended. Returns whether it
    // succeeded.
    [[nodiscard]] bool finish_connecting();

    // Registers the handler with the loop's reactor for reading.
    void attach(event_loop& loop);
    // Removes the handler from the reactor.
    void detach();
    void close();

    // The output buffer, which flush() writes.
    [[nodiscard]] std::string& out()
    {
        return out_;
    }

    [[nodiscard]] std::string const& out() const
    {
        return out_;
    }

    // Writes as much as the socket accepts without blocking. Returns false when
    // the connection is closed or broken.
    [[nodiscard]] bool flush();

    // Appends received bytes. Returns false when the connection has ended.
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
