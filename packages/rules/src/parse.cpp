#include <basilreach/rules/parse.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <limits>
#include <map>
#include <set>
#include <span>
#include <system_error>
#include <tuple>
#include <utility>

#include <basilreach/rules/digest.hpp>
#include <basilreach/rules/name_syntax.hpp>

namespace basilreach::rules
{

namespace
{

constexpr auto reason_names = std::to_array<std::string_view>(
    {"unknown rule", "missing name", "bad name", "reserved name",
     "unknown field", "missing field", "duplicate field", "conflicting field",
     "bad number", "out of range", "bad digest", "bad class", "duplicate rule",
     "unknown workspace", "missing requester", "bad character",
     "text too large"});

// Ten times the statements per second expected of the whole system in two
// years, and small enough that a rate multiplied by a time does not overflow.
constexpr std::uint64_t max_rate = 1'000'000'000;
constexpr std::uint64_t max_connections = 100'000;
constexpr std::uint64_t max_milliseconds = 24ULL * 60 * 60 * 1000;

constexpr std::string_view blanks = " \t";

// A part of a line with its position.
struct text_span
{
    std::string_view text;
    std::size_t line = 0;
    std::size_t column = 0;

    // Returns a part of this text, from a byte offset.
    [[nodiscard]] text_span
    part(std::size_t first, std::size_t size = std::string_view::npos) const
    {
        return {text.substr(first, size), line, column + first};
    }
};

text_span trimmed(text_span it)
{
    auto const first = it.text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return it.part(it.text.size());
    return it.part(first, it.text.find_last_not_of(blanks) - first + 1);
}

std::vector<text_span>
split(text_span const& it, std::string_view separators, bool keep_empty)
{
    std::vector<text_span> parts;
    for (std::size_t first = 0; first <= it.text.size();)
    {
        auto const end =
            std::min(it.text.find_first_of(separators, first), it.text.size());
        if (keep_empty || end != first)
            parts.push_back(it.part(first, end - first));
        first = end + 1;
    }
    return parts;
}

// A rule line split into its parts, with the fields by name.
struct rule_line
{
    text_span name;
    std::map<std::string_view, text_span> fields;
    std::string requester;
};

// Collects the rules and the errors found while a text is parsed.
class rule_set_builder
{
public:
    void report(text_span const& at, rule_reason reason)
    {
        errors_.push_back({at.line, at.column, reason, std::string{at.text}});
    }

    void report_missing(text_span const& at,
                        rule_reason reason,
                        std::string_view missing)
    {
        errors_.push_back({at.line, at.column, reason, std::string{missing}});
    }

    void add_workspace(rule_line const& it)
    {
        workspace_rule rule;
        read_number(it, "rate", {1, max_rate}, rule.rate);
        read_number(it, "burst", {1, max_rate}, rule.burst);
        read_priority(it, rule.priority);
        add(rules_.workspaces, workspace_name{it.name.text}, rule, "workspace ",
            it.name, it);
    }

    void add_key(rule_line const& it)
    {
        workspace_references_.push_back(it.name);
        auto const field = it.fields.find("sha256");
        if (field == it.fields.end())
            return;
        if (auto const digest = parse_digest(field->second.text))
            add(rules_.keys, *digest, workspace_name{it.name.text}, "key ",
                {print_digest(*digest), field->second.line,
                 field->second.column},
                it);
        else
            report(field->second, rule_reason::bad_digest);
    }

    void add_route(rule_line const& it)
    {
        if (it.name.text == admin_console_name)
            report(it.name, rule_reason::reserved_name);
        route_rule rule;
        if (auto const* group = find(it, "group"); group && check_name(*group))
            rule.group = group_name{group->text};
        if (auto const* text = find(it, "class"))
            read_class(*text, rule.kind);
        if (auto const* list = find(it, "workspaces"))
            for (auto const& part : split(*list, ",", true))
                if (check_name(part))
                {
                    workspace_references_.push_back(part);
                    if (!rule.workspaces.insert(workspace_name{part.text})
                             .second)
                        report(part, rule_reason::duplicate_field);
                }
        if (auto const* open = find(it, "open"); open && check_name(*open))
        {
            workspace_references_.push_back(*open);
            rule.open = workspace_name{open->text};
            // A route that needs no key can't be restricted to workspaces.
            if (find(it, "workspaces") != nullptr)
                report(*open, rule_reason::conflicting_field);
        }
        read_milliseconds(it, "max_age_ms", rule.max_age);
        read_priority(it, rule.priority);
        read_milliseconds(it, "target_ms", rule.target);
        add(rules_.routes, route_name{it.name.text}, rule, "route ", it.name,
            it);
    }

