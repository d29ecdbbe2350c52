#include <basilreach/cli/admin_answer.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

namespace basilreach::admin
{

namespace
{

constexpr auto outcome_names = std::to_array<std::string_view>(
    {"accepted", "repeated", "conflict", "superseded", "refused"});

// A row of an encoded change_answer. It repeats the fields of the answer and
// has one of the errors; an answer without errors is one row with line zero.
struct change_row
{
    change_outcome outcome = change_outcome::refused;
    std::uint64_t version = 0;
    std::string change_id;
    std::string reason;
    std::uint64_t line = 0;
    std::uint64_t position = 0;
    std::string word;
};

template <class Row>
struct column
{
    using member = std::variant<std::string Row::*,
                                std::uint64_t Row::*,
                                change_outcome Row::*>;

    std::string_view name;
    member target;
};

// The columns of each row type.
template <class Row>
struct columns_of;

template <>
struct columns_of<change_row>
{
    using self = change_row;
    static constexpr auto table = std::to_array<column<self>>({
        {"outcome", &self::outcome},
        {"version", &self::version},
        {"change_id", &self::change_id},
        {"reason", &self::reason},
        {"line", &self::line},
        {"position", &self::position},
        {"word", &self::word},
    });
};

template <>
struct columns_of<rules_row>
{
    using self = rules_row;
    static constexpr auto table = std::to_array<column<self>>({
        {"version", &self::version},
        {"change_id", &self::change_id},
        {"text", &self::text},
    });
};

template <>
struct columns_of<history_row>
{
    using self = history_row;
    static constexpr auto table = std::to_array<column<self>>({
        {"version", &self::version},
        {"change_id", &self::change_id},
        {"author", &self::author},
        {"answer", &self::answer},
    });
};

template <>
struct columns_of<status_row>
{
    using self = status_row;
    static constexpr auto table = std::to_array<column<self>>({
        {"subject", &self::subject},
        {"name", &self::name},
        {"property", &self::property},
        {"value", &self::value},
    });
};

template <>
struct columns_of<metric_row>
{
    using self = metric_row;
    static constexpr auto table = std::to_array<column<self>>({
        {"name", &self::name},
        {"labels", &self::labels},
        {"value", &self::value},
    });
};

std::string encode_cell(std::string const& value)
{
    return value;
}

std::string encode_cell(std::uint64_t value)
{
    return std::to_string(value);
}

std::string encode_cell(change_outcome value)
{
    return std::string{to_string(value)};
}

bool decode_cell(std::string const& cell, std::string& out)
{
    out = cell;
    return true;
}

bool decode_cell(std::string const& cell, std::uint64_t& out)
{
    auto const* const last = cell.data() + cell.size();
    auto const [end, ec] = std::from_chars(cell.data(), last, out);
    return ec == std::errc{} && end == last;
}

bool decode_cell(std::string const& cell, change_outcome& out)
{
    auto const* const it =
        std::find(outcome_names.begin(), outcome_names.end(), cell);
    if (it == outcome_names.end())
        return false;
    out = static_cast<change_outcome>(it - outcome_names.begin());
    return true;
}

template <class Row>
result_table encode_rows(std::vector<Row> const& rows)
{
    result_table table;
    for (auto const& it : columns_of<Row>::table)
        table.columns.emplace_back(it.name);
    for (auto const& row : rows)
    {
        auto& cells = table.rows.emplace_back();
        for (auto const& it : columns_of<Row>::table)
            cells.push_back(std::visit([&](auto target)
                                       { return encode_cell(row.*target); },
                                       it.target));
    }
    return table;
}

} // namespace

template <class Row>
std::optional<std::vector<Row>> decode_rows(result_table const& table)
{
    constexpr auto& columns = columns_of<Row>::table;
    if (!std::equal(columns.begin(), columns.end(), table.columns.begin(),
                    table.columns.end(),
                    [](auto const& left, auto const& right)
                    { return left.name == right; }))
        return std::nullopt;
    std::vector<Row> rows;
    for (auto const& cells : table.rows)
    {
        if (cells.size() != columns.size())
            return std::nullopt;
        auto& row = rows.emplace_back();
        for (std::size_t n = 0; n != columns.size(); ++n)
            if (!std::visit([&](auto target)
                            { return decode_cell(cells[n], row.*target); },
                            columns[n].target))
                return std::nullopt;
    }
    return rows;
}

template std::optional<std::vector<rules_row>>
decode_rows<rules_row>(result_table const&);
template std::optional<std::vector<history_row>>
decode_rows<history_row>(result_table const&);
template std::optional<std::vector<status_row>>
decode_rows<status_row>(result_table const&);
template std::optional<std::vector<metric_row>>
decode_rows<metric_row>(result_table const&);

result_table encode(change_answer const& answer)
{
    change_row const head{answer.outcome,
                          answer.version,
                          answer.change_id,
                          answer.reason,
                          0,
                          0,
                          {}};
    std::vector<change_row> rows;
    for (auto const& it : answer.errors)
    {
        auto& row = rows.emplace_back(head);
        row.reason = rules::to_string(it.reason);
        row.line = it.line;
        row.position = it.column;
        row.word = it.word;
    }
    if (rows.empty())
        rows.push_back(head);
    return encode_rows(rows);
}

result_table encode(std::vector<rules_row> const& rows)
{
    return encode_rows(rows);
}

result_table encode(std::vector<history_row> const& rows)
{
    return encode_rows(rows);
}

result_table encode(std::vector<status_row> const& rows)
{
    return encode_rows(rows);
}

result_table encode(std::vector<metric_row> const& rows)
{
    return encode_rows(rows);
}

std::optional<change_answer> decode_change(result_table const& table)
{
    auto const rows = decode_rows<change_row>(table);
    if (!rows || rows->empty())
        return std::nullopt;
    auto const& head = rows->front();
    change_answer answer{head.outcome, head.version, head.change_id, {}, {}};
    if (head.line == 0)
    {
        answer.reason = head.reason;
        return answer;
    }
    for (auto const& it : *rows)
    {
        auto const reason = rules::parse_rule_reason(it.reason);
        if (!reason)
            return std::nullopt;
        answer.errors.push_back({it.line, it.position, *reason, it.word});
    }
    return answer;
}

std::string_view to_string(change_outcome outcome) noexcept
{
    return outcome_names[static_cast<std::size_t>(outcome)];
}

} // namespace basilreach::admin
