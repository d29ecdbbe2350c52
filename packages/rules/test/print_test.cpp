#include <basilreach/rules/print.hpp>

#include <fstream>
#include <iterator>
#include <string>

#include <doctest/doctest.h>

#include <basilreach/rules/parse.hpp>

namespace basilreach::rules
{

namespace
{

std::string const digest(64, 'a');
std::string const canonical =
    "workspace a rate=1 burst=2 # asked by ann: first\n"
    "workspace b rate=3 burst=4 priority=9 # asked by bob: second\n"
    "key a sha256=" +
    digest +
    " # asked by ann: key\n"
    "route r group=g class=read workspaces=a,b max_age_ms=5 # asked by ann: r\n"
    "route s group=g open=b priority=0 target_ms=100 # asked by ann: s\n"
    "server_limit g connections=6 slots=7 # asked by ann: limit\n";

} // namespace

TEST_CASE("parsing and printing leaves canonical text unchanged")
{
    CHECK(print_rules(parse_rules(canonical).value()) == canonical);
}

// The example has as many workspaces, keys and server limits as today's users
// need.
TEST_CASE("the example rules file is valid and has all its rules")
{
    std::ifstream in{BASILREACH_SOURCE_DIR "/examples/rules.txt"};
    std::string const text{std::istreambuf_iterator<char>{in}, {}};
    auto const rules = parse_rules(text);
    REQUIRE(rules.has_value());
    CHECK(rules.value().workspaces.size() == 8);
    CHECK(rules.value().keys.size() == 8);
    CHECK(rules.value().server_limits.size() == 3);
    CHECK(parse_rules(print_rules(rules.value())).value() == rules.value());
}

TEST_CASE("printing normalises order, spaces and default values")
{
    auto const rules =
        parse_rules("route s   open=b group=g class=write#asked by ann:s\n"
                    "workspace b burst=4 rate=3 # asked by bob: second\n");
    CHECK(print_rules(rules.value()) ==
          "workspace b rate=3 burst=4 # asked by bob: second\n"
          "route s group=g open=b # asked by ann: s\n");
}

TEST_CASE("rules without requesters are printed as a valid file")
{
    rule_set rules;
    rules.workspaces[basilreach::workspace_name{"a"}] = {1, 1};
    CHECK(parse_rules(print_rules(rules)).value().workspaces ==
          rules.workspaces);
}

TEST_CASE("a diff has only added, removed and changed rules")
{
    auto const before = parse_rules(canonical).value();
    auto after = before;
    after.workspaces[basilreach::workspace_name{"b"}].rate = 9;
    after.routes.erase(basilreach::route_name{"s"});
    after.workspaces[basilreach::workspace_name{"c"}] = {1, 1};
    std::string text;
    for (auto const& it : diff_rules(before, after))
        text += it.rule + "\n" + to_string(it);
    CHECK(text ==
          "workspace b\n"
          "-workspace b rate=3 burst=4 priority=9 # asked by bob: second\n"
          "+workspace b rate=9 burst=4 priority=9 # asked by bob: "
          "second\n"
          "workspace c\n"
          "+workspace c rate=1 burst=1 # asked by unknown: not "
          "recorded\n"
          "route s\n"
          "-route s group=g open=b priority=0 target_ms=100 # asked by ann: "
          "s\n");
    CHECK(diff_rules(before, before).empty());
}

} // namespace basilreach::rules