    void add_server_limit(rule_line const& it)
    {
        server_limit_rule rule;
        read_number(it, "connections", {1, max_connections}, rule.connections);
        read_number(it, "slots", {1, max_connections}, rule.slots);
        add(rules_.server_limits, group_name{it.name.text}, rule,
            "server_limit ", it.name, it);
    }

    bool check_name(text_span const& it)
    {
        if (!is_name(it.text))
            report(it, rule_reason::bad_name);
        return is_name(it.text);
    }

    // Checks the references to workspaces; returns the rules, or all errors.
    result<rule_set, std::vector<rule_error>> finish()
    {
        for (auto const& it : workspace_references_)
            if (!rules_.workspaces.contains(workspace_name{it.text}))
                report(it, rule_reason::unknown_workspace);
        std::sort(errors_.begin(), errors_.end(),
                  [](rule_error const& left, rule_error const& right)
                  {
                      return std::tie(left.line, left.column, left.reason,
                                      left.word) <
                             std::tie(right.line, right.column, right.reason,
                                      right.word);
                  });
        if (!errors_.empty())
            return failure(std::move(errors_));
        return success(std::move(rules_));
    }

private:
    struct range
    {
        std::uint64_t low;
        std::uint64_t high;
    };

    static text_span const* find(rule_line const& it, std::string_view field)
    {
        auto const found = it.fields.find(field);
        return found == it.fields.end() ? nullptr : &found->second;
    }

    template <class Number>
    bool read_number(rule_line const& it,
                     std::string_view field,
                     range const& accepted,
                     Number& out)
    {
        auto const* value = find(it, field);
        if (value == nullptr)
            return false;
        auto const* const last = value->text.data() + value->text.size();
        std::uint64_t number = 0;
        auto const [end, ec] =
            std::from_chars(value->text.data(), last, number);
        if (end != last || ec == std::errc::invalid_argument)
        {
            report(*value, rule_reason::bad_number);
            return false;
        }
        if (ec != std::errc{} || number < accepted.low ||
            number > accepted.high)
        {
            report(*value, rule_reason::out_of_range);
            return false;
        }
        out = static_cast<Number>(number);
        return true;
    }

    void read_milliseconds(rule_line const& it,
                           std::string_view field,
                           std::optional<duration>& out)
    {
        std::uint64_t number = 0;
        if (read_number(it, field, {1, max_milliseconds}, number))
            out = std::chrono::milliseconds{number};
    }

    void read_priority(rule_line const& it, std::optional<rules::priority>& out)
    {
        rules::priority number = 0;
        if (read_number(it, "priority", {0, lowest_priority}, number))
            out = number;
    }

    void read_class(text_span const& value, route_class& out)
    {
        constexpr auto classes =
            std::to_array<std::pair<std::string_view, route_class>>(
                {{"read", route_class::read}, {"write", route_class::write}});
        auto const* const found = std::find_if(
            classes.begin(), classes.end(),
            [&](auto const& it) { return it.first == value.text; });
        if (found == classes.end())
            report(value, rule_reason::bad_class);
        else
            out = found->second;
    }

    // Rules with errors are added too, so that references to them are not
    // reported as errors as well.
    template <class Map, class Rule>
    void add(Map& rules,
             typename Map::key_type const& key,
             Rule rule,
             std::string prefix,
             text_span const& name,
             rule_line const& it)
    {
        if (!rules.emplace(key, std::move(rule)).second)
            report(name, rule_reason::duplicate_rule);
        rules_.requesters.emplace(prefix += name.text, it.requester);
    }

