#ifndef BASILREACH_PGWIRE_STARTUP_OPTIONS_HPP
#define BASILREACH_PGWIRE_STARTUP_OPTIONS_HPP

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace basilreach::pgwire
{

// Returns the settings in the startup parameter `options`, in order, as pairs
// of NAME and VALUE. The forms are `-c NAME=VALUE`, `-cNAME=VALUE` and
// `--NAME=VALUE`; a `-` in NAME is returned as `_`. A backslash makes the next
// character literal. Anything else is ignored.
[[nodiscard]] std::vector<std::pair<std::string, std::string>>
parse_startup_options(std::string_view options);

} // namespace basilreach::pgwire

#endif
