#include "segment_name.hpp"

#include <algorithm>
#include <charconv>

namespace basilreach::storage
{

namespace
{

constexpr std::string_view prefix = "log-";
constexpr std::size_t digits = 10;

} // namespace

std::string segment_name(std::uint64_t sequence)
{
    auto const number = std::to_string(sequence);
    std::string name{prefix};
    name.append(digits - std::min(digits, number.size()), '0');
    return name + number;
}

std::optional<std::uint64_t> segment_sequence(std::string_view name)
{
    std::uint64_t sequence = 0;
    if (!name.starts_with(prefix))
        return std::nullopt;
    name.remove_prefix(prefix.size());
    auto const parsed =
        std::from_chars(name.data(), name.data() + name.size(), sequence);
    if (parsed.ec != std::errc{} || parsed.ptr != name.data() + name.size())
        return std::nullopt;
    return sequence;
}

} // namespace basilreach::storage
