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

// Returns the canonical text: one rule a line, grouped by kind and ordered by
// name, single spaces, defaults left out. Parsing it returns an equal rule set.
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
    // Canonical lines; empty where the rule is absent.
    std::string before;
    std::string after;

    friend auto operator<=>(rule_change const&, rule_change const&) = default;
};

// Returns the rules that differ, in canonical order of rule kind and name.
[[nodiscard]] std::vector<rule_change> diff_rules(rule_set const& before,
                                                  rule_set const& after);

// Returns "-BEFORE" and "+AFTER" lines, each ended by a line feed.
[[nodiscard]] std::string to_string(rule_change const& change);

} // namespace basilreach::rules

#endif
