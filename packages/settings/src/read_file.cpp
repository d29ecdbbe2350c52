#include <basilreach/settings/read_file.hpp>

#include <array>
#include <cstddef>
#include <fstream>
#include <ios>

namespace basilreach::settings
{

std::optional<std::string> read_file(std::string const& file)
{
    std::ifstream in{file, std::ios::binary};
    if (!in.is_open())
        return std::nullopt;
    std::string text;
    std::array<char, 65536> buf;
    // Unlike stream iterators, read() turns a read error into badbit.
    while (in.read(buf.data(), buf.size()) || in.gcount() > 0)
        text.append(buf.data(), static_cast<std::size_t>(in.gcount()));
    if (in.bad())
        return std::nullopt;
    return text;
}

} // namespace basilreach::settings
