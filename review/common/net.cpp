#include "net.hpp"

#include <array>
#include <cerrno>
#include <chrono>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

sockaddr_in to_socket_address(std::string const& address)
{
    auto const colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(
        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

void set_no_delay(int handle)
{
    int const on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

double now_ms()
{
    static auto const start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
}

void sleep_ms(double it)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(it));
}

connection::connection(int handle) : handle_(handle)
{
    set_no_delay(handle_);
}

connection::connection(std::string const& address)
    : handle_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto const remote = to_socket_address(address);
    if (connect(handle_, reinterpret_cast<sockaddr const*>(&remote),
                sizeof(remote)) != 0)
        close();
    else
        set_no_delay(handle_);
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (handle_ >= 0)
        ::close(handle_);
    handle_ = -1;
}

bool connection::send(std::string const& bytes)
{
    std::size_t sent = 0;
    while (handle_ >= 0 && sent < bytes.size())
    {
        auto const n = ::send(handle_, bytes.data() + sent, bytes.size() - sent,
                              MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return handle_ >= 0;
}

bool connection::receive(double deadline)
{
    if (handle_ < 0)
        return false;
    std::array<char, 16384> buf{};
    auto const left = deadline - now_ms();
    pollfd ready{handle_, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left) + 1) <= 0)
        return false;
    auto const n = recv(handle_, buf.data(), buf.size(), 0);
    if (n <= 0)
    {
        has_ended_ = true;
        return false;
    }
    in_.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

std::optional<std::string> connection::read_line(double timeout_ms)
{
    auto const deadline = now_ms() + timeout_ms;
    auto end = in_.find("\r\n");
    while (end == std::string::npos)
    {
        if (!receive(deadline))
            return std::nullopt;
        end = in_.find("\r\n");
    }
    auto line = in_.substr(0, end);
    in_.erase(0, end + 2);
    return line;
}

std::string connection::read(std::size_t n, double timeout_ms)
{
    auto const deadline = now_ms() + timeout_ms;
    while (in_.size() < n && receive(deadline))
    {
    }
    auto out = in_.substr(0, n);
    in_.erase(0, out.size());
    return out;
}

listener::listener(std::string const& ip, int port, handler serve)
    : serve_(std::move(serve)),
      handle_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    int const on = 1;
    setsockopt(handle_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto local = to_socket_address(ip + ':' + std::to_string(port));
    socklen_t n = sizeof(local);
    if (bind(handle_, reinterpret_cast<sockaddr*>(&local), n) != 0 ||
        listen(handle_, SOMAXCONN) != 0)
        return;
    (void)getsockname(handle_, reinterpret_cast<sockaddr*>(&local), &n);
    address_ = ip + ':' + std::to_string(ntohs(local.sin_port));
    acceptor_ = std::thread([this] { accept_loop(); });
}

listener::~listener()
{
    stop();
}

void listener::accept_loop()
{
    while (!is_stopping_)
    {
        constexpr int poll_ms = 20;
        pollfd ready{handle_, POLLIN, 0};
        if (poll(&ready, 1, poll_ms) <= 0)
            continue;
        int const handle = accept4(handle_, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0)
            continue;
        std::lock_guard const lock(mutex_);
        open_.insert(handle);
        threads_.emplace_back(
            [this, handle]
            {
                serve_(dup(handle));
                std::lock_guard const guard(mutex_);
                open_.erase(handle);
                ::shutdown(handle, SHUT_RDWR);
                ::close(handle);
            });
    }
}

void listener::stop()
{
    if (is_stopping_.exchange(true))
        return;
    if (acceptor_.joinable())
        acceptor_.join();
    ::close(handle_);
    std::vector<std::thread> threads;
    {
        std::lock_guard const lock(mutex_);
        for (auto const it : open_)
            ::shutdown(it, SHUT_RDWR);
        threads.swap(threads_);
    }
    for (auto& it : threads)
        it.join();
}

http_answer send_http_request(std::string const& address,
                              std::string const& method,
                              std::string const& path,
                              std::string const& body,
                              double timeout_ms)
{
    http_answer out;
    connection it(address);
    it.send(method + ' ' + path + " HTTP/1.1\r\nHost: " + address +
            "\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    auto const status = it.read_line(timeout_ms);
    constexpr std::size_t status_at = 9;
    if (!status || status->size() < status_at + 3)
        return out;
    std::size_t length = 0;
    for (auto line = it.read_line(timeout_ms); line && !line->empty();
         line = it.read_line(timeout_ms))
    {
        if (line->starts_with("Content-Length: "))
            length = std::stoul(line->substr(16));
        if (line->starts_with("Location: "))
            out.location = line->substr(10);
    }
    out.body = it.read(length, timeout_ms);
    if (out.body.size() == length)
        out.status = std::stoi(status->substr(status_at, 3));
    return out;
}

http_answer send_following_redirections(std::string address,
                                        std::string const& method,
                                        std::string path,
                                        std::string const& body,
                                        double timeout_ms)
{
    http_answer out;
    for (int n = 0; n != 3; ++n)
    {
        out = send_http_request(address, method, path, body, timeout_ms);
        constexpr std::string_view scheme = "http://";
        if (out.status != 307 || !out.location.starts_with(scheme))
            return out;
        auto const rest = out.location.substr(scheme.size());
        address = rest.substr(0, rest.find('/'));
        path = rest.substr(rest.find('/'));
    }
    return out;
}

std::string extract_field(std::string& text)
{
    auto const end = text.find(' ');
    auto field = text.substr(0, end);
    text = end == std::string::npos ? std::string() : text.substr(end + 1);
    return field;
}

} // namespace review
