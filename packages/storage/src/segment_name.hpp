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
// Files that are written before they get their name.
inline constexpr std::string_view unfinished_suffix = ".new";

// The name of the segment file with a sequence number.
std::string segment_name(std::uint64_t sequence);

// The sequence number in a file name, or nothing for other files.
std::optional<std::uint64_t> segment_sequence(std::string_view name);

} // namespace basilreach::storage

#endif
