// Stand-ins for the platform, the operator, database servers and clients, and
// the start of the project's daemons. Everything listens on loopback addresses.
#ifndef BASILREACH_REVIEW_HARNESS_HPP
#define BASILREACH_REVIEW_HARNESS_HPP

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace harness
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_cannot_run = 2;

inline void pause_for(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// Whether the script runs with its disruption.
inline bool has_trouble()
{
    char const* const it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

// Writes what is sent, answered and run to a file, with the time since the
// start in milliseconds.
class recorder
{
public:
    explicit recorder(std::string const& path) : file_(path)
    {
    }

    void write(std::string const& who, std::string const& what)
    {
        std::lock_guard const guard(mutex_);
        auto const elapsed =
            std::chrono::duration_cast<milliseconds>(clock::now() - started_);
        file_ << elapsed.count() << " ms  " << who << "  " << what << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    clock::time_point started_ = clock::now();
};

struct address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string str() const
    {
        return ip + ':' + std::to_string(port);
    }
};

inline sockaddr_in to_sockaddr(address const& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
    return out;
}

inline address parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    return {text.substr(0, colon),
            static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

// A TCP connection with a receive buffer.
class stream
{
public:
    explicit stream(int handle = -1) : handle_(handle)
    {
        int const on = 1;
        if (handle_ >= 0)
            setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    stream(stream const&) = delete;
    stream& operator=(stream const&) = delete;

    ~stream()
    {
        close();
    }

    void close()
    {
        if (handle_ >= 0)
            ::close(std::exchange(handle_, -1));
    }

    // Limits what is received to the bandwidth of a link.
    void limit_bandwidth(int mbit_per_s)
    {
        constexpr int bytes_per_ms_and_mbit = 125;
        bytes_per_ms_ = mbit_per_s * bytes_per_ms_and_mbit;
    }

    // Ends a receive() of another thread, too.
    void shut_down() const
    {
        ::shutdown(handle_, SHUT_RDWR);
    }

    [[nodiscard]] bool is_open() const
    {
        return handle_ >= 0;
    }

    // A window of 0 bytes stands for the system's own choice.
    bool connect(address const& to, int window_bytes = 0)
    {
        handle_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (window_bytes != 0)
            setsockopt(handle_, SOL_SOCKET, SO_RCVBUF, &window_bytes,
                       sizeof(window_bytes));
        auto const remote = to_sockaddr(to);
        if (::connect(handle_, reinterpret_cast<sockaddr const*>(&remote),
                      sizeof(remote)) == 0)
        {
            int const on = 1;
            setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            return true;
        }
        close();
        return false;
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            auto const n =
                ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    // Returns a line without CR LF, or nothing at the end or after the time.
    std::optional<std::string> read_line(int timeout_ms = -1)
    {
        auto const until = clock::now() + milliseconds(timeout_ms);
        for (;;)
        {
            auto const end = in_.find("\r\n");
            if (end != std::string::npos)
            {
                auto const line = in_.substr(0, end);
                in_.erase(0, end + 2);
                return line;
            }
            if (!receive(timeout_ms, until))
                return std::nullopt;
        }
    }

    std::optional<std::string> read_bytes(std::size_t n, int timeout_ms = -1)
    {
        auto const until = clock::now() + milliseconds(timeout_ms);
        while (in_.size() < n)
            if (!receive(timeout_ms, until))
                return std::nullopt;
        auto const out = in_.substr(0, n);
        in_.erase(0, n);
        return out;
    }

private:
    bool receive(int timeout_ms, clock::time_point until)
    {
        pollfd it{handle_, POLLIN, 0};
        auto const left =
            std::chrono::duration_cast<milliseconds>(until - clock::now())
                .count();
        int const wait =
            timeout_ms < 0 ? -1 : static_cast<int>(std::max<long>(left, 0));
        if (::poll(&it, 1, wait) <= 0)
            return false;
        char buf[16384];
        auto const n = ::recv(handle_, buf, sizeof(buf), 0);
        if (n <= 0)
            return false;
        in_.append(buf, static_cast<std::size_t>(n));
        if (bytes_per_ms_ > 0)
            std::this_thread::sleep_for(
                std::chrono::microseconds(1000 * n / bytes_per_ms_));
        return true;
    }

    int handle_;
    int bytes_per_ms_ = 0;
    std::string in_;
};

// Accepts connections and runs a handler for each in a thread of its own.
class acceptor
{
public:
    using handler = std::function<void(stream&)>;

    acceptor(std::string const& ip, handler it) : handler_(std::move(it))
    {
        handle_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        setsockopt(handle_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto local = to_sockaddr({ip, 0});
        socklen_t n = sizeof(local);
        if (::bind(handle_, reinterpret_cast<sockaddr*>(&local), n) != 0 ||
            ::listen(handle_, 1024) != 0 ||
            ::getsockname(handle_, reinterpret_cast<sockaddr*>(&local), &n) !=
                0)
            throw std::runtime_error("cannot listen on " + ip);
        address_ = {ip, ntohs(local.sin_port)};
        thread_ = std::thread([this] { run(); });
    }

    ~acceptor()
    {
        is_stopping_ = true;
        ::shutdown(handle_, SHUT_RDWR);
        thread_.join();
        ::close(handle_);
        {
            std::lock_guard const guard(mutex_);
            for (auto* it : open_)
                it->shut_down();
        }
        for (auto& it : workers_)
            it.join();
    }

    [[nodiscard]] address const& where() const
    {
        return address_;
    }

private:
    void run()
    {
        while (!is_stopping_)
        {
            int const accepted =
                ::accept4(handle_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            workers_.emplace_back([this, accepted] { serve(accepted); });
        }
    }

    void serve(int accepted)
    {
        stream it(accepted);
        {
            std::lock_guard const guard(mutex_);
            open_.insert(&it);
        }
        if (!is_stopping_)
            handler_(it);
        std::lock_guard const guard(mutex_);
        open_.erase(&it);
    }

    handler handler_;
    int handle_ = -1;
    address address_;
    std::atomic<bool> is_stopping_ = false;
    std::mutex mutex_;
    std::set<stream*> open_;
    std::vector<std::thread> workers_;
    std::thread thread_;
};

// ---- HTTP ----

struct http_message
{
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] int status() const
    {
        return first_line.size() < 12 ? 0 : std::stoi(first_line.substr(9, 3));
    }
};

inline std::optional<http_message> read_http(stream& from, int timeout_ms)
{
    http_message out;
    auto line = from.read_line(timeout_ms);
    if (!line)
        return std::nullopt;
    out.first_line = *line;
    while ((line = from.read_line(timeout_ms)) && !line->empty())
    {
        auto const colon = line->find(": ");
        if (colon != std::string::npos)
            out.headers[line->substr(0, colon)] = line->substr(colon + 2);
    }
    auto const length = out.headers.find("Content-Length");
    if (length != out.headers.end())
    {
        auto body = from.read_bytes(std::stoul(length->second), timeout_ms);
        if (!body)
            return std::nullopt;
        out.body = *body;
    }
    return out;
}

inline std::optional<http_message> call(address const& to,
                                        std::string const& method,
                                        std::string const& path,
                                        std::string const& body,
                                        int timeout_ms = 1000)
{
    stream it;
    if (!it.connect(to))
        return std::nullopt;
    it.send(method + ' ' + path + " HTTP/1.1\r\nHost: " + to.str() +
            "\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    return read_http(it, timeout_ms);
}

// Calls the daemons that serve the control plane, one after the other, until
// one answers for certain. Follows redirects twice.
inline std::optional<http_message>
call_control(std::vector<address> const& hosts,
             std::string const& method,
             std::string const& path,
             std::string const& body)
{
    for (auto const& host : hosts)
    {
        auto to = host;
        for (int redirects = 0; redirects <= 2; ++redirects)
        {
            auto const answer = call(to, method, path, body);
            if (!answer)
                break;
            if (answer->status() != 307)
            {
                if (answer->status() < 500)
                    return answer;
                break;
            }
            auto const& location = answer->headers.at("Location");
            auto const start = std::string("http://").size();
            to = parse_address(
                location.substr(start, location.find('/', start) - start));
        }
    }
    return std::nullopt;
}

inline std::string text_field(std::string const& body, std::string const& name)
{
    auto const key = '"' + name + "\":\"";
    auto const at = body.find(key);
    if (at == std::string::npos)
        return {};
    auto const start = at + key.size();
    return body.substr(start, body.find('"', start) - start);
}

// ---- Daemons ----

inline std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream out;
    out << file.rdbuf();
    return out.str();
}

inline std::string fill(std::string text,
                        std::map<std::string, std::string> const& values)
{
    for (auto const& [name, value] : values)
    {
        auto const key = "{{" + name + "}}";
        for (auto at = text.find(key); at != std::string::npos;
             at = text.find(key, at + value.size()))
            text.replace(at, key.size(), value);
    }
    if (text.find("{{") != std::string::npos)
        throw std::runtime_error("a placeholder of the template is unknown: " +
                                 text.substr(text.find("{{"), 40));
    return text;
}

// A process of the system under review.
class daemon_process
{
public:
    daemon_process(std::string name, std::string settings_path)
        : name_(std::move(name)), settings_path_(std::move(settings_path))
    {
    }

    ~daemon_process()
    {
        kill();
    }

    void start()
    {
        std::string const program = "target/basilreachd";
        std::string const argument = "--settings=" + settings_path_;
        auto const log = settings_path_ + ".log";
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        // The process ends with the script, also if the script is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }

    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(std::exchange(pid_, -1), nullptr, 0);
    }

    // Returns whether the process has ended by itself.
    bool has_ended()
    {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = -1;
        return true;
    }

    [[nodiscard]] pid_t pid() const
    {
        return pid_;
    }

    [[nodiscard]] std::string const& name() const
    {
        return name_;
    }

private:
    std::string name_;
    std::string settings_path_;
    pid_t pid_ = -1;
};

// Three control hosts and three entry hosts, in three data centres.
class deployment
{
public:
    static constexpr int sites = 3;

    deployment(std::string const& repository, address const& provider)
    {
        auto pattern =
            std::filesystem::temp_directory_path() / "basilreach-review-XXXXXX";
        auto text = pattern.string();
        if (::mkdtemp(text.data()) == nullptr)
            throw std::runtime_error("cannot create a folder");
        folder_ = text;
        std::filesystem::current_path(repository);
        // Loopback addresses that other runs don't use.
        prefix_ = "127." + std::to_string(20 + ::getpid() % 200) + ".";
        find_free_ports();
        std::vector<std::string> seeds;
        for (int n = 1; n <= sites; ++n)
        {
            control_.push_back(
                {host_ip(n, control_host), port_of(control_api)});
            front_.push_back({host_ip(n, entry_host), port_of(front_api)});
            seeds.push_back('"' + control_.back().str() + '"');
        }
        auto const seeds_json =
            '[' + seeds[0] + ',' + seeds[1] + ',' + seeds[2] + ']';
        for (int n = 1; n <= sites; ++n)
        {
            add("control", n, control_[n - 1].ip, seeds_json, provider);
            add("entry", n, front_[n - 1].ip, seeds_json, provider);
        }
    }

    ~deployment()
    {
        processes_.clear();
        std::error_code ec;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(folder_, ec);
    }

    void start()
    {
        for (auto& [name, it] : processes_)
            it->start();
    }

    daemon_process& process(std::string const& name)
    {
        return *processes_.at(name);
    }

    [[nodiscard]] std::vector<address> const& control() const
    {
        return control_;
    }

    [[nodiscard]] address const& front(int n) const
    {
        return front_.at(n - 1);
    }

    [[nodiscard]] std::string server_ip(int n) const
    {
        return host_ip(n, database_host);
    }

    // Waits until all entry hosts report that they are ready.
    bool wait_until_ready(int timeout_ms)
    {
        auto const until = clock::now() + milliseconds(timeout_ms);
        while (clock::now() < until)
        {
            int ready = 0;
            for (auto const& it : front_)
            {
                auto const answer = call({it.ip, port_of(readiness_api)}, "GET",
                                         "/readiness", "");
                ready += answer && answer->status() == 200 ? 1 : 0;
            }
            if (ready == sites)
                return true;
            pause_for(100);
        }
        return false;
    }

private:
    // The last number of the address of a host.
    static constexpr int control_host = 1;
    static constexpr int entry_host = 2;
    static constexpr int database_host = 3;

    // Ports, relative to the first one.
    static constexpr int first_internal = 0;
    static constexpr int last_internal = 1;
    static constexpr int control_api = 2;
    static constexpr int front_api = 3;
    static constexpr int readiness_api = 4;
    static constexpr int port_count = 5;

    [[nodiscard]] std::string host_ip(int n, int host) const
    {
        return prefix_ + std::to_string(n) + '.' + std::to_string(host);
    }

    [[nodiscard]] std::uint16_t port_of(int service) const
    {
        return static_cast<std::uint16_t>(first_port_ + service);
    }

    static bool is_free(address const& it)
    {
        int const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const local = to_sockaddr(it);
        bool const out =
            ::bind(handle, reinterpret_cast<sockaddr const*>(&local),
                   sizeof(local)) == 0;
        ::close(handle);
        return out;
    }

    // The ports are the same on all hosts.
    void find_free_ports()
    {
        constexpr int lowest_port = 10000;
        constexpr int highest_port = 30000;
        for (first_port_ = lowest_port; first_port_ < highest_port;
             first_port_ += port_count)
        {
            bool are_free = true;
            for (int n = 1; n <= sites; ++n)
                for (int const host : {control_host, entry_host})
                    for (int it = 0; it != port_count; ++it)
                        are_free = are_free &&
                                   is_free({host_ip(n, host), port_of(it)});
            if (are_free)
                return;
        }
        throw std::runtime_error("no free ports");
    }

    void add(std::string const& role,
             int n,
             std::string const& ip,
             std::string const& seeds,
             address const& provider)
    {
        auto const name = role + '-' + std::to_string(n);
        auto const data = folder_ + '/' + name;
        std::filesystem::create_directories(data);
        auto const text = fill(
            read_file("deploy/" + role + ".json"),
            {{"node_name", name},
             {"zone", "zone-" + std::to_string(n)},
             {"ip", ip},
             {"internal_ports.0", std::to_string(port_of(first_internal))},
             {"internal_ports.1", std::to_string(port_of(last_internal))},
             {"bind_addrs.control", address{ip, port_of(control_api)}.str()},
             {"bind_addrs.front", address{ip, port_of(front_api)}.str()},
             {"bind_addrs.readiness",
              address{ip, port_of(readiness_api)}.str()},
             {"cloud_api.address", provider.str()},
             {"seeds|json", seeds},
             {"bootstrap|json", "true"},
             {"fault_tolerance.machines", "1"},
             {"data_dir", data},
             {"bounds.grace_s", "6"},
             {"bounds.quota_window_s", "5"},
             {"bounds.quota_overage", "0.1"},
             {"bounds.quota_slack", "20"}});
        auto const path = folder_ + '/' + name + ".json";
        std::ofstream(path) << text;
        processes_.emplace(name, std::make_unique<daemon_process>(name, path));
    }

    std::string folder_;
    std::string prefix_;
    int first_port_ = 0;
    std::vector<address> control_;
    std::vector<address> front_;
    std::map<std::string, std::unique_ptr<daemon_process>> processes_;
};

} // namespace harness

#endif
