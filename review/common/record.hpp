#ifndef BASILREACH_REVIEW_COMMON_RECORD_HPP
#define BASILREACH_REVIEW_COMMON_RECORD_HPP

#include <fstream>
#include <mutex>
#include <string>

namespace review
{

// Writes what was sent, answered and run to record.txt, a line each, with the
// time in milliseconds since the start.
class record
{
public:
    explicit record(std::string const& path);

    void write(std::string const& line);

    // Writes the line to the standard output too.
    void report(std::string const& line);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace review

#endif
