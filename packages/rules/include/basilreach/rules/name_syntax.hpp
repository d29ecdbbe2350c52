#ifndef BASILREACH_RULES_NAME_SYNTAX_HPP
#define BASILREACH_RULES_NAME_SYNTAX_HPP

#include <cstddef>
#include <string_view>

namespace basilreach::rules
{

// A client names a route as its database, and PostgreSQL clients truncate
// database names to 63 bytes.
inline constexpr std::size_t max_name_bytes = 63;

// The database name of the admin console, which no route may have.
inline constexpr std::string_view admin_console_name = "basilreach";

// Returns whether the text is a valid name of a workspace, route, group,
// server, daemon or data centre: 1 to 63 ASCII letters, digits, '_', '-' or
// '.', of which the first is a letter or a digit.
[[nodiscard]] bool is_name(std::string_view text) noexcept;

} // namespace basilreach::rules

#endif
