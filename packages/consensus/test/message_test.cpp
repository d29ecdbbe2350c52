#include "cluster.hpp"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace basilreach::consensus::test
{

namespace
{

// A host of the cluster a, b, c that has been running for an hour with three
// entries of term 1, none known to be committed, and hears nobody.
member lonely_member(instant start)
{
    durable_state state;
    state.hard = {1, {}};
    state.base.members.voters = {host_name{"a"}, host_name{"b"},
                                 host_name{"c"}};
    for (std::uint64_t n = 1; n <= 3; ++n)
        state.entries.push_back({n, 1, entry_kind::command, "x"});
    member_settings settings;
    settings.self = host_name{"a"};
    return {settings, state, start};
}

constexpr instant start{1h};
constexpr instant later = start + 299ms;
constexpr instant after = start + 300ms;

peer_message from_b(std::uint64_t term, peer_message_body body)
{
    return {host_name{"b"}, host_name{"a"}, term, std::move(body)};
}

bool grants(step_result const& result)
{
    return result.send.size() == 1 &&
           result.send[0].body == peer_message_body{vote_reply{true}};
}

} // namespace

// Guards the leader's time: a host that restarted, or heard a leader, gives no
// vote within one election timeout, and never to a host with a shorter log.
TEST_CASE("a vote is given only after a timeout and to a log as long")
{
    auto const request = from_b(2, vote_request{3, 1});
    CHECK(grants(lonely_member(start).receive(request, after)));
    CHECK_FALSE(grants(lonely_member(start).receive(request, later)));
    for (auto const& shorter : {vote_request{2, 1}, vote_request{9, 0}})
        CHECK_FALSE(
            grants(lonely_member(start).receive(from_b(2, shorter), after)));
    auto it = lonely_member(start);
    (void)it.receive(from_b(1, append_request{3, 1, 0, 1, {}}), after);
    CHECK(it.receive(request, after + 299ms) == step_result{});
    CHECK(it.state().term == 1);
    CHECK(grants(it.receive(request, after + 300ms)));
    auto const second =
        peer_message{host_name{"c"}, host_name{"a"}, 2, vote_request{3, 1}};
    CHECK_FALSE(grants(it.receive(second, after + 1s)));
}

// Guards against the loss of an entry that an earlier leader replicated: it is
// committed only with an entry of the present term.
TEST_CASE("an entry of an earlier term is committed only with a later one")
{
    auto it = lonely_member(start);
    (void)it.tick(start + 600ms);
    (void)it.receive(from_b(1, pre_vote_reply{2, true}), start + 601ms);
    (void)it.receive(from_b(2, vote_reply{true}), start + 602ms);
    REQUIRE(it.state().role == member_role::leader);
    (void)it.receive(from_b(2, append_reply{true, 3, 1}), start + 603ms);
    CHECK(it.commit_index() == 0);
    auto const done =
        it.receive(from_b(2, append_reply{true, 4, 1}), start + 604ms);
    CHECK(it.commit_index() == 4);
    CHECK(done.apply.size() == 4);
}

// Guards entries that were acknowledged: a late snapshot must not drop them.
TEST_CASE("a snapshot of entries that are present replaces nothing")
{
    auto it = lonely_member(start);
    auto const result = it.receive(
        from_b(1, snapshot_chunk{2, 1, it.members(), 1, 0, "s", 1}), later);
    CHECK_FALSE(result.install.has_value());
    CHECK(it.last_index() == 3);
    CHECK(it.commit_index() == 2);
}

// Guards against a host that misses only the leader and asks for votes.
TEST_CASE("a host that does not hear the leader does not end its term")
{
    cluster it{21};
    REQUIRE(it.settles());
    auto const leader = it.leader();
    auto const before = it.at(leader).state();
    for (auto const& [name, host] : it.hosts)
        if (name != leader && it.cuts.empty())
            it.cuts.emplace(leader, name);
    it.run_for(30s);
    it.cuts.clear();
    it.run_for(5s);
    CHECK(it.at(leader).state() == before);
}

} // namespace basilreach::consensus::test
