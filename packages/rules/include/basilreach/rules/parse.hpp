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

// Why a place of a rules file is refused.
enum class rule_reason : std::uint8_t
{
    unknown_rule,
    missing_name,
    bad_name,
    // The admin console has this name.
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

// One refused place of a rules file.
struct rule_error
{
    // Both count from 1; the column counts bytes.
    std::size_t line = 0;
    std::size_t column = 0;
    rule_reason reason = rule_reason::unknown_rule;
    // The offending word, or the missing one.
    std::string word;

    friend auto operator<=>(rule_error const&, rule_error const&) = default;
};

// Largest rules file in bytes. A whole file travels in one message between
// daemons, and those are limited to 16 MiB.
inline constexpr std::size_t largest_rules_text = std::size_t{8} << 20U;

// Parses the text of a rules file. It is refused as a whole with every error
// found, ordered by line and column.
[[nodiscard]] result<rule_set, std::vector<rule_error>>
parse_rules(std::string_view text);

// Returns the reason in words, for instance "unknown workspace".
[[nodiscard]] std::string_view to_string(rule_reason reason) noexcept;

// Returns the reason that to_string() prints so.
[[nodiscard]] std::optional<rule_reason>
parse_rule_reason(std::string_view text) noexcept;

// Returns "LINE:COLUMN: REASON: WORD".
[[nodiscard]] std::string to_string(rule_error const& error);

} // namespace basilreach::rules

#endif
