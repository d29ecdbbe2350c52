#include "cluster.hpp"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace basilreach::consensus::test
{

namespace
{

// Host a of the cluster a, b, c, started at `start` with three entries of term
// 1, none known to be committed. It has no contact with the other hosts.
member isolated_member(instant start)
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
constexpr instant before_timeout = start + 299ms;
constexpr instant after_timeout = start + 300ms;

peer_message from_b(std::uint64_t term, peer_message_body body)
{
    return {host_name{"b"}, host_name{"a"}, term, std::move(body)};
}

bool grants_vote(step_result const& result)
{
    return result.send.size() == 1 &&
           result.send[0].body == peer_message_body{vote_reply{true}};
}

} // namespace

// Guards against a restarted host that takes its log for current: what its
// leader has committed may be missing, or be known to the leader only once an
// entry of its own term is committed.
TEST_CASE("a host is caught up once it has applied its leader's commit index")
{
    auto it = isolated_member(start);
    CHECK_FALSE(it.is_caught_up());
    // The leader has committed nothing in its term yet.
    (void)it.receive(from_b(2, append_request{3, 1, 3, 1, {}}), after_timeout);
    CHECK(it.commit_index() == 3);
    CHECK_FALSE(it.is_caught_up());
    // Entry 5 is committed too, but has not arrived.
    log_entry const first{4, 2, entry_kind::no_op, {}};
    (void)it.receive(from_b(2, append_request{3, 1, 5, 2, {first}}),
                     after_timeout);
    CHECK_FALSE(it.is_caught_up());
    log_entry const second{5, 2, entry_kind::command, "y"};
    (void)it.receive(from_b(2, append_request{4, 2, 5, 3, {second}}),
                     after_timeout);
    CHECK(it.is_caught_up());
    // Without contact the host asks for votes, and knows no leader.
    (void)it.tick(it.next_deadline());
    CHECK_FALSE(it.is_caught_up());
}

// Guards against a leader that sends no heartbeat while it applies a long log:
// after a loss of power the first leader stepped down because of that.
TEST_CASE("a step applies a bounded part of what is committed")
{
    constexpr std::size_t payload_bytes = 20'000;
    constexpr std::uint64_t entries = 100;
    auto it = isolated_member(start);
    append_request request{3, 1, 3 + entries, 1, {}};
    for (std::uint64_t n = 1; n <= entries; ++n)
        request.entries.push_back(
            {3 + n, 2, entry_kind::command, std::string(payload_bytes, 'x')});
    auto step = it.receive(from_b(2, request), after_timeout);
    std::uint64_t applied = 0;
    for (std::size_t steps = 0; applied != 3 + entries && steps != entries;
         ++steps)
    {
        std::size_t bytes = 0;
        for (auto const& entry : step.apply)
        {
            CHECK(entry.index == ++applied);
            bytes += entry.payload.size();
        }
        CHECK(bytes <= member_settings{}.max_apply_bytes + payload_bytes);
        bool const is_done = applied == 3 + entries;
        CHECK((it.next_deadline() <= after_timeout) == !is_done);
        if (!is_done)
            step = it.tick(after_timeout);
    }
    CHECK(applied == 3 + entries);
}

// Guards leader_until(): a host that restarted, or received a message of a
// leader, grants no vote within the minimum election timeout. It never grants
// one to a host whose log is less up to date.
TEST_CASE("a vote is granted only after a timeout and to an up-to-date log")
{
    auto const request = from_b(2, vote_request{3, 1});
    CHECK(grants_vote(isolated_member(start).receive(request, after_timeout)));
    CHECK_FALSE(
        grants_vote(isolated_member(start).receive(request, before_timeout)));
    for (auto const& outdated : {vote_request{2, 1}, vote_request{9, 0}})
        CHECK_FALSE(grants_vote(isolated_member(start).receive(
            from_b(2, outdated), after_timeout)));
    auto it = isolated_member(start);
    (void)it.receive(from_b(1, append_request{3, 1, 0, 1, {}}), after_timeout);
    CHECK(it.receive(request, after_timeout + 299ms) == step_result{});
    CHECK(it.state().term == 1);
    CHECK(grants_vote(it.receive(request, after_timeout + 300ms)));
    auto const second =
        peer_message{host_name{"c"}, host_name{"a"}, 2, vote_request{3, 1}};
    CHECK_FALSE(grants_vote(it.receive(second, after_timeout + 1s)));
}

// Guards against the loss of an entry that an earlier leader replicated: it is
// committed only with an entry of the current term.
TEST_CASE("an entry of an earlier term is committed only with a current one")
{
    auto it = isolated_member(start);
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

// Guards acknowledged entries: a late snapshot must not remove them.
TEST_CASE("a snapshot of entries that the log has is not installed")
{
    auto it = isolated_member(start);
    auto const result =
        it.receive(from_b(1, snapshot_chunk{2, 1, it.members(), 1, 0, "s", 1}),
                   before_timeout);
    CHECK_FALSE(result.install.has_value());
    CHECK(it.last_index() == 3);
    CHECK(it.commit_index() == 2);
}

// Guards against a host that has lost contact with the leader alone, starts an
// election and ends the leader's term.
TEST_CASE("a host without contact with the leader does not end its term")
{
    cluster it{21};
    REQUIRE(it.converges());
    auto const leader = it.leader();
    auto const before = it.at(leader).state();
    for (auto const& [name, host] : it.hosts)
        if (name != leader && it.blocked_links.empty())
            it.blocked_links.emplace(leader, name);
    it.run_for(30s);
    it.blocked_links.clear();
    it.run_for(5s);
    CHECK(it.at(leader).state() == before);
}

} // namespace basilreach::consensus::test
