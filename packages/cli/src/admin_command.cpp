#include <basilreach/cli/admin_command.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <span>
#include <system_error>
#include <type_traits>
#include <utility>

#include <basilreach/rules/digest.hpp>
#include <basilreach/rules/name_syntax.hpp>
#include <basilreach/settings/endpoint.hpp>

#include "scanner.hpp"

namespace basilreach::admin
{

namespace
{

using detail::command_token;

// What a value of type string holds. It decides how the value is checked.
enum class text_kind : std::uint8_t
{
    address,
    change_id,
    rules
};

// An element of a command's grammar: a keyword that may be empty, followed by a
// value or by none. The value is stored in the member that target points to.
template <class Command, class... Values>
struct grammar_element
{
    std::string_view keyword;
    std::variant<std::monostate, Values Command::*...> target = {};
    text_kind kind = text_kind::address;
};

// The grammar of each command, used to parse and to print it.
template <class Command>
struct grammar_of;

template <>
struct grammar_of<apply_rules>
{
    using self = apply_rules;
    static constexpr auto elements =
        std::to_array<grammar_element<self, std::uint64_t, std::string>>({
            {"APPLY"},
            {"RULES"},
            {"BASE"},
            {"=", &self::base_version},
            {"ID"},
            {"=", &self::change_id, text_kind::change_id},
            {"", &self::text, text_kind::rules},
        });
};

// APPLY RULES without ID, as operators type it: check_command() computes the
// content id.
struct short_apply_rules
{
    static constexpr auto elements =
        std::to_array<grammar_element<apply_rules, std::uint64_t, std::string>>(
            {
                {"APPLY"},
                {"RULES"},
                {"BASE"},
                {"=", &apply_rules::base_version},
                {"", &apply_rules::text, text_kind::rules},
            });
};

template <>
struct grammar_of<show>
{
    using self = show;
    static constexpr auto elements =
        std::to_array<grammar_element<self, show_subject>>({
            {"SHOW", &self::subject},
        });
};

template <>
struct grammar_of<withdraw_key>
{
    using self = withdraw_key;
    static constexpr auto elements =
        std::to_array<grammar_element<self, rules::key_digest>>({
            {"WITHDRAW"},
            {"KEY", &self::digest},
        });
};

template <>
struct grammar_of<announce_server>
{
    using self = announce_server;
    static constexpr auto elements =
        std::to_array<grammar_element<self,
                                      server_name,
                                      group_name,
                                      data_centre_name,
                                      std::string,
                                      std::uint64_t>>({
            {"ANNOUNCE"},
            {"SERVER", &self::server},
            {"GROUP", &self::group},
            {"DATA"},
            {"CENTRE", &self::data_centre},
            {"ADDRESS", &self::address},
            {"SEQUENCE", &self::sequence},
        });
};

template <>
struct grammar_of<announce_leaving>
{
    using self = announce_leaving;
    static constexpr auto elements =
        std::to_array<grammar_element<self, server_name, std::uint64_t>>({
            {"ANNOUNCE"},
            {"LEAVING", &self::server},
            {"SEQUENCE", &self::sequence},
        });
};

template <>
struct grammar_of<report_verdict>
{
    using self = report_verdict;
    static constexpr auto elements = std::to_array<
        grammar_element<self, server_name, server_verdict, std::uint64_t>>({
        {"VERDICT", &self::server},
        {"", &self::verdict},
        {"SEQUENCE", &self::sequence},
    });
};

template <>
struct grammar_of<add_control_host>
{
    using self = add_control_host;
    static constexpr auto elements = std::to_array<
        grammar_element<self, daemon_name, std::string, data_centre_name>>({
        {"ADD"},
        {"CONTROL"},
        {"HOST", &self::host},
        {"ADDRESS", &self::address},
        {"DATA"},
        {"CENTRE", &self::data_centre},
    });
};

template <>
struct grammar_of<remove_control_host>
{
    using self = remove_control_host;
    static constexpr auto elements =
        std::to_array<grammar_element<self, daemon_name>>({
            {"REMOVE"},
            {"CONTROL"},
            {"HOST", &self::host},
        });
};

template <>
struct grammar_of<stop>
{
    using self = stop;
    static constexpr auto elements = std::to_array<grammar_element<self>>({
        {"STOP"},
    });
};

template <>
struct grammar_of<set_data_centre_service>
{
    using self = set_data_centre_service;
    static constexpr auto elements =
        std::to_array<grammar_element<self, service_state, data_centre_name>>({
            {"DATA"},
            {"CENTRE"},
            {"", &self::service},
            {"", &self::data_centre},
        });
};

constexpr auto subject_keywords =
    std::to_array<std::pair<std::string_view, show_subject>>(
        {{"RULES", show_subject::rules},
         {"HISTORY", show_subject::history},
         {"STATUS", show_subject::status},
         {"METRICS", show_subject::metrics}});

constexpr auto verdict_keywords =
    std::to_array<std::pair<std::string_view, server_verdict>>(
        {{"UP", server_verdict::up}, {"DOWN", server_verdict::down}});

constexpr auto service_keywords =
    std::to_array<std::pair<std::string_view, service_state>>(
        {{"STOP", service_state::out_of_service},
         {"START", service_state::in_service}});

// Returns the keywords of an enumeration, indexed by its values.
constexpr auto const& keywords_of(show_subject /*value*/)
{
    return subject_keywords;
}

constexpr auto const& keywords_of(server_verdict /*value*/)
{
    return verdict_keywords;
}

constexpr auto const& keywords_of(service_state /*value*/)
{
    return service_keywords;
}

bool equal_keywords(std::string_view left, std::string_view right)
{
    auto const upper = [](char c)
    {
        return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return upper(a) == upper(b); });
}

// Parses the tokens of one command by the grammar of one form of a command.
class command_parser
{
public:
    command_parser(std::span<command_token const> tokens,
                   std::size_t end_column)
        : tokens_(tokens), end_column_(end_column)
    {
    }

