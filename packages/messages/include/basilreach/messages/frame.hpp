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

// Largest content of a frame in bytes.
inline constexpr std::size_t frame_limit = std::size_t{16} << 20U;

enum class frame_error : std::uint8_t
{
    too_large
};

// Appends a frame to out: the length as 4 bytes, little-endian, and the bytes.
void append_frame(std::string& out, std::string_view bytes);

// Cuts a byte stream into frames.
class frame_reader
{
public:
    void feed(std::string_view bytes);

    // Returns the content of the next frame, or nothing until it is whole.
    result<std::optional<std::string>, frame_error> next();

private:
    std::string buffer_;
    std::size_t offset_ = 0;
};

} // namespace basilreach::messages

#endif
