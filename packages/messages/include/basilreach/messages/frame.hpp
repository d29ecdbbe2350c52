#ifndef BASILREACH_MESSAGES_FRAME_HPP
#define BASILREACH_MESSAGES_FRAME_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <basilreach/base/result.hpp>

namespace basilreach::messages
{

// Size limit for the content of a frame in bytes, before compression.
inline constexpr std::size_t frame_limit = std::size_t{16} << 20U;

enum class frame_error : std::uint8_t
{
    too_large,
    // The content cannot be uncompressed.
    malformed
};

// Appends a frame to out: the number of bytes as a 4-byte little-endian
// integer, then the bytes. Large contents are compressed with zlib.
void append_frame(std::string& out, std::string_view bytes);

// Splits a byte stream into frames.
class frame_reader
{
public:
    // Adds received bytes to the buffer.
    void feed(std::string_view bytes);

    // Returns the content of the next frame, or nothing if it is incomplete.
    result<std::optional<std::string>, frame_error> next();

    // Returns whether a part of a frame has arrived.
    [[nodiscard]] bool has_partial_frame() const
    {
        return offset_ != buffer_.size();
    }

private:
    std::string buffer_;
    // Start of the next frame in buffer_.
    std::size_t offset_ = 0;
};

} // namespace basilreach::messages

#endif
