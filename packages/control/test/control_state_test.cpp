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

// A control host's state and a daemon's copy of it.
struct member_fixture
{
    control_state state{parse_rules};
    control_state copy{parse_rules};

    void apply(command_body const& it)
    {
        state.apply(state.revision() + 1, {{}, "test", it});
    }

    // Brings the copy up to date and returns what was sent for it.
    state_update update()
    {
        auto it = state.changes_after(copy.revision(), 0, {});
        REQUIRE(copy.merge(it));
        return it;
    }

    std::string address_in_copy(char const* daemon)
    {
        auto const* const entry = copy.find(daemon_name{daemon});
        return entry == nullptr ? "" : entry->address;
    }
};

register_daemon registration(char const* daemon, std::string address)
{
    return {daemon_name{daemon}, data_centre_name{"a"}, std::move(address)};
}

// Guards against a daemon that sends statements to one that is gone or has
// moved, and against updates that list all daemons each time.
TEST_CASE("changed daemons with an address reach a copy, and no others")
{
    member_fixture f;
    f.apply(registration("d1", "1"));
    f.apply(registration("d2", "2"));
    f.apply(registration("d3", ""));
    CHECK(f.update().daemons.size() == 2);
    CHECK(f.address_in_copy("d1") == "1");
    CHECK(f.copy.find(daemon_name{"d3"}) == nullptr);
    f.apply(registration("d1", "7"));
    f.apply(registration("d4", ""));
    CHECK(f.update().daemons.size() == 1);
    CHECK(f.address_in_copy("d1") == "7");
    f.apply(registration("d1", ""));
    CHECK(f.update().daemons.size() == 1);
    CHECK(f.copy.find(daemon_name{"d1"}) == nullptr);
    f.apply(remove_daemon{daemon_name{"d2"}});
    f.update();
    CHECK(f.copy.find(daemon_name{"d2"}) == nullptr);
}

// Guards against a copy that keeps a removed daemon for ever, as the state does
// not know it any more.
TEST_CASE("a copy forgets daemons that were forgotten meanwhile")
{
    member_fixture f;
    f.apply(registration("d1", "1"));
    f.apply(registration("d2", "2"));
    f.update();
    f.apply(remove_daemon{daemon_name{"d2"}});
    f.apply(forget_daemon{daemon_name{"d2"}});
    SUBCASE("by a state that has seen the removal")
    {
    }
    SUBCASE("by a state that was restored since")
    {
        f.state = control_state::restore(f.state.parts(), parse_rules).value();
    }
    f.update();
    CHECK(f.address_in_copy("d1") == "1");
    CHECK(f.copy.find(daemon_name{"d2"}) == nullptr);
}

} // namespace basilreach::control::test