    [[nodiscard]] admin_error const& error() const
    {
        return error_;
    }

    template <class Command, class Steps>
    bool parse(Steps const& grammar, Command& out)
    {
        for (auto const& it : grammar)
        {
            if (!it.keyword.empty() && !parse_keyword(it.keyword))
                return false;
            text_kind_ = it.kind;
            if (!std::visit([&](auto target) { return set(out, target); },
                            it.target))
                return false;
        }
        return next_ == tokens_.size() ||
               fail(admin_reason::unexpected_word, "the end of the command");
    }

    // Sets the error at the token that was parsed last.
    bool fail_at_previous_token(admin_reason reason, std::string expected)
    {
        --next_;
        return fail(reason, std::move(expected));
    }

private:
    bool fail(admin_reason reason, std::string expected)
    {
        auto const column =
            next_ < tokens_.size() ? tokens_[next_].column : end_column_;
        error_ = {reason, column, std::move(expected)};
        return false;
    }

    bool parse_keyword(std::string_view keyword)
    {
        if (next_ == tokens_.size() || tokens_[next_].is_quoted ||
            !equal_keywords(tokens_[next_].text, keyword))
            return fail(admin_reason::unexpected_word, std::string{keyword});
        ++next_;
        return true;
    }

    template <class Command>
    bool set(Command& /*out*/, std::monostate /*target*/)
    {
        return true;
    }

    template <class Command, class Member>
    bool set(Command& out, Member Command::*target)
    {
        // A missing value is parsed as an empty token, which no value type
        // accepts.
        static command_token const absent;
        return parse_value(next_ < tokens_.size() ? tokens_[next_] : absent,
                           out.*target) &&
               (++next_, true);
    }

    template <class Tag>
    bool parse_value(command_token const& it, name<Tag>& out)
    {
        if (!rules::is_name(it.text))
            return fail(admin_reason::bad_name,
                        "a name of 1 to 63 letters, digits, '_', '-', '.'");
        out = name<Tag>{it.text};
        return true;
    }

    bool parse_value(command_token const& it, std::uint64_t& out)
    {
        auto const* const last = it.text.data() + it.text.size();
        auto const [end, ec] = std::from_chars(it.text.data(), last, out);
        return (ec == std::errc{} && end == last) ||
               fail(admin_reason::bad_number, "a whole number below 2^64");
    }

    bool parse_value(command_token const& it, rules::key_digest& out)
    {
        auto const digest = rules::parse_digest(it.text);
        if (!digest)
            return fail(admin_reason::bad_digest, "64 hexadecimal digits");
        out = *digest;
        return true;
    }

    bool parse_value(command_token const& it, std::string& out)
    {
        struct check
        {
            bool (*accepts)(command_token const&);
            admin_reason reason;
            char const* expected;
        };
        // Indexed by text_kind.
        static constexpr auto checks = std::to_array<check>({
            {[](command_token const& value)
             { return settings::parse_endpoint(value.text).has_value(); },
             admin_reason::bad_address, "a numeric IP address and a port"},
            {[](command_token const& value)
             { return rules::parse_digest(value.text).has_value(); },
             admin_reason::bad_digest, "64 hexadecimal digits"},
            {[](command_token const& value) { return value.is_quoted; },
             admin_reason::unexpected_word, "a quoted rules text"},
        });
        auto const& used = checks[static_cast<std::size_t>(text_kind_)];
        if (!used.accepts(it))
            return fail(used.reason, used.expected);
        out = it.text;
        return true;
    }

