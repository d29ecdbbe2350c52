#ifndef BASILREACH_STAND_IN_STATEMENT_HPP
#define BASILREACH_STAND_IN_STATEMENT_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace basilreach::stand_in
{

enum class statement_kind : std::uint8_t
{
    select_value,
    select_amount,
    insert_item,
    update_value,
    increment_amount,
    sleep,
    begin,
    begin_read_only,
    begin_read_write,
    commit,
    rollback,
    position,
    claim_request,
    promote
};

// A text, or the number of a parameter, counted from zero.
using argument = std::variant<std::string, std::size_t>;

struct statement
{
    statement_kind kind = statement_kind::begin;
    std::vector<argument> arguments;

    friend bool operator==(statement const&, statement const&) = default;
};

// Recognises a statement, or returns nothing for one outside the known forms.
[[nodiscard]] std::optional<statement> parse_statement(std::string_view text);

// Splits a simple query into its non-empty statements.
[[nodiscard]] std::vector<std::string> split_statements(std::string_view text);

// Compares a text with a pattern of words in lower case separated by blanks. In
// the pattern `?` stands for a string, a number or a parameter, and `%` for a
// word, a string or a number. Returns what they stand for.
[[nodiscard]] std::optional<std::vector<argument>>
match(std::string_view pattern, std::string_view text);

} // namespace basilreach::stand_in

#endif
