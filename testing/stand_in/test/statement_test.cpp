#include <basilreach/stand_in/statement.hpp>

#include <doctest/doctest.h>

namespace basilreach::stand_in
{

// Guards against string literals that are split at their quotes or semicolons.
TEST_CASE("statements are recognised by their form")
{
    CHECK(parse_statement("select VALUE from item where key='a''; b' ;") ==
          statement{statement_kind::select_value, {"a'; b"}});
    CHECK(parse_statement("INSERT INTO item (key, value) VALUES ($1,$2)") ==
          statement{statement_kind::insert_item,
                    {std::size_t{0}, std::size_t{1}}});
    CHECK_FALSE(parse_statement("SELECT value FROM item WHERE key = a"));
    CHECK_FALSE(parse_statement("SELECT 1"));
    CHECK_FALSE(parse_statement("BEGIN READ ONLY x"));
    CHECK(split_statements("BEGIN; x 'a;b' ;; COMMIT;") ==
          std::vector<std::string>{"BEGIN", " x 'a;b' ", " COMMIT"});
}

} // namespace basilreach::stand_in
