#ifndef BASILREACH_STORAGE_SRC_RAW_RECORD_HPP
#define BASILREACH_STORAGE_SRC_RAW_RECORD_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace basilreach::storage
{

// The type of a record in a segment. The values are stored and must not change.
enum class record_type : std::uint8_t
{
    // The first record: index is the segment's sequence number, term the size
    // of the previous segment without its end record, kind the format version.
    start = 0,
    entry = 1,
    // The term, with the vote as payload.
    hard_state = 2,
    // Removes the entries from index on.
    truncate = 3,
    // The last record: index is the sequence number of the next segment.
    end = 4,
    // A snapshot of the entries up to index has been saved.
    snapshot = 5
};

inline constexpr std::uint8_t format_version = 1;

// One record: a header of 40 bytes and a payload. The header has a checksum of
// its own, so that a damaged length is not taken for an incomplete record. The
// checksums are seeded with the offset, which detects a record at a wrong
// position.
struct raw_record
{
    record_type type = record_type::start;
    std::uint8_t kind = 0;
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string_view payload;
};

inline constexpr std::size_t record_header_bytes = 40;

enum class parse_status : std::uint8_t
{
    complete,
    // The data ends inside the record, or holds only zeros, which some file
    // systems leave after a crash.
    torn,
    corrupted
};

// Appends the encoded record, which must be written at the given file offset.
void encode_record(std::string& out,
                   raw_record const& it,
                   std::uint64_t offset);

// Decodes the record at an offset of a file's content. The payload of the
// result is a view into the data.
parse_status
parse_record(std::string_view data, std::uint64_t offset, raw_record& out);

// Integers in little-endian order.
void put_integer(std::string& out, std::uint64_t value, std::size_t bytes);
std::uint64_t get_integer(std::string_view data, std::size_t bytes);

// Returns the 64-bit XXH3 checksum with a seed.
std::uint64_t checksum(std::string_view data, std::uint64_t seed);

} // namespace basilreach::storage

#endif
