#include <basilreach/traffic/session_token.hpp>

#include <charconv>
#include <optional>

#include <xxhash.h>

namespace basilreach::traffic
{

namespace
{

constexpr std::string_view version_prefix = "1:";
constexpr std::size_t checksum_digits = 16;

std::string checksum_of(std::string_view text)
{
    static constexpr char digits[] = "0123456789abcdef";
    auto n = XXH3_64bits(text.data(), text.size());
    std::string out(checksum_digits, '0');
    for (auto it = out.rbegin(); it != out.rend(); ++it, n >>= 4U)
        *it = digits[n & 0xfU];
    return out;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t n = 0;
    auto const [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

// Parses "GROUP@TERM/OFFSET" into the token; returns whether it is well formed
// and the group's first position.
bool parse_position(std::string_view text, session_token& token)
{
    auto const at = text.find('@');
    auto const slash = text.find('/', at == text.npos ? 0 : at);
    if (at == text.npos || at == 0 || slash == text.npos)
        return false;
    auto const term = parse_number(text.substr(at + 1, slash - at - 1));
    auto const offset = parse_number(text.substr(slash + 1));
    if (!term || !offset)
        return false;
    return token.positions
        .emplace(group_name(text.substr(0, at)), log_position{*term, *offset})
        .second;
}

} // namespace

std::string print_session_token(session_token const& it)
{
    std::string text(version_prefix);
    for (auto const& [group, position] : it.positions)
    {
        if (text.size() != version_prefix.size())
            text += ',';
        text += group.str() + '@' + std::to_string(position.term) + '/' +
                std::to_string(position.offset);
    }
    return text + ':' + checksum_of(text);
}

result<session_token, session_token_error>
parse_session_token(std::string_view text)
{
    if (!text.starts_with(version_prefix))
        return session_token_error::unknown_version;
    auto const end = text.rfind(':');
    if (end < version_prefix.size() ||
        text.substr(end + 1) != checksum_of(text.substr(0, end)))
        return session_token_error::bad_checksum;
    session_token token;
    auto rest = text.substr(version_prefix.size(), end - version_prefix.size());
    while (!rest.empty())
    {
        auto const comma = std::min(rest.find(','), rest.size());
        if (!parse_position(rest.substr(0, comma), token))
            return session_token_error::malformed;
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return token;
}

} // namespace basilreach::traffic
