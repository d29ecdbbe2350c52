#include <basilreach/settings/endpoint.hpp>

#include <array>
#include <charconv>
#include <system_error>

#include <arpa/inet.h>

namespace basilreach::settings
{

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto ip = text.substr(0, colon);
    auto const port = text.substr(colon + 1);
    int family = AF_INET;
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    {
        family = AF_INET6;
        ip = ip.substr(1, ip.size() - 2);
    }
    endpoint it{std::string{ip}, 0};
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    if (inet_pton(family, it.ip.c_str(), buf.data()) != 1)
        return std::nullopt;
    auto const [end, ec] =
        std::from_chars(port.data(), port.data() + port.size(), it.port);
    if (ec != std::errc{} || end != port.data() + port.size() || it.port == 0)
        return std::nullopt;
    return it;
}

} // namespace basilreach::settings
