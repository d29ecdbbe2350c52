#include <basilreach/pgwire/parameter_list.hpp>

namespace basilreach::pgwire
{

void parameter_list::reserve(std::size_t count, std::size_t bytes)
{
    starts_.reserve(count);
    bytes_.reserve(bytes + count);
}

void parameter_list::push_back(std::optional<std::string_view> value)
{
    auto const start = static_cast<std::uint32_t>(bytes_.size());
    starts_.push_back(value ? start : start | null_bit);
    if (value)
    {
        bytes_.append(*value);
        bytes_.push_back('\0');
    }
}

std::optional<std::string_view>
parameter_list::operator[](std::size_t index) const
{
    std::uint32_t const start = starts_[index];
    if ((start & null_bit) != 0)
        return std::nullopt;
    std::size_t const end = index + 1 == starts_.size()
                                ? bytes_.size()
                                : starts_[index + 1] & ~null_bit;
    return std::string_view{bytes_}.substr(start, end - start - 1);
}

} // namespace basilreach::pgwire
