#ifndef BASILREACH_PROCESS_DEPLOYMENT_PROCESS_HPP
#define BASILREACH_PROCESS_DEPLOYMENT_PROCESS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace basilreach::measure
{

// A child process, which is killed when this object is destroyed.
class child_process
{
public:
    // Starts a program and redirects its standard output to a file.
    child_process(std::vector<std::string> args, std::string const& output);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    // Sends SIGKILL and waits for the process to end.
    void kill();

    // Returns the CPU time used since the start, in seconds.
    [[nodiscard]] double cpu_seconds() const;

    // Returns the resident memory in bytes.
    [[nodiscard]] double resident_bytes() const;

    // Returns the highest resident memory since the start, in bytes.
    [[nodiscard]] double peak_resident_bytes() const;

    // Returns the number of open descriptors.
    [[nodiscard]] std::size_t open_descriptors() const;

private:
    pid_t pid_ = 0;
};

// Returns the resident memory of this process in bytes.
[[nodiscard]] double own_resident_bytes();

// A temporary directory, which is removed when this object is destroyed.
class temporary_directory
{
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(temporary_directory const&) = delete;
    temporary_directory& operator=(temporary_directory const&) = delete;

    [[nodiscard]] std::string const& path() const
    {
        return path_;
    }

private:
    std::string path_;
};

void write_file(std::string const& path, std::string const& text);
[[nodiscard]] std::string read_file(std::string const& path);

// Returns free ports, which the system chose for sockets bound to port 0.
[[nodiscard]] std::vector<std::uint16_t> free_ports(std::size_t n);

// Kills all child processes and ends this one on SIGINT, on SIGTERM, and after
// the given time.
void kill_children_on_signals(unsigned seconds);

// Returns the value that this fraction of the values does not exceed, or 0 for
// no values.
[[nodiscard]] double quantile(std::vector<double> values, double fraction);

} // namespace basilreach::measure

#endif
