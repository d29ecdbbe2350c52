#include <doctest/doctest.h>

#include "simulation.hpp"

namespace basilreach::control::test
{

namespace
{

command
rules_change(std::uint64_t base, std::string const& id, std::string text)
{
    return {change_id{id}, "test", apply_rules{base, std::move(text)}};
}

} // namespace

// Guards against a restored state that differs from the original, at once or
// after further commands, or that has lost the history.
TEST_CASE("a restored state behaves like the original")
{
    control_state state(parse_rules);
    state.apply(1, rules_change(0, "c1", "key 7 key 8"));
    state.apply(2, {{}, "test", withdraw_key{digest_of(7)}});
    state.apply(3, {change_id{"a1"}, "test",
                    announce_server{server_name{"s1"}, group_name{"g"},
                                    data_centre_name{"a"}, "127.0.0.1:1", 1}});
    auto restored = control_state::restore(state.parts(), parse_rules);
    REQUIRE(restored);
    auto& copy = restored.value();
    CHECK(copy == state);
    CHECK(copy.digest() == state.digest());
    CHECK(copy.rules()->keys.size() == 1);
    CHECK(copy.servers_of(group_name{"g"}).size() == 1);
    for (auto const& it :
         {rules_change(0, "c1", "key 7 key 8"), rules_change(0, "c2", ""),
          rules_change(1, "c3", "key 9")})
    {
        auto const index = state.revision() + 1;
        CHECK(copy.apply(index, it) == state.apply(index, it));
    }
    CHECK(copy == state);
    CHECK(copy.digest() == state.digest());

    auto parts = state.parts();
    parts.rules_text = "bad";
    CHECK_FALSE(control_state::restore(parts, parse_rules));
}

// Guards against a log entry that is applied twice and a revision that
// decreases.
TEST_CASE("an index at or below the revision changes nothing")
{
    control_state state(parse_rules);
    state.apply(5, rules_change(0, "c1", "key 7"));
    auto const before = state;
    for (std::uint64_t index : {0, 4, 5})
        CHECK(state.apply(index, rules_change(1, "c2", "")) ==
              command_answer{refused{refusal_reason::index_applied, {}}});
    CHECK(state == before);
    // A refused command increases the revision too, on every replica.
    state.apply(9, rules_change(7, "c3", ""));
    CHECK(state.revision() == 9);
}

// Guards against answers without the data that an operator needs to react.
TEST_CASE("answers contain the winner, the sequence or the reason")
{
    control_state state(parse_rules);
    std::uint64_t index = 0;
    auto const apply = [&](command const& it)
    {
        return state.apply(++index, it);
    };
    CHECK(apply(rules_change(0, "", "")) ==
          command_answer{refused{refusal_reason::id_missing, {}}});
    CHECK(apply(rules_change(0, "c1", "key 1")) ==
          command_answer{accepted{2, 1}});
    CHECK(apply(rules_change(1, "c2", "key 2")) ==
          command_answer{accepted{3, 2}});
    CHECK(apply(rules_change(0, "c3", "key 3")) ==
          command_answer{conflict{1, change_id{"c1"}}});
    CHECK(apply(rules_change(0, "c1", "key 1")) ==
          command_answer{repeated{accepted{2, 1}}});
    CHECK(apply(rules_change(0, "c3", "key 3")) ==
          command_answer{repeated{conflict{1, change_id{"c1"}}}});
    CHECK(apply(rules_change(2, "c4", "bad")) ==
          command_answer{refused{refusal_reason::invalid_rules,
                                 {"1:1 unknown rule 'bad'"}}});
    apply({{}, "test", withdraw_key{digest_of(255)}});
    CHECK(apply(rules_change(2, "c5", "key 255")) ==
          command_answer{
              refused{refusal_reason::withdrawn_key, {std::string(64, 'f')}}});
    announce_server const server{server_name{"s1"}, group_name{"g"},
                                 data_centre_name{"a"}, "127.0.0.1:1", 4};
    apply({{}, "test", server});
    CHECK(apply({{}, "test", server}) == command_answer{superseded{4}});
    auto moved = server;
    moved.group = group_name{"h"};
    moved.sequence = 5;
    CHECK(apply({{}, "test", moved}) ==
          command_answer{refused{refusal_reason::server_in_other_group, {}}});
    CHECK(apply({{}, "test", report_verdict{server.server, 1, {}}}) ==
          command_answer{refused{refusal_reason::invalid_verdict, {}}});
    CHECK(apply({{}, "test", forget_daemon{daemon_name{"d1"}}}) ==
          command_answer{refused{refusal_reason::unknown_daemon, {}}});
}

// Guards against a history that grows without bound, and against a change that
// is applied again after its history entry was dropped.
TEST_CASE("a change whose history entry was dropped is not applied again")
{
    control_state state(parse_rules);
    std::uint64_t index = 0;
    state.apply(++index, rules_change(0, "c1", "key 1"));
    state.apply(++index, rules_change(1, "c2", "key 2"));
    for (std::size_t n = 0; n != history_limit; ++n)
        state.apply(++index, {change_id{"w" + std::to_string(n)}, "test",
                              withdraw_key{digest_of(9)}});
    CHECK(state.parts().history.size() == history_limit);
    CHECK(state.apply(++index, rules_change(0, "c1", "key 1")) ==
          command_answer{conflict{2, change_id{"c2"}}});
    // A restored state finds the same entries after older ones were dropped.
    auto restored = control_state::restore(state.parts(), parse_rules);
    REQUIRE(restored);
    for (char const* id : {"w0", "w9", "w19999"})
    {
        command const it{change_id{id}, "test", withdraw_key{digest_of(9)}};
        ++index;
        CHECK(restored.value().apply(index, it) == state.apply(index, it));
    }
    CHECK(restored.value().digest() == state.digest());
}

} // namespace basilreach::control::test
