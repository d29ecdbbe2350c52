#include "process.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string_view>

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace basilreach::measure
{

namespace
{

// A signal handler may only read lock-free atomics.
std::array<std::atomic<pid_t>, 64> child_pids{};

void replace_child(pid_t from, pid_t to)
{
    for (auto& it : child_pids)
    {
        auto expected = from;
        if (it.compare_exchange_strong(expected, to))
            return;
    }
}

void kill_children(int /*number*/)
{
    for (auto const& it : child_pids)
        if (auto const pid = it.load(); pid != 0)
            ::kill(pid, SIGKILL);
    _exit(1);
}

double resident_bytes_of(std::string const& process)
{
    std::ifstream file("/proc/" + process + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

child_process::child_process(std::vector<std::string> args,
                             std::string const& output)
{
    std::vector<char*> argv;
    argv.reserve(args.size() + 1);
    for (auto& it : args)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) !=
        0)
        pid_ = 0;
    posix_spawn_file_actions_destroy(&actions);
    replace_child(0, pid_);
}

child_process::~child_process()
{
    kill();
}

void child_process::kill()
{
    if (pid_ == 0)
        return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    replace_child(pid_, 0);
    pid_ = 0;
}

double child_process::cpu_seconds() const
{
    clockid_t clock = 0;
    timespec time{};
    if (clock_getcpuclockid(pid_, &clock) != 0 ||
        clock_gettime(clock, &time) != 0)
        return 0;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / 1e9;
}

double child_process::resident_bytes() const
{
    return resident_bytes_of(std::to_string(pid_));
}

double child_process::peak_resident_bytes() const
{
    constexpr std::string_view field = "VmHWM:";
    constexpr double bytes_per_kib = 1024;
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
        if (line.starts_with(field))
            return std::strtod(line.c_str() + field.size(), nullptr) *
                   bytes_per_kib;
    return 0;
}

std::size_t child_process::open_descriptors() const
{
    std::error_code ec;
    std::filesystem::directory_iterator const files(
        "/proc/" + std::to_string(pid_) + "/fd", ec);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

double own_resident_bytes()
{
    return resident_bytes_of("self");
}

temporary_directory::temporary_directory()
    : path_((std::filesystem::temp_directory_path() / "basilreach-XXXXXX")
                .string())
{
    if (mkdtemp(path_.data()) == nullptr)
        std::perror("mkdtemp");
}

temporary_directory::~temporary_directory()
{
    std::error_code ec;
    std::filesystem::remove_all(path_, ec);
}

void write_file(std::string const& path, std::string const& text)
{
    std::ofstream(path) << text;
}

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::uint16_t> free_ports(std::size_t n)
{
    std::vector<std::uint16_t> out;
    std::vector<int> sockets;
    for (std::size_t it = 0; it != n; ++it)
    {
        int const s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        if (bind(s, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
            getsockname(s, reinterpret_cast<sockaddr*>(&address), &size) == 0)
            out.push_back(ntohs(address.sin_port));
        sockets.push_back(s);
    }
    for (int const s : sockets)
        close(s);
    return out;
}

void kill_children_on_signals(unsigned seconds)
{
    for (int const number : {SIGINT, SIGTERM, SIGALRM})
        std::signal(number, kill_children);
    std::signal(SIGPIPE, SIG_IGN);
    alarm(seconds);
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto const rank = std::ceil(fraction * static_cast<double>(values.size()));
    auto const at = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return values[std::min(at, values.size() - 1)];
}

} // namespace basilreach::measure
