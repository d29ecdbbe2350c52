#include <basilreach/stand_in/statement.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace basilreach::stand_in
{

namespace
{

enum class token_kind : std::uint8_t
{
    word,
    number,
    string,
    parameter,
    symbol
};

struct token
{
    token_kind kind = token_kind::symbol;
    std::string text;
};

bool is_word_character(char it)
{
    return std::isalnum(static_cast<unsigned char>(it)) != 0 || it == '_' ||
           it == '-' || it == '.';
}

bool is_digit(char it)
{
    return std::isdigit(static_cast<unsigned char>(it)) != 0;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char it)
                   { return static_cast<char>(std::tolower(it)); });
    return text;
}

// Returns the offset after the closing quote of the string literal that begins
// at start, or the size of the text when the literal is not closed.
std::size_t string_end(std::string_view text, std::size_t start)
{
    std::size_t n = start + 1;
    for (; n < text.size(); ++n)
    {
        if (text[n] != '\'')
            continue;
        if (n + 1 == text.size() || text[n + 1] != '\'')
            return n + 1;
        ++n;
    }
    return text.size();
}

std::string unquote(std::string_view literal)
{
    std::string value;
    for (std::size_t n = 1; n + 1 < literal.size(); ++n)
    {
        value.push_back(literal[n]);
        if (literal[n] == '\'')
            ++n;
    }
    return value;
}

std::vector<token> tokenize(std::string_view text)
{
    std::vector<token> tokens;
    std::size_t n = 0;
    while (n < text.size())
    {
        char const first = text[n];
        std::size_t end = n + 1;
        if (std::isspace(static_cast<unsigned char>(first)) != 0)
        {
            n = end;
            continue;
        }
        token_kind kind = token_kind::symbol;
        if (first == '\'')
        {
            end = string_end(text, n);
            tokens.push_back(
                {token_kind::string, unquote(text.substr(n, end - n))});
            n = end;
            continue;
        }
        if (first == '$')
        {
            kind = token_kind::parameter;
            while (end < text.size() && is_digit(text[end]))
                ++end;
            ++n;
        }
        else if (is_word_character(first))
        {
            kind = is_digit(first) ? token_kind::number : token_kind::word;
            while (end < text.size() && is_word_character(text[end]))
                ++end;
        }
        tokens.push_back({kind, std::string{text.substr(n, end - n)}});
        n = end;
    }
    while (!tokens.empty() && tokens.back().text == ";" &&
           tokens.back().kind == token_kind::symbol)
        tokens.pop_back();
    return tokens;
}

// Adds the value of a token that `?` or `%` matches; returns false when the
// placeholder does not match the token.
bool capture_argument(std::string_view placeholder,
                      token const& it,
                      std::vector<argument>& arguments)
{
    if (it.kind == token_kind::parameter)
    {
        std::size_t number = 0;
        std::from_chars(it.text.data(), it.text.data() + it.text.size(),
                        number);
        if (number == 0 || placeholder != "?")
            return false;
        arguments.emplace_back(number - 1);
        return true;
    }
    if (it.kind == token_kind::symbol ||
        (it.kind == token_kind::word && placeholder == "?"))
        return false;
    arguments.emplace_back(it.text);
    return true;
}

std::optional<std::vector<argument>> match(std::string_view pattern,
                                           std::span<token const> tokens)
{
    std::vector<argument> arguments;
    std::size_t n = 0;
    while (!pattern.empty())
    {
        auto const end = std::min(pattern.find(' '), pattern.size());
        auto const expected = pattern.substr(0, end);
        pattern.remove_prefix(std::min(end + 1, pattern.size()));
        if (n == tokens.size())
            return std::nullopt;
        auto const& it = tokens[n++];
        if (expected == "?" || expected == "%")
        {
            if (!capture_argument(expected, it, arguments))
                return std::nullopt;
        }
        else if (it.kind == token_kind::string || lower(it.text) != expected)
            return std::nullopt;
    }
    if (n != tokens.size())
        return std::nullopt;
    return arguments;
}

struct statement_form
{
    std::string_view pattern;
    statement_kind kind;
};

constexpr std::array statement_forms{
    statement_form{"select value from item where key = ?",
                   statement_kind::select_value},
    statement_form{"select amount from item where key = ?",
                   statement_kind::select_amount},
    statement_form{"insert into item ( key , value ) values ( ? , ? )",
                   statement_kind::insert_item},
    statement_form{"update item set value = ? where key = ?",
                   statement_kind::update_value},
    statement_form{"update item set amount = amount + 1 where key = ?",
                   statement_kind::increment_amount},
    statement_form{"select pg_sleep ( ? )", statement_kind::sleep},
    statement_form{"begin", statement_kind::begin},
    statement_form{"begin read only", statement_kind::begin_read_only},
    statement_form{"begin read write", statement_kind::begin_read_write},
    statement_form{"begin transaction read only",
                   statement_kind::begin_read_only},
    statement_form{"start transaction", statement_kind::begin},
    statement_form{"start transaction read only",
                   statement_kind::begin_read_only},
    statement_form{"commit", statement_kind::commit},
    statement_form{"rollback", statement_kind::rollback},
    statement_form{"select term , position from basilreach.position ( )",
                   statement_kind::position},
    statement_form{"select basilreach.claim_request ( ? , ? )",
                   statement_kind::claim_request},
    statement_form{"select basilreach.promote ( ? )", statement_kind::promote}};

} // namespace

std::optional<std::vector<argument>> match(std::string_view pattern,
                                           std::string_view text)
{
    return match(pattern, tokenize(text));
}

std::optional<statement> parse_statement(std::string_view text)
{
    auto const tokens = tokenize(text);
    for (auto const& it : statement_forms)
        if (auto arguments = match(it.pattern, tokens))
            return statement{it.kind, *std::move(arguments)};
    return std::nullopt;
}

std::vector<std::string> split_statements(std::string_view text)
{
    std::vector<std::string> statements;
    std::size_t start = 0;
    for (std::size_t n = 0; n <= text.size(); ++n)
    {
        if (n < text.size() && text[n] == '\'')
        {
            n = string_end(text, n) - 1;
            continue;
        }
        if (n < text.size() && text[n] != ';')
            continue;
        auto const part = text.substr(start, n - start);
        if (part.find_first_not_of(" \t\r\n") != std::string_view::npos)
            statements.emplace_back(part);
        start = n + 1;
    }
    return statements;
}

} // namespace basilreach::stand_in
