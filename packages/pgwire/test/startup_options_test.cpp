#include <basilreach/pgwire/startup_options.hpp>

#include <doctest/doctest.h>

namespace basilreach::pgwire
{

TEST_CASE("settings in each form are parsed and other options are ignored")
{
    auto const settings = parse_startup_options(
        R"(-c a.b=1 -cc=x\ y  --d-e=2 -B 4 -c broken -c)");
    REQUIRE(settings.size() == 3);
    CHECK(settings[0] == std::pair<std::string, std::string>{"a.b", "1"});
    CHECK(settings[1] == std::pair<std::string, std::string>{"c", "x y"});
    CHECK(settings[2] == std::pair<std::string, std::string>{"d_e", "2"});
}

} // namespace basilreach::pgwire
