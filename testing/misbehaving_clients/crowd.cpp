#include "crowd.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace basilreach::misbehaving_clients
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr auto stall_timeout = std::chrono::seconds(1);
constexpr auto poll_interval = std::chrono::milliseconds(2);

// What one client still has to send.
struct transmission
{
    int descriptor = -1;
    std::size_t sent = 0;
    bool is_over = false;
};

// Returns whether any byte was sent.
bool send_some(transmission& it, std::string const& bytes, std::size_t piece)
{
    auto const n = std::min(piece, bytes.size() - it.sent);
    auto const result = ::send(it.descriptor, bytes.data() + it.sent, n,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (result > 0)
        it.sent += static_cast<std::size_t>(result);
    it.is_over = it.sent == bytes.size() ||
                 (result < 0 && errno != EAGAIN && errno != EINTR);
    return result > 0;
}

} // namespace

crowd::crowd(std::size_t n, measure::wire_target const& target)
{
    for (std::size_t it = 0; it != n; ++it)
    {
        auto client = std::make_unique<measure::wire_client>();
        if (!client->open(target))
            continue;
        descriptors_.push_back(client->descriptor());
        clients_.push_back(std::move(client));
    }
}

crowd::crowd(std::size_t n, std::uint16_t port, std::string const& bytes)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (std::size_t it = 0; it != n; ++it)
    {
        int const s =
            socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        // On loopback the call establishes the connection, unless the queue of
        // the listener is full.
        (void)connect(s, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address));
        (void)::send(s, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        owned_.push_back(s);
    }
    descriptors_ = owned_;
}

crowd::~crowd()
{
    for (int const it : owned_)
        close(it);
}

void crowd::send(std::string const& bytes, std::size_t piece) const
{
    std::vector<transmission> open;
    open.reserve(descriptors_.size());
    for (int const it : descriptors_)
        open.push_back({it});
    auto last_progress = steady::now();
    while (!open.empty() && steady::now() - last_progress < stall_timeout)
    {
        bool has_sent = false;
        for (auto& it : open)
            has_sent = send_some(it, bytes, piece) || has_sent;
        std::erase_if(open, [](auto const& it) { return it.is_over; });
        if (has_sent)
            last_progress = steady::now();
        else
            std::this_thread::sleep_for(poll_interval);
    }
}

std::string make_length(std::uint32_t n)
{
    auto const field = htonl(n);
    std::string out(sizeof(field), '\0');
    std::memcpy(out.data(), &field, sizeof(field));
    return out;
}

std::string make_message(char type, std::string const& content)
{
    auto const size = content.size() + sizeof(std::uint32_t);
    return type + make_length(static_cast<std::uint32_t>(size)) + content;
}

std::string repeat(std::string const& text, std::size_t n)
{
    std::string out;
    out.reserve(text.size() * n);
    for (std::size_t it = 0; it != n; ++it)
        out += text;
    return out;
}

} // namespace basilreach::misbehaving_clients
