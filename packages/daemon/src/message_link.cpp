#include <basilreach/daemon/message_link.hpp>

#include <array>
#include <chrono>
#include <utility>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <easylogging++.h>
#include <netinet/tcp.h>

#include <basilreach/messages/codec.hpp>
#include <basilreach/settings/endpoint.hpp>

namespace basilreach::daemon
{

namespace
{

constexpr std::size_t receive_buffer_bytes = std::size_t{64} << 10U;

// Limit of the bytes that wait to be sent on an open link. A snapshot fits in.
constexpr std::size_t max_queued_bytes = std::size_t{64} << 20U;

// The same while the link is connecting. If messages were dropped meanwhile,
// control hosts that start together would lose their first requests for votes
// and with them a whole election.
constexpr std::size_t max_queued_bytes_while_connecting = std::size_t{256}
                                                          << 10U;

// Time after which TCP closes a link with unacknowledged bytes. Hosts send to
// each other at least twice a second, so a link that no longer delivers
// anything is soon replaced.
constexpr int tcp_user_timeout_ms = 1500;

constexpr std::array link_end_texts = {
    "closed_here",    "invalid_address", "cannot_connect",   "closed_by_peer",
    "receive_failed", "send_failed",     "malformed_message"};

std::int64_t to_milliseconds(duration it)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

std::string address_text(ACE_SOCK_Stream const& stream)
{
    ACE_INET_Addr remote;
    std::array<char, INET6_ADDRSTRLEN + 8> buf{};
    if (stream.get_remote_addr(remote) != 0 ||
        remote.addr_to_string(buf.data(), buf.size()) != 0)
        return {};
    return buf.data();
}

void set_options(ACE_SOCK_Stream& stream)
{
    int on = 1;
    stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    int limit = tcp_user_timeout_ms;
    stream.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

} // namespace

char const* to_string(link_end it)
{
    return link_end_texts.at(static_cast<std::size_t>(it));
}

message_link::message_link(event_loop& loop, link_observer observer)
    : loop_(loop), observer_(std::move(observer))
{
}

message_link::~message_link()
{
    close();
}

ACE_HANDLE message_link::get_handle() const
{
    return stream_.get_handle();
}

void message_link::accept(ACE_SOCK_Stream const& stream)
{
    stream_ = stream;
    stream_.enable(ACE_NONBLOCK);
    set_options(stream_);
    peer_ = address_text(stream_);
    opened_at_ = read_clock();
    is_open_ = true;
    is_registered_ = true;
    loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
}

void message_link::connect(std::string const& address)
{
    peer_ = address;
    opened_at_ = read_clock();
    auto const endpoint = settings::parse_endpoint(address);
    if (!endpoint)
        return fail(link_end::invalid_address);
    ACE_INET_Addr const remote(endpoint->port, endpoint->ip.c_str());
    ACE_SOCK_Connector connector;
    ACE_Time_Value none(0, 0);
    if (connector.connect(stream_, remote, &none) != 0 &&
        errno != EWOULDBLOCK && errno != EINPROGRESS)
        return fail(link_end::cannot_connect);
    stream_.enable(ACE_NONBLOCK);
    is_registered_ = true;
    is_write_registered_ = true;
    loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK |
                                               ACE_Event_Handler::WRITE_MASK);
}

void message_link::finish_connecting()
{
    int error = 0;
    int n = sizeof(error);
    if (stream_.get_option(SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0)
        return fail(link_end::cannot_connect);
    set_options(stream_);
    is_open_ = true;
    observer_.opened();
}

int message_link::handle_input(ACE_HANDLE /*handle*/)
{
    static thread_local std::array<char, receive_buffer_bytes> buf;
    auto const n = stream_.recv(buf.data(), buf.size());
    if (n < 0 && (errno == EWOULDBLOCK || errno == EINTR))
        return 0;
    if (n <= 0)
    {
        fail(n == 0 ? link_end::closed_by_peer : link_end::receive_failed);
        return 0;
    }
    received_at_ = read_clock();
    counts_.bytes_received += static_cast<std::uint64_t>(n);
    reader_.feed({buf.data(), static_cast<std::size_t>(n)});
    read_frames();
    return 0;
}

void message_link::read_frames()
{
    while (is_open_)
    {
        auto frame = reader_.next();
        if (!frame)
            return fail(link_end::malformed_message);
        if (!frame.value())
            return;
        auto it = messages::decode(*frame.value());
        if (!it)
        {
            LOG(WARNING) << "event=malformed_message code="
                         << static_cast<int>(it.error());
            return fail(link_end::malformed_message);
        }
        observer_.received(std::move(it.value()));
    }
}

int message_link::handle_output(ACE_HANDLE /*handle*/)
{
    if (!is_open_)
        finish_connecting();
    if (is_open_)
        write();
    return 0;
}

void message_link::send(messages::message const& it)
{
    if (!is_registered_)
        return;
    send_frame(messages::encode_frame(it));
}

void message_link::send_frame(std::string_view frame)
{
    if (!is_registered_)
        return;
    if (out_.size() + frame.size() >
        (is_open_ ? max_queued_bytes : max_queued_bytes_while_connecting))
    {
        ++counts_.messages_dropped;
        return;
    }
    if (out_.empty())
        backlog_since_ = read_clock();
    out_.append(frame);
}

void message_link::flush()
{
    // While the handle is registered for writing, handle_output() writes.
    if (is_open_ && !is_write_registered_ && !out_.empty())
        write();
}

void message_link::write()
{
    std::size_t sent = 0;
    while (sent < out_.size())
    {
        auto const n = stream_.send(out_.data() + sent, out_.size() - sent);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            break;
        sent += static_cast<std::size_t>(n);
    }
    counts_.bytes_sent += sent;
    if (sent < out_.size() && errno != EWOULDBLOCK)
        return fail(link_end::send_failed);
    out_.erase(0, sent);
    bool const waits = !out_.empty();
    if (waits == std::exchange(is_write_registered_, waits))
        return;
    if (waits)
        loop_.reactor().schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    else
        loop_.reactor().cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

link_counts message_link::counts() const
{
    auto out = counts_;
    out.bytes_queued = out_.size();
    if (!out_.empty())
        out.backlog = read_clock() - backlog_since_;
    return out;
}

std::optional<instant> message_link::partial_message_at() const
{
    return reader_.has_partial_frame() ? std::optional(received_at_)
                                       : std::nullopt;
}

void message_link::log_end(link_end reason) const
{
    bool const has_errno =
        reason == link_end::receive_failed || reason == link_end::send_failed;
    auto const error = has_errno ? errno : 0;
    auto const it = counts();
    LOG(INFO) << "event=link_closed peer=" << peer_
              << " cause=" << to_string(reason) << " errno=" << error
              << " age_ms=" << to_milliseconds(read_clock() - opened_at_)
              << " bytes_sent=" << it.bytes_sent
              << " bytes_received=" << it.bytes_received
              << " bytes_queued=" << it.bytes_queued
              << " backlog_ms=" << to_milliseconds(it.backlog)
              << " messages_dropped=" << it.messages_dropped;
}

void message_link::close()
{
    if (is_open_)
        log_end(link_end::closed_here);
    if (std::exchange(is_registered_, false))
        loop_.reactor().remove_handler(this,
                                       ACE_Event_Handler::ALL_EVENTS_MASK |
                                           ACE_Event_Handler::DONT_CALL);
    is_open_ = false;
    stream_.close();
}

void message_link::fail(link_end reason)
{
    if (is_open_)
        log_end(reason);
    is_open_ = false;
    close();
    observer_.closed();
}

} // namespace basilreach::daemon
