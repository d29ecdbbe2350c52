#ifndef BASILREACH_RULES_PARSE_HPP
#define BASILREACH_RULES_PARSE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <basilreach/base/result.hpp>
#include <basilreach/rules/rule_set.hpp>

namespace basilreach::rules
{

// The reason for an error in a rules file.
enum class rule_reason : std::uint8_t
{
    unknown_rule,
    missing_name,
    bad_name,
    // The name of the admin console's database.
    reserved_name,
    unknown_field,
    missing_field,
    duplicate_field,
    conflicting_field,
    bad_number,
    out_of_range,
    bad_digest,
    bad_class,
    duplicate_rule,
    unknown_workspace,
    missing_requester,
    bad_character,
    text_too_large
};

// An error in a rules file.
struct rule_error
{
    // Line and column count from 1; the column counts bytes.
    std::size_t line = 0;
    std::size_t column = 0;
    rule_reason reason = rule_reason::unknown_rule;
    // The offending text, the name of the missing field, or the size of a text
    // that is too large.
    std::string word;

    friend auto operator<=>(rule_error const&, rule_error const&) = default;
};

// Maximum size of a rules file. It is sent whole in one message between
// daemons, and such messages are limited to 16 MiB.
inline constexpr std::size_t max_rules_bytes = std::size_t{8} << 20U;

// Parses the text of a rules file. If it has errors, returns all of them,
// ordered by line and column, and no rules.
[[nodiscard]] result<rule_set, std::vector<rule_error>>
parse_rules(std::string_view text);

// Returns a description, for instance "unknown workspace".
[[nodiscard]] std::string_view to_string(rule_reason reason) noexcept;

// Parses a description returned by to_string(); returns nothing for any other
// text.
[[nodiscard]] std::optional<rule_reason>
parse_rule_reason(std::string_view text) noexcept;

// Returns "LINE:COLUMN: REASON: WORD".
[[nodiscard]] std::string to_string(rule_error const& error);

} // namespace basilreach::rules

#endif
