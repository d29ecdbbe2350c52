#include <basilreach/pgwire/parameter_list.hpp>

namespace basilreach::pgwire
{

void parameter_list::reserve(std::size_t count, std::size_t bytes)
{
    offsets_.reserve(count);
    bytes_.reserve(bytes + count);
}

void parameter_list::push_back(std::optional<std::string_view> value)
{
    auto const offset = static_cast<std::uint32_t>(bytes_.size());
    offsets_.push_back(value ? offset : offset | null_bit);
    if (value)
    {
        bytes_.append(*value);
        bytes_.push_back('\0');
    }
}

std::optional<std::string_view>
parameter_list::operator[](std::size_t index) const
{
    std::uint32_t const offset = offsets_[index];
    if ((offset & null_bit) != 0)
        return std::nullopt;
    std::size_t const end = index + 1 == offsets_.size()
                                ? bytes_.size()
                                : offsets_[index + 1] & ~null_bit;
    return std::string_view{bytes_}.substr(offset, end - offset - 1);
}

} // namespace basilreach::pgwire
