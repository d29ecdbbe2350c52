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

// The answer to a command as the PostgreSQL protocol carries it. All columns
// have the type text, and each row has one cell for each column.
struct result_table
{
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;

    friend bool operator==(result_table const&, result_table const&) = default;
};

enum class change_outcome : std::uint8_t
{
    accepted,
    // The same change was accepted earlier; the fields of the answer are those
    // of the first answer.
    repeated,
    // Another change of the rules with the same base version was accepted
    // first. The answer has the version and content id of that change, or of
    // the rules in force when the history no longer has it.
    conflict,
    // The control state already has an equal or higher sequence number.
    superseded,
    refused
};

// The answer to every command but SHOW.
struct change_answer
{
    change_outcome outcome = change_outcome::refused;
    // APPLY RULES: rules version of this change; on a conflict, of the change
    // that was accepted first. Other commands: revision of the control state;
    // when superseded, the stored sequence number. Zero if there is none.
    std::uint64_t version = 0;
    // APPLY RULES: content id of the change with that version.
    std::string change_id;
    // Why the command was refused. Empty if errors lists the reasons.
    std::string reason;
    // Errors in a refused rules text.
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

// Encode an answer or rows as a table with the columns that
// docs/command-line.md lists.
[[nodiscard]] result_table encode(change_answer const& answer);
[[nodiscard]] result_table encode(std::vector<rules_row> const& rows);
[[nodiscard]] result_table encode(std::vector<history_row> const& rows);
[[nodiscard]] result_table encode(std::vector<status_row> const& rows);
[[nodiscard]] result_table encode(std::vector<metric_row> const& rows);

// Decodes an answer. Returns nothing if the table has other columns, a cell
// that cannot be parsed, or no rows.
[[nodiscard]] std::optional<change_answer>
decode_change(result_table const& table);

// Decodes the rows of a table. Returns nothing if the table has other columns
// or a cell that cannot be parsed. Defined for the row types above.
template <class Row>
[[nodiscard]] std::optional<std::vector<Row>>
decode_rows(result_table const& table);

// Returns the name of the outcome, for instance "accepted".
[[nodiscard]] std::string_view to_string(change_outcome outcome) noexcept;

} // namespace basilreach::admin

#endif
