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

// A literal value, or the zero-based index of a parameter.
using argument = std::variant<std::string, std::size_t>;

struct statement
{
    statement_kind kind = statement_kind::begin;
    std::vector<argument> arguments;

    friend bool operator==(statement const&, statement const&) = default;
};

// Returns nothing for a statement that has none of the supported forms.
[[nodiscard]] std::optional<statement> parse_statement(std::string_view text);

// Splits a simple query into its non-empty statements.
[[nodiscard]] std::vector<std::string> split_statements(std::string_view text);

// Matches a text against a pattern: tokens in lower case, separated by single
// blanks. In the pattern `?` matches a string, a number or a parameter, and `%`
// a word, a string or a number. Returns the values that they matched, or
// nothing when the text does not match.
[[nodiscard]] std::optional<std::vector<argument>>
match(std::string_view pattern, std::string_view text);

} // namespace basilreach::stand_in

#endif
