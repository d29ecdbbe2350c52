#ifndef BASILREACH_CLI_ADMIN_ANSWER_HPP
#define BASILREACH_CLI_ADMIN_ANSWER_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <basilreach/rules/parse.hpp>

namespace basilreach::admin
{

// The answer to a command as the PostgreSQL protocol carries it: columns of
// type text and rows with one cell for each column.
struct result_table
{
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;

    friend bool operator==(result_table const&, result_table const&) = default;
};

enum class change_outcome : std::uint8_t
{
    accepted,
    // The same change was accepted before; this is its first answer.
    repeated,
    // Another change won; the answer names it.
    conflict,
    // The state already holds an equal or later sequence number.
    superseded,
    refused
};

// The answer to every command but SHOW.
struct change_answer
{
    change_outcome outcome = change_outcome::refused;
    // APPLY RULES: rules version of this change, or of the winner of a
    // conflict. Other commands: revision of the control state; when superseded,
    // the stored sequence number. Zero if none.
    std::uint64_t version = 0;
    // APPLY RULES: content id of the change with that version.
    std::string change_id;
    // Why the command was refused; empty for refused rules, see errors.
    std::string reason;
    // Refused places of a rules text.
    std::vector<rules::rule_error> errors;

    friend bool operator==(change_answer const&,
                           change_answer const&) = default;
};

// The row of SHOW RULES.
struct rules_row
{
    std::uint64_t version = 0;
    std::string change_id;
    std::string text;

    friend auto operator<=>(rules_row const&, rules_row const&) = default;
};

// A row of SHOW HISTORY, in order of version.
struct history_row
{
    std::uint64_t version = 0;
    std::string change_id;
    std::string author;
    std::string answer;

    friend auto operator<=>(history_row const&, history_row const&) = default;
};

// A row of SHOW STATUS, for instance (server, db-1, verdict, up).
struct status_row
{
    std::string subject;
    std::string name;
    std::string property;
    std::string value;

    friend auto operator<=>(status_row const&, status_row const&) = default;
};

// A row of SHOW METRICS; labels are "name=value" pairs separated by commas.
struct metric_row
{
    std::string name;
    std::string labels;
    std::string value;

    friend auto operator<=>(metric_row const&, metric_row const&) = default;
};

// Return the table with the columns that docs/command-line.md lists.
[[nodiscard]] result_table encode(change_answer const& answer);
[[nodiscard]] result_table encode(std::vector<rules_row> const& rows);
[[nodiscard]] result_table encode(std::vector<history_row> const& rows);
[[nodiscard]] result_table encode(std::vector<status_row> const& rows);
[[nodiscard]] result_table encode(std::vector<metric_row> const& rows);

// Returns the answer in a table, or nothing when the table has other columns,
// cells that cannot be read or no row.
[[nodiscard]] std::optional<change_answer>
decode_change(result_table const& table);

// Returns the rows of a table, or nothing when it has other columns or cells
// that cannot be read. Defined for the row types above.
template <class Row>
[[nodiscard]] std::optional<std::vector<Row>>
decode_rows(result_table const& table);

// Returns the outcome in words, for instance "accepted".
[[nodiscard]] std::string_view to_string(change_outcome outcome) noexcept;

} // namespace basilreach::admin

#endif