    rule_set rules_;
    std::vector<rule_error> errors_;
    std::vector<text_span> workspace_references_;
};

struct rule_field
{
    std::string_view name;
    bool is_required;
};

struct rule_kind
{
    std::string_view name;
    std::span<rule_field const> fields;
    void (rule_set_builder::*add)(rule_line const&);
};

constexpr auto workspace_fields = std::to_array<rule_field>(
    {{"rate", true}, {"burst", true}, {"priority", false}});
constexpr auto key_fields = std::to_array<rule_field>({{"sha256", true}});
constexpr auto route_fields = std::to_array<rule_field>({{"group", true},
                                                         {"class", false},
                                                         {"workspaces", false},
                                                         {"max_age_ms", false},
                                                         {"open", false},
                                                         {"priority", false},
                                                         {"target_ms", false}});
constexpr auto server_limit_fields =
    std::to_array<rule_field>({{"connections", true}, {"slots", true}});

constexpr auto rule_kinds = std::to_array<rule_kind>({
    {"workspace", workspace_fields, &rule_set_builder::add_workspace},
    {"key", key_fields, &rule_set_builder::add_key},
    {"route", route_fields, &rule_set_builder::add_route},
    {"server_limit", server_limit_fields, &rule_set_builder::add_server_limit},
});

template <class Table>
auto const* find_by_name(Table const& table, std::string_view name)
{
    auto const it =
        std::find_if(table.begin(), table.end(),
                     [&](auto const& entry) { return entry.name == name; });
    return it == table.end() ? nullptr : &*it;
}

// Parses the comment of a rule, "asked by NAME: why" after '#'. Returns nothing
// if either part is missing.
std::optional<std::string> read_requester(text_span comment)
{
    constexpr std::string_view introduction = "asked by ";
    comment = trimmed(comment);
    auto const colon = comment.text.find(':');
    if (!comment.text.starts_with(introduction) ||
        colon == std::string_view::npos)
        return std::nullopt;
    auto const who =
        trimmed(comment.part(0, colon).part(introduction.size() - 1)).text;
    auto const why = trimmed(comment.part(colon + 1)).text;
    if (who.empty() || why.empty())
        return std::nullopt;
    return std::string{who} + ": " + std::string{why};
}

void read_fields(rule_set_builder& out,
                 rule_kind const& kind,
                 std::span<text_span const> words,
                 rule_line& line)
{
    for (auto const& it : words)
    {
        auto const equals = it.text.find('=');
        auto const name = it.text.substr(0, equals);
        if (equals == std::string_view::npos ||
            find_by_name(kind.fields, name) == nullptr)
            out.report(it, rule_reason::unknown_field);
        else if (!line.fields.emplace(name, it.part(equals + 1)).second)
            out.report(it, rule_reason::duplicate_field);
    }
}

void read_line(rule_set_builder& out, text_span const& line)
{
    auto const is_control = [](char c)
    {
        return static_cast<unsigned char>(c) < ' ' && c != '\t';
    };
    auto const bad =
        std::find_if(line.text.begin(), line.text.end(), is_control);
    if (bad != line.text.end())
        return out.report(
            line.part(static_cast<std::size_t>(bad - line.text.begin()), 1),
            rule_reason::bad_character);
    auto const hash = std::min(line.text.find('#'), line.text.size());
    auto const words = split(line.part(0, hash), blanks, false);
    if (words.empty())
        return;
    rule_line rule;
    auto const comment = line.part(hash);
    auto const requester = read_requester(
        comment.part(std::min<std::size_t>(1, comment.text.size())));
    if (requester)
        rule.requester = *requester;
    else
        out.report(comment, rule_reason::missing_requester);
    auto const* const kind = find_by_name(rule_kinds, words[0].text);
    if (kind == nullptr)
        return out.report(words[0], rule_reason::unknown_rule);
    if (words.size() == 1 || words[1].text.find('=') != std::string_view::npos)
        return out.report(words[0], rule_reason::missing_name);
    rule.name = words[1];
    read_fields(out, *kind, std::span{words}.subspan(2), rule);
    for (auto const& it : kind->fields)
        if (it.is_required && !rule.fields.contains(it.name))
            out.report_missing(words[0], rule_reason::missing_field, it.name);
    if (out.check_name(rule.name))
        (out.*(kind->add))(rule);
}

} // namespace

result<rule_set, std::vector<rule_error>> parse_rules(std::string_view text)
{
    if (text.size() > max_rules_bytes)
        return failure(std::vector<rule_error>{
            {1, 1, rule_reason::text_too_large, std::to_string(text.size())}});
    rule_set_builder out;
    std::size_t number = 0;
    for (auto it : split({text, 1, 1}, "\n", true))
    {
        if (it.text.ends_with('\r'))
            it.text.remove_suffix(1);
        read_line(out, {it.text, ++number, 1});
    }
    return out.finish();
}

std::string_view to_string(rule_reason reason) noexcept
{
    return reason_names[static_cast<std::size_t>(reason)];
}

std::optional<rule_reason> parse_rule_reason(std::string_view text) noexcept
{
    auto const* const it =
        std::find(reason_names.begin(), reason_names.end(), text);
    if (it == reason_names.end())
        return std::nullopt;
    return static_cast<rule_reason>(it - reason_names.begin());
}

std::string to_string(rule_error const& error)
{
    auto text =
        std::to_string(error.line) + ":" + std::to_string(error.column) + ": ";
    text += to_string(error.reason);
    return error.word.empty() ? text : text + ": " + error.word;
}

} // namespace basilreach::rules
