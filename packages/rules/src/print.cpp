#include <basilreach/rules/print.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <utility>

#include <basilreach/rules/digest.hpp>

namespace basilreach::rules
{

namespace
{

// The sort key of the canonical order: the rank of the rule kind, then the rule
// kind and name.
using canonical_key = std::pair<std::size_t, std::string>;
using canonical_lines = std::map<canonical_key, std::string>;

// The kind and name of a rule ("workspace sales") and its line without the
// comment.
struct printed_rule
{
    std::string rule;
    std::string line;
};

// Returns a rule whose line starts with its kind and name.
printed_rule make_printed_rule(std::string rule, std::string const& fields)
{
    auto line = rule + fields;
    return {std::move(rule), std::move(line)};
}

std::string number_field(std::string_view name, std::uint64_t value)
{
    return " " + std::string{name} + "=" + std::to_string(value);
}

std::string priority_field(std::optional<priority> value)
{
    return value ? number_field("priority", *value) : std::string();
}

std::string milliseconds_field(std::string_view name,
                               std::optional<duration> value)
{
    if (!value)
        return {};
    auto const time =
        std::chrono::duration_cast<std::chrono::milliseconds>(*value);
    return number_field(name, static_cast<std::uint64_t>(time.count()));
}

printed_rule
print_rule(std::pair<workspace_name const, workspace_rule> const& it)
{
    return make_printed_rule("workspace " + it.first.str(),
                             number_field("rate", it.second.rate) +
                                 number_field("burst", it.second.burst) +
                                 priority_field(it.second.priority));
}

printed_rule print_rule(std::pair<key_digest const, workspace_name> const& it)
{
    auto const digest = print_digest(it.first);
    return {"key " + digest, "key " + it.second.str() + " sha256=" + digest};
}

printed_rule print_rule(std::pair<route_name const, route_rule> const& it)
{
    auto const& rule = it.second;
    auto fields = " group=" + rule.group.str();
    if (rule.kind == route_class::read)
        fields += " class=read";
    char const* separator = " workspaces=";
    for (auto const& workspace : rule.workspaces)
    {
        fields += separator + workspace.str();
        separator = ",";
    }
    fields += milliseconds_field("max_age_ms", rule.max_age);
    if (rule.open)
        fields += " open=" + rule.open->str();
    fields += priority_field(rule.priority);
    fields += milliseconds_field("target_ms", rule.target);
    return make_printed_rule("route " + it.first.str(), fields);
}

printed_rule
print_rule(std::pair<group_name const, server_limit_rule> const& it)
{
    return make_printed_rule(
        "server_limit " + it.first.str(),
        number_field("connections", it.second.connections) +
            number_field("slots", it.second.slots));
}

template <class Rules>
void add_lines(canonical_lines& lines,
               std::size_t kind,
               Rules const& rules,
               std::map<std::string, std::string> const& requesters)
{
    for (auto const& it : rules)
    {
        auto const printed = print_rule(it);
        auto const requester = requesters.find(printed.rule);
        lines[{kind, printed.rule}] =
            printed.line + " # asked by " +
            (requester == requesters.end() ? "unknown: not recorded"
                                           : requester->second);
    }
}

canonical_lines lines_of(rule_set const& rules)
{
    canonical_lines lines;
    add_lines(lines, 0, rules.workspaces, rules.requesters);
    add_lines(lines, 1, rules.keys, rules.requesters);
    add_lines(lines, 2, rules.routes, rules.requesters);
    add_lines(lines, 3, rules.server_limits, rules.requesters);
    return lines;
}

} // namespace

std::string print_rules(rule_set const& rules)
{
    std::string text;
    for (auto const& [key, line] : lines_of(rules))
        text += line + "\n";
    return text;
}

std::vector<rule_change> diff_rules(rule_set const& before,
                                    rule_set const& after)
{
    auto const old_lines = lines_of(before);
    // The lines of each rule before and after the change.
    std::map<canonical_key, std::pair<std::string, std::string>> pairs;
    for (auto const& [key, line] : old_lines)
        pairs[key].first = line;
    for (auto const& [key, line] : lines_of(after))
        pairs[key].second = line;
    std::vector<rule_change> changes;
    for (auto const& [key, lines] : pairs)
    {
        auto const& [old_line, new_line] = lines;
        if (old_line == new_line)
            continue;
        auto kind = change_kind::changed;
        if (old_line.empty())
            kind = change_kind::added;
        else if (new_line.empty())
            kind = change_kind::removed;
        changes.push_back({kind, key.second, old_line, new_line});
    }
    return changes;
}

std::string to_string(rule_change const& change)
{
    std::string text;
    if (!change.before.empty())
        text += "-" + change.before + "\n";
    if (!change.after.empty())
        text += "+" + change.after + "\n";
    return text;
}

} // namespace basilreach::rules
