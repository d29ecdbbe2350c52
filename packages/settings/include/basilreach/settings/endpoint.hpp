#ifndef BASILREACH_SETTINGS_ENDPOINT_HPP
#define BASILREACH_SETTINGS_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basilreach::settings
{

// A numeric IP address and a port.
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(endpoint const&, endpoint const&) = default;
};

// Parses "A.B.C.D:PORT" or "[IPv6]:PORT" with a port from 1 to 65535. Host
// names are not accepted, because daemons never resolve names.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

} // namespace basilreach::settings

#endif
