#include <basilreach/traffic/session_token.hpp>

#include <doctest/doctest.h>

using namespace basilreach;
using namespace basilreach::traffic;

TEST_CASE("a session token is parsed as printed and a damaged one is rejected")
{
    session_token token;
    token.positions[group_name("ledger-1")] = {3, 900};
    token.positions[group_name("cases")] = {1, 0};
    auto const text = print_session_token(token);
    CHECK(parse_session_token(text).value() == token);
    CHECK(parse_session_token(print_session_token({})).value() ==
          session_token{});
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        auto bad = text;
        bad[n] = static_cast<char>(bad[n] ^ 1);
        CHECK_FALSE(parse_session_token(bad).has_value());
        CHECK_FALSE(parse_session_token(text.substr(0, n)).has_value());
    }
}
