#include <basilreach/daemon/line_session.hpp>

#include <doctest/doctest.h>

using namespace basilreach::daemon;

TEST_CASE("a connection with the session's variables needs no changes")
{
    connection_variables const connection{{{"tz", "a"}}, {{false, "q"}}};
    CHECK(find_changes(connection, {{"tz", "a"}}, prepared_shape{false, "q"}) ==
          variable_changes{});
}

// Guards against a statement that runs with the variables of another session.
TEST_CASE("a variable that the session has not set causes a reset")
{
    connection_variables const connection{{{"tz", "a"}, {"role", "x"}},
                                          {{false, "q"}}};
    auto const changes =
        find_changes(connection, {{"tz", "a"}}, prepared_shape{false, "q"});
    CHECK(changes.reset);
    CHECK(changes.set ==
          std::vector<std::pair<std::string, std::string>>{{"tz", "a"}});
    CHECK(changes.prepare == prepared_shape{false, "q"});
    CHECK(apply(connection, changes) ==
          connection_variables{{{"tz", "a"}}, {{false, "q"}}});
}

TEST_CASE("a variable with another value is set, and a new shape is prepared")
{
    connection_variables const connection{{{"tz", "a"}}, {{false, "q"}}};
    auto const changes =
        find_changes(connection, {{"tz", "b"}}, prepared_shape{true, "q"});
    CHECK_FALSE(changes.reset);
    CHECK(changes.set.size() == 1);
    CHECK(changes.prepare == prepared_shape{true, "q"});
    CHECK(apply(connection, changes) ==
          connection_variables{{{"tz", "b"}}, {{false, "q"}, {true, "q"}}});
    CHECK(find_changes(connection, {{"tz", "a"}}, std::nullopt) ==
          variable_changes{});
}
