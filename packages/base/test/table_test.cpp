#include <basilreach/base/table.hpp>

#include <doctest/doctest.h>

#include <string>

TEST_CASE("the identifier of an erased row does not find its successor")
{
    basilreach::table<std::string> rows;
    auto const first = rows.insert("first");
    CHECK(rows.erase(first));
    auto const second = rows.insert("second");
    CHECK(second.index == first.index);
    CHECK(rows.find(first) == nullptr);
    CHECK_FALSE(rows.erase(first));
    CHECK(*rows.find(second) == "second");
    CHECK(rows.size() == 1);
}
