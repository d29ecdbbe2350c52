#include "record.hpp"

#include <array>
#include <cstdio>
#include <iostream>

#include "net.hpp"

namespace review
{

record::record(std::string const& path) : file_(path)
{
}

void record::write(std::string const& line)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%10.1f ", now_ms());
    std::lock_guard const lock(mutex_);
    file_ << time.data() << line << std::endl;
}

void record::report(std::string const& line)
{
    write(line);
    std::cout << line << std::endl;
}

} // namespace review
