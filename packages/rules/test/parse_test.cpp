#include <basilreach/rules/parse.hpp>

#include <string>

#include <doctest/doctest.h>

#include <basilreach/rules/digest.hpp>

namespace basilreach::rules
{

using namespace std::chrono_literals;

namespace
{

std::string const digest(64, 'a');
std::string const by = " # asked by ann: test\n";

// Returns all errors of a text, one per line.
std::string errors_of(std::string const& text)
{
    auto const parsed = parse_rules(text);
    std::string all;
    if (parsed.has_error())
        for (auto const& it : parsed.error())
            all += to_string(it) + "\n";
    return all;
}

} // namespace

TEST_CASE("every rule kind is parsed with all its fields")
{
    auto const parsed = parse_rules(
        "# head\n\n"
        "workspace sales rate=10 burst=20 priority=2" +
        by + "  key sales sha256=" + digest +
        "\t# asked by  bo b :  why : not \r\n"
        "route r group=g class=read workspaces=sales max_age_ms=30" +
        by + "route w group=g open=sales priority=0 target_ms=40" + by +
        "server_limit g connections=25 slots=3" + by);
    REQUIRE(parsed.has_value());
    auto const& it = parsed.value();
    workspace_name const sales{"sales"};
    CHECK(it.workspaces.at(sales) == workspace_rule{10, 20, priority{2}});
    CHECK(it.keys.at(*parse_digest(digest)) == sales);
    CHECK(it.routes.at(route_name{"r"}) ==
          route_rule{group_name{"g"}, route_class::read, {sales}, {}, 30ms});
    route_rule open{group_name{"g"}, route_class::write, {}, sales, {}};
    open.priority = priority{0};
    open.target = 40ms;
    CHECK(it.routes.at(route_name{"w"}) == open);
    CHECK(it.server_limits.at(group_name{"g"}) == server_limit_rule{25, 3});
    CHECK(it.requesters.at("key " + digest) == "bo b: why : not");
}

TEST_CASE("every error of a file is reported with its line and column")
{
    CHECK(errors_of(
              "workspace a rate=0 burst=1x" + by +
              "workspace a rate=1 burst=1" + by + "workspace b.rate=1" + by +
              "workspace -b rate=1 rate=2" + by + "key a sha256=abc" + by +
              "key a sha256=" + digest + by + "key c sha256=" + digest + by +
              "route basilreach group=g class=both workspaces=a,a,,z" + by +
              "route r max_age_ms=0 open=a workspaces=a" + by +
              "server_limit g connections=99999999999999999999 slots" + by +
              "sever_limit g\n"
              "workspace d rate=1 burst=1 # asked by : x\n"
              "workspace e rate=1\a\n") ==
          "1:18: out of range: 0\n"
          "1:26: bad number: 1x\n"
          "2:11: duplicate rule: a\n"
          "3:1: missing name: workspace\n"
          "4:1: missing field: burst\n"
          "4:11: bad name: -b\n"
          "4:21: duplicate field: rate=2\n"
          "5:14: bad digest: abc\n"
          "7:5: unknown workspace: c\n"
          "7:14: duplicate rule: " +
              digest +
              "\n"
              "8:7: reserved name: basilreach\n"
              "8:32: bad class: both\n"
              "8:50: duplicate field: a\n"
              "8:52: bad name\n"
              "8:53: unknown workspace: z\n"
              "9:1: missing field: group\n"
              "9:20: out of range: 0\n"
              "9:27: conflicting field: a\n"
              "10:1: missing field: slots\n"
              "10:28: out of range: 99999999999999999999\n"
              "10:49: unknown field: slots\n"
              "11:1: unknown rule: sever_limit\n"
              "11:14: missing requester\n"
              "12:28: missing requester: # asked by : x\n"
              "13:19: bad character: \n");
}

TEST_CASE("a reference to a rule that has an error is not a second error")
{
    CHECK(errors_of("workspace a rate=0 burst=1" + by + "key a sha256=" +
                    digest + by) == "1:18: out of range: 0\n");
}

// A class beyond the last one would be ordered in a way that no one asked for.
TEST_CASE("a priority or target beyond its range is refused")
{
    CHECK(errors_of("workspace a rate=1 burst=1 priority=10" + by +
                    "route r group=g priority=-1 target_ms=0" + by) ==
          "1:37: out of range: 10\n"
          "2:26: bad number: -1\n"
          "2:39: out of range: 0\n");
}

TEST_CASE("a text above the maximum size is rejected")
{
    CHECK(errors_of(std::string(max_rules_bytes + 1, '\n')) ==
          "1:1: text too large: 8388609\n");
    CHECK(parse_rules("").has_value());
}

TEST_CASE("every printed reason can be parsed")
{
    for (auto n = 0; n <= static_cast<int>(rule_reason::text_too_large); ++n)
    {
        auto const reason = static_cast<rule_reason>(n);
        CHECK(parse_rule_reason(to_string(reason)) == reason);
    }
    CHECK_FALSE(parse_rule_reason("").has_value());
}

} // namespace basilreach::rules
