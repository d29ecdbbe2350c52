#ifndef BASILREACH_BASE_LOG_POSITION_HPP
#define BASILREACH_BASE_LOG_POSITION_HPP

#include <compare>
#include <cstdint>

namespace basilreach
{

// A position in the log of a database group (LSN). Positions compare by term
// first and by offset second: a server of a later term has every write that was
// acknowledged in earlier terms, because only such a server is ever promoted.
struct log_position
{
    std::uint64_t term = 0;
    std::uint64_t offset = 0;

    friend auto operator<=>(log_position const&, log_position const&) = default;
};

} // namespace basilreach

#endif
