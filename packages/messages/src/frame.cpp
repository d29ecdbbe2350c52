#include <basilreach/messages/frame.hpp>

#include <boost/endian/conversion.hpp>
#include <zlib.h>

namespace basilreach::messages
{

namespace
{

constexpr std::size_t header_bytes = 4;

// Set in the header if the frame is compressed. Its content then begins with
// the number of bytes before compression, which is encoded like the header.
constexpr std::uint32_t compressed_flag = std::uint32_t{1} << 31U;

// Shorter frames are not compressed: the saving does not pay for the processor
// time.
constexpr std::size_t min_compressed_bytes = 1024;

void append_number(std::string& out, std::size_t n)
{
    unsigned char buf[header_bytes];
    boost::endian::store_little_u32(buf, static_cast<std::uint32_t>(n));
    out.append(reinterpret_cast<char const*>(buf), header_bytes);
}

std::uint32_t load_number(char const* from)
{
    return boost::endian::load_little_u32(
        reinterpret_cast<unsigned char const*>(from));
}

// Returns nothing if the bytes cannot be compressed to fewer.
std::optional<std::string> compress_bytes(std::string_view bytes)
{
    auto n = compressBound(bytes.size());
    std::string out(n, '\0');
    auto const code = compress2(reinterpret_cast<Bytef*>(out.data()), &n,
                                reinterpret_cast<Bytef const*>(bytes.data()),
                                bytes.size(), Z_BEST_SPEED);
    if (code != Z_OK || n + header_bytes >= bytes.size())
        return std::nullopt;
    out.resize(n);
    return out;
}

result<std::string, frame_error> uncompress_frame(std::string_view content)
{
    if (content.size() < header_bytes)
        return frame_error::malformed;
    uLongf n = load_number(content.data());
    if (n > frame_limit)
        return frame_error::too_large;
    std::string out(n, '\0');
    content.remove_prefix(header_bytes);
    auto const code = uncompress(reinterpret_cast<Bytef*>(out.data()), &n,
                                 reinterpret_cast<Bytef const*>(content.data()),
                                 content.size());
    if (code != Z_OK || n != out.size())
        return frame_error::malformed;
    return out;
}

} // namespace

void append_frame(std::string& out, std::string_view bytes)
{
    if (bytes.size() >= min_compressed_bytes)
        if (auto const compressed = compress_bytes(bytes))
        {
            append_number(out, (compressed->size() + header_bytes) |
                                   compressed_flag);
            append_number(out, bytes.size());
            out.append(*compressed);
            return;
        }
    append_number(out, bytes.size());
    out.append(bytes);
}

void frame_reader::feed(std::string_view bytes)
{
    if (offset_ == buffer_.size())
    {
        buffer_.clear();
        offset_ = 0;
    }
    buffer_.append(bytes);
}

result<std::optional<std::string>, frame_error> frame_reader::next()
{
    auto const buffered = buffer_.size() - offset_;
    if (buffered < header_bytes)
        return std::optional<std::string>();
    auto const header = load_number(buffer_.data() + offset_);
    auto const n = header & ~compressed_flag;
    if (n > frame_limit)
        return frame_error::too_large;
    if (buffered < header_bytes + n)
        return std::optional<std::string>();
    auto frame = buffer_.substr(offset_ + header_bytes, n);
    offset_ += header_bytes + n;
    if (offset_ == buffer_.size())
    {
        // Releases the memory, so that an idle link holds none.
        buffer_ = {};
        offset_ = 0;
    }
    if ((header & compressed_flag) == 0)
        return std::optional(std::move(frame));
    auto uncompressed = uncompress_frame(frame);
    if (!uncompressed)
        return uncompressed.error();
    return std::optional(std::move(uncompressed.value()));
}

} // namespace basilreach::messages
