#ifndef BASILREACH_STORAGE_SRC_SNAPSHOT_FILE_HPP
#define BASILREACH_STORAGE_SRC_SNAPSHOT_FILE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <basilreach/storage/store.hpp>

namespace basilreach::storage
{

// The content of the snapshot file: the snapshot and the first segment that is
// needed after it.
struct snapshot_file
{
    snapshot base;
    std::uint64_t first_segment = 0;
};

// Returns the bytes of the file; the last eight are the checksum of the others.
std::string encode_snapshot(snapshot_file const& it);

// Decodes the bytes of the file; returns nothing when they are damaged.
std::optional<snapshot_file> parse_snapshot(std::string_view data);

} // namespace basilreach::storage

#endif