    template <class Value>
    requires std::is_enum_v<Value>
    bool parse_value(command_token const& it, Value& out)
    {
        std::string expected;
        for (auto const& [keyword, value] : keywords_of(out))
        {
            if (equal_keywords(it.text, keyword))
            {
                out = value;
                return true;
            }
            expected += (expected.empty() ? "" : " or ") + std::string{keyword};
        }
        return fail(admin_reason::unexpected_word, std::move(expected));
    }

    std::span<command_token const> tokens_;
    std::size_t end_column_;
    std::size_t next_ = 0;
    text_kind text_kind_ = text_kind::address;
    admin_error error_;
};

// Checks a command after all of its tokens have been parsed.
template <class Command>
bool check_command(Command& /*command*/, command_parser& /*in*/)
{
    return true;
}

bool check_command(apply_rules& command, command_parser& in)
{
    auto id = rules::change_id_of(command.base_version, command.text);
    // If the given id differs, the base version or the text was altered in
    // transit.
    if (!command.change_id.empty() &&
        rules::parse_digest(command.change_id) != rules::parse_digest(id))
        return in.fail_at_previous_token(admin_reason::wrong_change_id,
                                         "a rules text with this content ID");
    command.change_id = std::move(id);
    return true;
}

template <class Command, class Grammar = grammar_of<Command>>
bool parse_as(command_parser& in, admin_command& out)
{
    Command command;
    if (!in.parse(Grammar::elements, command) || !check_command(command, in))
        return false;
    out = std::move(command);
    return true;
}

// The parsers of every form of every command.
constexpr auto forms =
    std::to_array<bool (*)(command_parser&, admin_command&)>({
        &parse_as<apply_rules>,
        &parse_as<apply_rules, short_apply_rules>,
        &parse_as<show>,
        &parse_as<withdraw_key>,
        &parse_as<announce_server>,
        &parse_as<announce_leaving>,
        &parse_as<report_verdict>,
        &parse_as<add_control_host>,
        &parse_as<remove_control_host>,
        &parse_as<stop>,
        &parse_as<set_data_centre_service>,
    });

// Print a value. Every string is quoted, also a change id or an address.
std::string print_value(std::string const& value)
{
    return quote(value);
}

template <class Tag>
std::string print_value(name<Tag> const& value)
{
    return quote(value.str());
}

std::string print_value(std::uint64_t value)
{
    return std::to_string(value);
}

std::string print_value(rules::key_digest const& value)
{
    return quote(rules::print_digest(value));
}

template <class Value>
requires std::is_enum_v<Value> std::string print_value(Value value)
{
    auto const& keywords = keywords_of(value);
    return std::string{keywords[static_cast<std::size_t>(value)].first};
}

template <class Command>
std::string print(Command const& command)
{
    std::string text;
    auto const append = [&](std::string_view word)
    {
        if (!text.empty() && word != "=" && text.back() != '=' && !word.empty())
            text += ' ';
        text += word;
    };
    auto const append_value = [&](auto target)
    {
        if constexpr (!std::is_same_v<decltype(target), std::monostate>)
            append(print_value(command.*target));
    };
    for (auto const& it : grammar_of<Command>::elements)
    {
        append(it.keyword);
        std::visit(append_value, it.target);
    }
    return text;
}

} // namespace

result<admin_command, admin_error> parse_command(std::string_view text)
{
    auto const tokens = detail::scan(text);
    if (tokens.has_error())
        return failure(tokens.error());
    // Reports the error of the form that fails at the greatest column, because
    // the operator most likely meant that form. If several forms fail there,
    // the message names what each of them expects.
    admin_error error;
    for (auto const parse_form : forms)
    {
        command_parser in{tokens.value(), text.size() + 1};
        admin_command command;
        if (parse_form(in, command))
            return success(std::move(command));
        auto const& form_error = in.error();
        if (form_error.column > error.column)
            error = form_error;
        else if (form_error.column == error.column &&
                 error.expected.find(form_error.expected) == std::string::npos)
            error.expected += " or " + form_error.expected;
    }
    return failure(std::move(error));
}

std::string print_command(admin_command const& command)
{
    return std::visit([](auto const& it) { return print(it); }, command);
}

std::string quote(std::string_view text)
{
    std::string quoted = "'";
    for (char const c : text)
    {
        if (c == '\'')
            quoted += c;
        quoted += c;
    }
    return quoted + "'";
}

std::string to_string(admin_error const& error)
{
    return "column " + std::to_string(error.column) + ": expected " +
           error.expected;
}

} // namespace basilreach::admin
