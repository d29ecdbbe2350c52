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

using detail::token;

// What a value must be besides of its member's type.
enum class text_kind : std::uint8_t
{
    address,
    change_id,
    rules
};

// A step of a command's grammar: a keyword, and a value of one of the types
// after it.
template <class Command, class... Values>
struct step
{
    std::string_view keyword;
    std::variant<std::monostate, Values Command::*...> target = {};
    text_kind kind = text_kind::address;
};

// The grammar of each command, by which it is parsed and printed.
template <class Command>
struct grammar_of;

template <>
struct grammar_of<apply_rules>
{
    using self = apply_rules;
    static constexpr auto steps =
        std::to_array<step<self, std::uint64_t, std::string>>({
            {"APPLY"},
            {"RULES"},
            {"BASE"},
            {"=", &self::base_version},
            {"ID"},
            {"=", &self::change_id, text_kind::change_id},
            {"", &self::text, text_kind::rules},
        });
};

// The form that operators type: the parser works out the content id.
struct short_apply_rules
{
    static constexpr auto steps =
        std::to_array<step<apply_rules, std::uint64_t, std::string>>({
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
    static constexpr auto steps = std::to_array<step<self, show_subject>>({
        {"SHOW", &self::subject},
    });
};

template <>
struct grammar_of<withdraw_key>
{
    using self = withdraw_key;
    static constexpr auto steps = std::to_array<step<self, rules::key_digest>>({
        {"WITHDRAW"},
        {"KEY", &self::digest},
    });
};

template <>
struct grammar_of<announce_server>
{
    using self = announce_server;
    static constexpr auto steps = std::to_array<step<self,
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
    static constexpr auto steps =
        std::to_array<step<self, server_name, std::uint64_t>>({
            {"ANNOUNCE"},
            {"LEAVING", &self::server},
            {"SEQUENCE", &self::sequence},
        });
};

template <>
struct grammar_of<report_verdict>
{
    using self = report_verdict;
    static constexpr auto steps =
        std::to_array<step<self, server_name, server_verdict, std::uint64_t>>({
            {"VERDICT", &self::server},
            {"", &self::verdict},
            {"SEQUENCE", &self::sequence},
        });
};

template <>
struct grammar_of<add_control_host>
{
    using self = add_control_host;
    static constexpr auto steps =
        std::to_array<step<self, daemon_name, std::string, data_centre_name>>({
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
    static constexpr auto steps = std::to_array<step<self, daemon_name>>({
        {"REMOVE"},
        {"CONTROL"},
        {"HOST", &self::host},
    });
};

template <>
struct grammar_of<stop>
{
    using self = stop;
    static constexpr auto steps = std::to_array<step<self>>({
        {"STOP"},
    });
};

constexpr auto subject_words =
    std::to_array<std::pair<std::string_view, show_subject>>(
        {{"RULES", show_subject::rules},
         {"HISTORY", show_subject::history},
         {"STATUS", show_subject::status},
         {"METRICS", show_subject::metrics}});

constexpr auto verdict_words =
    std::to_array<std::pair<std::string_view, server_verdict>>(
        {{"UP", server_verdict::up}, {"DOWN", server_verdict::down}});

// The words of an enumeration, in its order.
constexpr auto const& words_of(show_subject /*value*/)
{
    return subject_words;
}

constexpr auto const& words_of(server_verdict /*value*/)
{
    return verdict_words;
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

// Reads the tokens of one command from first to last.
class reader
{
public:
    reader(std::span<token const> tokens, std::size_t end_column)
        : tokens_(tokens), end_column_(end_column)
    {
    }

    [[nodiscard]] admin_error const& error() const
    {
        return error_;
    }

    template <class Command, class Steps>
    bool read(Steps const& grammar, Command& out)
    {
        for (auto const& it : grammar)
        {
            if (!it.keyword.empty() && !read_keyword(it.keyword))
                return false;
            kind_ = it.kind;
            if (!std::visit([&](auto target) { return set(out, target); },
                            it.target))
                return false;
        }
        return next_ == tokens_.size() ||
               refuse(admin_reason::unexpected_word, "the end of the command");
    }

    // Refuses the token before the next one.
    bool refuse_last(admin_reason reason, std::string expected)
    {
        --next_;
        return refuse(reason, std::move(expected));
    }

private:
    bool refuse(admin_reason reason, std::string expected)
    {
        auto const column =
            next_ < tokens_.size() ? tokens_[next_].column : end_column_;
        error_ = {reason, column, std::move(expected)};
        return false;
    }

    bool read_keyword(std::string_view keyword)
    {
        if (next_ == tokens_.size() || tokens_[next_].is_quoted ||
            !equal_keywords(tokens_[next_].text, keyword))
            return refuse(admin_reason::unexpected_word, std::string{keyword});
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
        // An absent value is refused by the check of its kind.
        static token const absent;
        return read_value(next_ < tokens_.size() ? tokens_[next_] : absent,
                          out.*target) &&
               (++next_, true);
    }

    template <class Tag>
    bool read_value(token const& it, name<Tag>& out)
    {
        if (!rules::is_name(it.text))
            return refuse(admin_reason::bad_name,
                          "a name of 1 to 63 letters, digits, '_', '-', '.'");
        out = name<Tag>{it.text};
        return true;
    }

    bool read_value(token const& it, std::uint64_t& out)
    {
        auto const* const last = it.text.data() + it.text.size();
        auto const [end, ec] = std::from_chars(it.text.data(), last, out);
        return (ec == std::errc{} && end == last) ||
               refuse(admin_reason::bad_number, "a whole number below 2^64");
    }

    bool read_value(token const& it, rules::key_digest& out)
    {
        auto const digest = rules::parse_digest(it.text);
        if (!digest)
            return refuse(admin_reason::bad_digest, "64 hexadecimal digits");
        out = *digest;
        return true;
    }

    bool read_value(token const& it, std::string& out)
    {
        struct check
        {
            bool (*accepts)(token const&);
            admin_reason reason;
            char const* expected;
        };
        // In the order of text_kind.
        static constexpr auto checks = std::to_array<check>({
            {[](token const& value)
             { return settings::parse_endpoint(value.text).has_value(); },
             admin_reason::bad_address, "a numeric IP address and a port"},
            {[](token const& value)
             { return rules::parse_digest(value.text).has_value(); },
             admin_reason::bad_digest, "64 hexadecimal digits"},
            {[](token const& value) { return value.is_quoted; },
             admin_reason::unexpected_word, "a quoted rules text"},
        });
        auto const& used = checks[static_cast<std::size_t>(kind_)];
        if (!used.accepts(it))
            return refuse(used.reason, used.expected);
        out = it.text;
        return true;
    }

    template <class Value>
    requires std::is_enum_v<Value>
    bool read_value(token const& it, Value& out)
    {
        std::string expected;
        for (auto const& [word, value] : words_of(out))
        {
            if (equal_keywords(it.text, word))
            {
                out = value;
                return true;
            }
            expected += (expected.empty() ? "" : " or ") + std::string{word};
        }
        return refuse(admin_reason::unexpected_word, std::move(expected));
    }

    std::span<token const> tokens_;
    std::size_t end_column_;
    std::size_t next_ = 0;
    text_kind kind_ = text_kind::address;
    admin_error error_;
};

// Conditions on a whole command.
template <class Command>
bool complete(Command& /*command*/, reader& /*in*/)
{
    return true;
}

bool complete(apply_rules& command, reader& in)
{
    auto id = rules::change_id_of(command.base_version, command.text);
    // A given id that differs shows that the text was altered on its way.
    if (!command.change_id.empty() &&
        rules::parse_digest(command.change_id) != rules::parse_digest(id))
        return in.refuse_last(admin_reason::wrong_change_id,
                              "the text that has this ID");
    command.change_id = std::move(id);
    return true;
}

template <class Command, class Grammar = grammar_of<Command>>
bool read_command(reader& in, admin_command& out)
{
    Command command;
    if (!in.read(Grammar::steps, command) || !complete(command, in))
        return false;
    out = std::move(command);
    return true;
}

// Every form of every command.
constexpr auto forms = std::to_array<bool (*)(reader&, admin_command&)>({
    &read_command<apply_rules>,
    &read_command<apply_rules, short_apply_rules>,
    &read_command<show>,
    &read_command<withdraw_key>,
    &read_command<announce_server>,
    &read_command<announce_leaving>,
    &read_command<report_verdict>,
    &read_command<add_control_host>,
    &read_command<remove_control_host>,
    &read_command<stop>,
});

// Prints a value; a change id or an address is quoted like any text.
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
    auto const& words = words_of(value);
    return std::string{words[static_cast<std::size_t>(value)].first};
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
    for (auto const& it : grammar_of<Command>::steps)
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
    // The form that reads furthest is the one that was meant. Forms that stop
    // at the same place are all named.
    admin_error error;
    for (auto const form : forms)
    {
        reader in{tokens.value(), text.size() + 1};
        admin_command command;
        if (form(in, command))
            return success(std::move(command));
        auto const& found = in.error();
        if (found.column > error.column)
            error = found;
        else if (found.column == error.column &&
                 error.expected.find(found.expected) == std::string::npos)
            error.expected += " or " + found.expected;
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
