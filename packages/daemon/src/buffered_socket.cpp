#include <basilreach/daemon/buffered_socket.hpp>

#include <array>
#include <utility>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <netinet/tcp.h>

#include <basilreach/settings/endpoint.hpp>

namespace basilreach::daemon
{

namespace
{

// Bytes received in one call. The buffer is shared by the sockets of a thread,
// so that an idle connection holds none.
constexpr std::size_t receive_buffer_bytes = std::size_t{64} << 10U;

// Time after which unacknowledged bytes end a connection. Behind a network
// partition a host sends nothing, not even a reset.
constexpr int tcp_user_timeout_ms = 3000;

void set_options(ACE_SOCK_Stream& stream)
{
    stream.enable(ACE_NONBLOCK);
    int on = 1;
    stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    int limit = tcp_user_timeout_ms;
    stream.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

} // namespace

buffered_socket::buffered_socket(ACE_Event_Handler& handler) : handler_(handler)
{
}

buffered_socket::~buffered_socket()
{
    close();
}

void buffered_socket::accept(ACE_SOCK_Stream const& stream)
{
    stream_ = stream;
    set_options(stream_);
    is_open_ = true;
}

bool buffered_socket::connect(std::string const& address)
{
    auto const endpoint = settings::parse_endpoint(address);
    if (!endpoint)
        return false;
    ACE_INET_Addr const remote(endpoint->port, endpoint->ip.c_str());
    ACE_SOCK_Connector connector;
    ACE_Time_Value none(0, 0);
    if (connector.connect(stream_, remote, &none) != 0 &&
        errno != EWOULDBLOCK && errno != EINPROGRESS)
        return false;
    set_options(stream_);
    is_open_ = true;
    return true;
}

bool buffered_socket::finish_connecting()
{
    int error = 0;
    int n = sizeof(error);
    watch_writing(false);
    return stream_.get_option(SOL_SOCKET, SO_ERROR, &error, &n) == 0 &&
           error == 0;
}

void buffered_socket::attach(event_loop& loop)
{
    loop_ = &loop;
    is_paused_ = false;
    watches_writing_ = false;
    loop_->reactor().register_handler(&handler_, ACE_Event_Handler::READ_MASK);
}

void buffered_socket::detach()
{
    if (loop_ == nullptr)
        return;
    loop_->reactor().remove_handler(&handler_,
                                    ACE_Event_Handler::ALL_EVENTS_MASK |
                                        ACE_Event_Handler::DONT_CALL);
    loop_ = nullptr;
}

void buffered_socket::close()
{
    detach();
    if (std::exchange(is_open_, false))
        stream_.close();
}

bool buffered_socket::flush()
{
    if (!is_open_)
        return false;
    std::size_t sent = 0;
    bool is_blocked = false;
    while (sent < out_.size() && !is_blocked)
    {
        auto const n = stream_.send(out_.data() + sent, out_.size() - sent);
        if (n > 0)
            sent += static_cast<std::size_t>(n);
        else if (errno == EWOULDBLOCK)
            is_blocked = true;
        else if (errno != EINTR)
            return false;
    }
    // The buffer is released, so that an idle connection holds none.
    if (sent == out_.size())
        out_ = {};
    else
        out_.erase(0, sent);
    watch_writing(!out_.empty());
    return true;
}

bool buffered_socket::receive(std::string& in)
{
    static thread_local std::array<char, receive_buffer_bytes> buf;
    auto const n = stream_.recv(buf.data(), buf.size());
    if (n < 0 && (errno == EWOULDBLOCK || errno == EINTR))
        return true;
    if (n <= 0)
        return false;
    in.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

void buffered_socket::pause_reading(bool paused)
{
    if (loop_ == nullptr || std::exchange(is_paused_, paused) == paused)
        return;
    if (paused)
        loop_->reactor().cancel_wakeup(&handler_, ACE_Event_Handler::READ_MASK);
    else
        loop_->reactor().schedule_wakeup(&handler_,
                                         ACE_Event_Handler::READ_MASK);
}

void buffered_socket::watch_writing(bool wanted)
{
    if (loop_ == nullptr || std::exchange(watches_writing_, wanted) == wanted)
        return;
    if (wanted)
        loop_->reactor().schedule_wakeup(&handler_,
                                         ACE_Event_Handler::WRITE_MASK);
    else
        loop_->reactor().cancel_wakeup(&handler_,
                                       ACE_Event_Handler::WRITE_MASK);
}

} // namespace basilreach::daemon
