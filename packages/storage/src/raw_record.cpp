#include "raw_record.hpp"

#include <xxhash.h>

namespace basilreach::storage
{

void put_integer(std::string& out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t n = 0; n != bytes; ++n)
        out.push_back(static_cast<char>((value >> (8 * n)) & 0xFFU));
}

std::uint64_t get_integer(std::string_view data, std::size_t bytes)
{
    std::uint64_t value = 0;
    for (std::size_t n = 0; n != bytes; ++n)
        value |= std::uint64_t{static_cast<unsigned char>(data[n])} << (8 * n);
    return value;
}

std::uint64_t checksum(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

void encode_record(std::string& out, raw_record const& it, std::uint64_t offset)
{
    std::string header;
    put_integer(header, it.payload.size(), 4);
    put_integer(header, static_cast<std::uint64_t>(it.type), 1);
    put_integer(header, it.kind, 1);
    put_integer(header, 0, 2);
    put_integer(header, it.index, 8);
    put_integer(header, it.term, 8);
    put_integer(header, checksum(it.payload, offset), 8);
    put_integer(header, checksum(header, offset), 8);
    out += header;
    out += it.payload;
}

parse_status
parse_record(std::string_view data, std::uint64_t offset, raw_record& out)
{
    auto const rest = data.substr(offset);
    if (rest.size() < record_header_bytes ||
        rest.find_first_not_of('\0') == std::string_view::npos)
        return parse_status::torn;
    if (checksum(rest.substr(0, 32), offset) != get_integer(rest.substr(32), 8))
        return parse_status::corrupted;
    auto const length = get_integer(rest, 4);
    if (rest.size() - record_header_bytes < length)
        return parse_status::torn;
    out.type = static_cast<record_type>(rest[4]);
    out.kind = static_cast<std::uint8_t>(rest[5]);
    out.index = get_integer(rest.substr(8), 8);
    out.term = get_integer(rest.substr(16), 8);
    out.payload = rest.substr(record_header_bytes, length);
    return checksum(out.payload, offset) == get_integer(rest.substr(24), 8)
               ? parse_status::complete
               : parse_status::corrupted;
}

} // namespace basilreach::storage
