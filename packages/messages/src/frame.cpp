#include <basilreach/messages/frame.hpp>

#include <boost/endian/conversion.hpp>

namespace basilreach::messages
{

namespace
{

constexpr std::size_t header_bytes = 4;

} // namespace

void append_frame(std::string& out, std::string_view bytes)
{
    unsigned char header[header_bytes];
    boost::endian::store_little_u32(header,
                                    static_cast<std::uint32_t>(bytes.size()));
    out.append(reinterpret_cast<char const*>(header), header_bytes);
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
    auto const n = boost::endian::load_little_u32(
        reinterpret_cast<unsigned char const*>(buffer_.data() + offset_));
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
    return std::optional(std::move(frame));
}

} // namespace basilreach::messages
