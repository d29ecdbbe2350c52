#ifndef BASILREACH_STORAGE_SRC_SEGMENT_NAME_HPP
#define BASILREACH_STORAGE_SRC_SEGMENT_NAME_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basilreach::storage
{

inline constexpr std::string_view snapshot_name = "snapshot";
inline constexpr std::string_view lock_name = "lock";
// Suffix of a file until it is complete and renamed to its final name.
inline constexpr std::string_view unfinished_suffix = ".new";

// Returns the name of the segment file with a sequence number.
std::string segment_name(std::uint64_t sequence);

// Returns the sequence number in the name of a segment file, or nothing for
// other names.
std::optional<std::uint64_t> segment_sequence(std::string_view name);

} // namespace basilreach::storage

#endif
