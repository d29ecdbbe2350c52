#ifndef BASILREACH_RULES_PRINT_HPP
#define BASILREACH_RULES_PRINT_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <basilreach/rules/rule_set.hpp>

namespace basilreach::rules
{

// Returns the canonical text: one rule per line, grouped by kind and ordered by
// name, with single spaces and without optional fields that have their default.
// Parsing it returns an equal rule set, unless a rule has no requester or has
// `reads`, `timeout` or `checked_by` set: a rules file has no fields for these
// three.
[[nodiscard]] std::string print_rules(rule_set const& rules);

enum class change_kind : std::uint8_t
{
    added,
    removed,
    changed
};

// One rule that differs between two rule sets.
struct rule_change
{
    change_kind kind = change_kind::changed;
    // Rule kind and name, for instance "workspace sales".
    std::string rule;
    // Canonical lines; empty if the rule set does not have the rule.
    std::string before;
    std::string after;

    friend auto operator<=>(rule_change const&, rule_change const&) = default;
};

// Returns the rules that differ, ordered by kind and name as in the canonical
// text.
[[nodiscard]] std::vector<rule_change> diff_rules(rule_set const& before,
                                                  rule_set const& after);

// Returns "-BEFORE" and "+AFTER" lines, each ended by a line feed.
[[nodiscard]] std::string to_string(rule_change const& change);

} // namespace basilreach::rules

#endif
