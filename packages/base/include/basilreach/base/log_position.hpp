#ifndef BASILREACH_BASE_LOG_POSITION_HPP
#define BASILREACH_BASE_LOG_POSITION_HPP

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include <basilreach/base/name.hpp>

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

// A position together with the group whose server reported it. The logs of two
// groups have nothing in common, so these are compared for equality only.
struct group_position
{
    group_name group;
    log_position position;

    friend bool operator==(group_position const&,
                           group_position const&) = default;
};

// The position that a session has reached in each group.
using group_positions = std::map<group_name, log_position>;

// Returns the position in the group, or nothing.
[[nodiscard]] inline std::optional<log_position>
find_position(group_positions const& positions, group_name const& group)
{
    auto const it = positions.find(group);
    return it == positions.end() ? std::nullopt : std::optional(it->second);
}

// Raises the position in the group to this one. Returns whether it was lower or
// absent.
inline bool advance_position(group_positions& positions,
                             group_name const& group,
                             log_position position)
{
    auto const [it, is_new] = positions.try_emplace(group, position);
    if (is_new || it->second >= position)
        return is_new;
    it->second = position;
    return true;
}

} // namespace basilreach

#endif
