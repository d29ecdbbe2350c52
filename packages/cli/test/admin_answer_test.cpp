#include <basilreach/cli/admin_answer.hpp>

#include <doctest/doctest.h>

namespace basilreach::admin
{

TEST_CASE("decoding an encoded change answer gives the same answer")
{
    for (auto const& it : std::initializer_list<change_answer>{
             {change_outcome::accepted, 5, "id", "", {}},
             {change_outcome::repeated, 5, "id", "", {}},
             {change_outcome::conflict, 6, "other", "", {}},
             {change_outcome::superseded, 9, "", "", {}},
             {change_outcome::refused, 0, "", "unknown server", {}},
             {change_outcome::refused,
              0,
              "id",
              "",
              {{1, 2, rules::rule_reason::bad_name, "x y"},
               {3, 4, rules::rule_reason::missing_requester, ""}}}})
        CHECK(decode_change(encode(it)) == it);
}

TEST_CASE("decoding encoded rows gives the same rows")
{
    std::vector<status_row> const rows{{"server", "s", "verdict", "up"},
                                       {"group", "g", "term", "3"}};
    CHECK(decode_rows<status_row>(encode(rows)) == rows);
    std::vector<history_row> const none;
    CHECK(decode_rows<history_row>(encode(none)) == none);
}

TEST_CASE("a table with other columns, no rows or malformed cells is refused")
{
    auto const table = encode(change_answer{});
    CHECK_FALSE(decode_rows<rules_row>(table).has_value());
    CHECK_FALSE(decode_change({table.columns, {}}).has_value());
    CHECK_FALSE(decode_change({table.columns, {{"accepted"}}}).has_value());
    for (std::size_t const n : {0, 1})
    {
        auto malformed = table;
        malformed.rows[0][n] = "accepte";
        CHECK_FALSE(decode_change(malformed).has_value());
    }
}

} // namespace basilreach::admin
