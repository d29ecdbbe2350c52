#include <basilreach/pgwire/startup_options.hpp>

#include <doctest/doctest.h>

namespace basilreach::pgwire
{

TEST_CASE("settings are found in every form")
{
    auto const seen = parse_startup_options(
        R"(-c a.b=1 -cc=x\ y  --d-e=2 -B 4 -c broken -c)");
    REQUIRE(seen.size() == 3);
    CHECK(seen[0] == std::pair<std::string, std::string>{"a.b", "1"});
    CHECK(seen[1] == std::pair<std::string, std::string>{"c", "x y"});
    CHECK(seen[2] == std::pair<std::string, std::string>{"d_e", "2"});
}

} // namespace basilreach::pgwire
