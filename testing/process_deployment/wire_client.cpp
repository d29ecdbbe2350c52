#include "wire_client.hpp"

#include <array>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace basilreach::measure
{

namespace
{

constexpr std::uint32_t protocol_version = 196'608;
constexpr std::size_t message_header_bytes = 5;

// Timeout of each read from the socket.
constexpr timeval answer_timeout{10, 0};

std::uint32_t read_number(char const* at)
{
    std::uint32_t n = 0;
    std::memcpy(&n, at, sizeof(n));
    return ntohl(n);
}

std::string length_prefixed(std::string const& body)
{
    auto const n = htonl(static_cast<std::uint32_t>(body.size() + sizeof(int)));
    std::string out(sizeof(n), '\0');
    std::memcpy(out.data(), &n, sizeof(n));
    return out + body;
}

std::string null_terminated(std::string const& it)
{
    return it + '\0';
}

} // namespace

wire_client::~wire_client()
{
    if (socket_ >= 0)
        close(socket_);
}

bool wire_client::open(wire_target const& target)
{
    password_ = target.password;
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &answer_timeout,
               sizeof(answer_timeout));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(socket_, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0)
        return false;
    auto const version = htonl(protocol_version);
    std::string body(sizeof(version), '\0');
    std::memcpy(body.data(), &version, sizeof(version));
    body += null_terminated("user") + null_terminated(target.user) +
            null_terminated("database") + null_terminated(target.database) +
            '\0';
    return send(length_prefixed(body)) && read_answer();
}

bool wire_client::run(std::string const& statement)
{
    return send('Q' + length_prefixed(null_terminated(statement))) &&
           read_answer();
}

bool wire_client::send(std::string const& bytes) const
{
    return ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
}

bool wire_client::read_answer()
{
    constexpr std::size_t chunk_bytes = 4096;
    constexpr std::uint32_t cleartext_password = 3;
    std::array<char, chunk_bytes> part{};
    std::string buf;
    bool is_ok = true;
    while (true)
    {
        auto const n = recv(socket_, part.data(), part.size(), 0);
        if (n <= 0)
            return false;
        buf.append(part.data(), static_cast<std::size_t>(n));
        std::size_t at = 0;
        while (buf.size() - at >= message_header_bytes)
        {
            auto const size = 1 + read_number(buf.data() + at + 1);
            if (buf.size() - at < size)
                break;
            auto const kind = buf[at];
            if (kind == 'Z')
                return is_ok;
            if (kind == 'E')
                is_ok = false;
            if (kind == 'R' &&
                read_number(buf.data() + at + message_header_bytes) ==
                    cleartext_password &&
                !send('p' + length_prefixed(null_terminated(password_))))
                return false;
            at += size;
        }
        buf.erase(0, at);
    }
}

} // namespace basilreach::measure
