#include <basilreach/rules/name_syntax.hpp>

#include <algorithm>

namespace basilreach::rules
{

namespace
{

// Unlike std::isalnum(), does not depend on the locale.
bool is_alphanumeric(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

} // namespace

bool is_name(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= max_name_bytes &&
           is_alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [](char c) {
                           return is_alphanumeric(c) || c == '_' || c == '-' ||
                                  c == '.';
                       });
}

} // namespace basilreach::rules
