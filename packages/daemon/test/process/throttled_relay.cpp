#include "throttled_relay.hpp"

#include <algorithm>
#include <vector>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <basilreach/settings/endpoint.hpp>

namespace basilreach::daemon
{

namespace
{

// Bytes that are held in the relay for each direction, as in the queue of a
// link.
constexpr std::size_t buffer_bytes = std::size_t{16} << 10U;

// Bytes that may be sent at once after a pause.
constexpr double max_budget_bytes = 4096;

// How long the relay waits while bytes are held back.
constexpr int throttled_wait_ms = 2;
constexpr int idle_wait_ms = 20;

int make_socket()
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    REQUIRE(fd >= 0);
    // The queues of the sockets would otherwise take up a whole update.
    int const bytes = static_cast<int>(buffer_bytes);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
    return fd;
}

sockaddr_in to_address(std::string const& text)
{
    auto const endpoint = settings::parse_endpoint(text);
    REQUIRE(endpoint);
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(endpoint->port));
    inet_pton(AF_INET, endpoint->ip.c_str(), &out.sin_addr);
    return out;
}

} // namespace

throttled_relay::throttled_relay(std::string const& listen_address,
                                 std::string const& target,
                                 std::size_t bytes_per_second)
    : target_(target), bytes_per_second_(static_cast<double>(bytes_per_second)),
      listener_(make_socket()), refilled_(std::chrono::steady_clock::now())
{
    int const on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto const address = to_address(listen_address);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr const*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(listener_, SOMAXCONN) == 0);
    thread_ = std::thread([this] { run(); });
}

throttled_relay::~throttled_relay()
{
    stopping_ = true;
    thread_.join();
    for (auto& it : connections_)
        it.has_ended = true;
    remove_ended();
    close(listener_);
}

void throttled_relay::run()
{
    while (!stopping_)
    {
        wait();
        accept_clients();
        auto const now = std::chrono::steady_clock::now();
        auto const elapsed =
            std::chrono::duration<double>(now - refilled_).count();
        refilled_ = now;
        for (auto& it : budget_)
            it = std::min(it + elapsed * bytes_per_second_, max_budget_bytes);
        for (auto& it : connections_)
            forward(it);
        remove_ended();
    }
}

void throttled_relay::wait()
{
    std::vector<pollfd> entries{{listener_, POLLIN, 0}};
    int timeout = idle_wait_ms;
    for (auto const& it : connections_)
        for (auto const& half : it.directions)
        {
            if (half.buf.empty())
                entries.push_back({half.from, POLLIN, 0});
            else
                timeout = throttled_wait_ms;
        }
    poll(entries.data(), entries.size(), timeout);
}

void throttled_relay::accept_clients()
{
    int const client = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
    if (client < 0)
        return;
    int const server = make_socket();
    auto const address = to_address(target_);
    // The connection completes later; forward() sees an error.
    (void)connect(server, reinterpret_cast<sockaddr const*>(&address),
                  sizeof(address));
    connections_.push_back(
        {client, server, {{{client, server, {}}, {server, client, {}}}}});
}

void throttled_relay::forward(connection& it)
{
    for (std::size_t n = 0; n != it.directions.size(); ++n)
    {
        auto& half = it.directions[n];
        if (half.buf.empty())
        {
            half.buf.resize(buffer_bytes);
            auto const got = recv(half.from, half.buf.data(), buffer_bytes, 0);
            half.buf.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
            if (got == 0 || (got < 0 && errno != EAGAIN && errno != ENOTCONN))
                it.has_ended = true;
        }
        auto const allowed =
            std::min(static_cast<std::size_t>(budget_[n]), half.buf.size());
        if (allowed == 0)
            continue;
        auto const sent = send(half.to, half.buf.data(), allowed, MSG_NOSIGNAL);
        if (sent > 0)
        {
            budget_[n] -= static_cast<double>(sent);
            half.buf.erase(0, static_cast<std::size_t>(sent));
        }
        else if (errno != EAGAIN && errno != ENOTCONN)
            it.has_ended = true;
    }
}

void throttled_relay::remove_ended()
{
    for (auto const& it : connections_)
        if (it.has_ended)
        {
            close(it.client);
            close(it.server);
        }
    connections_.remove_if([](connection const& it) { return it.has_ended; });
}

} // namespace basilreach::daemon
