#ifndef BASILREACH_MEASURE_PROCESS_HPP
#define BASILREACH_MEASURE_PROCESS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace basilreach::measure
{

// A process that this program started; it ends with this value.
class child_process
{
public:
    // Runs a program; its standard output goes to the file.
    child_process(std::vector<std::string> args, std::string const& output);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    // Ends the process at once and waits for it.
    void kill();

    // Processor time since its start, in seconds.
    [[nodiscard]] double cpu_seconds() const;

    // Resident memory in bytes.
    [[nodiscard]] double resident_bytes() const;

private:
    pid_t pid_ = 0;
};

// Resident memory of this process in bytes.
[[nodiscard]] double own_resident_bytes();

// A directory that is removed with this value.
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

// Ports that the system chose for sockets bound to port 0.
[[nodiscard]] std::vector<std::uint16_t> free_ports(std::size_t n);

// Ends all children and this process on SIGINT, SIGTERM and after a time.
void end_children_on_signals(unsigned seconds);

// The value below which this share of the values lies; 0 for no values.
[[nodiscard]] double quantile(std::vector<double> values, double share);

} // namespace basilreach::measure

#endif
