#include <basilreach/control/contact_monitor.hpp>

#include <doctest/doctest.h>

#include <set>

using namespace basilreach;
using namespace basilreach::control;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{};
constexpr std::size_t known_hosts = 3;

} // namespace

TEST_CASE("a host that does not answer is given up after the timeout")
{
    contact_monitor it({}, 1, start);
    it.record_grant(start);
    it.record_message(start + 10ms);
    it.record_message(start + 100ms);
    CHECK(it.deadline() >= start + 260ms);
    CHECK(it.deadline() < start + 330ms);
    it.record_answer(start + 100ms);
    CHECK(it.deadline() >= start + 900ms);
}

// Guards against an entry host that gives up the leader while a large update is
// arriving over its slow link, and then starts again from nothing.
TEST_CASE("a host whose message is arriving is not given up")
{
    contact_monitor it({}, 1, start);
    it.record_message(start);
    it.record_progress(start + 2s);
    CHECK(it.deadline() >= start + 2250ms);
    // Progress that is older than the message does not count.
    it.record_answer(start + 2s);
    it.record_message(start + 5s);
    it.record_grant(start + 5s);
    it.record_message(start + 5s);
    CHECK(it.deadline() >= start + 5250ms);
}

// Guards against daemons that turn from one control host to the next so often
// that a slow leader answers none of them in time.
TEST_CASE("the timeout grows once every known host has been tried")
{
    contact_monitor it({}, 1, start);
    auto const timeout_after_switch = [&it]
    {
        it.record_switch(start, known_hosts);
        it.record_message(start);
        return it.deadline() - start;
    };
    CHECK(timeout_after_switch() < 330ms);
    CHECK(timeout_after_switch() < 330ms);
    CHECK(timeout_after_switch() >= 500ms);
    for (int n = 0; n != 20; ++n)
        CHECK(timeout_after_switch() <= 1250ms);
    CHECK(it.deadline() - start >= 900ms);
    it.record_answer(start);
    it.record_message(start);
    CHECK(it.deadline() - start < 330ms);
}

// Guards against daemons that leave a leader whose answers take long because of
// its load, and give it more work by coming back.
TEST_CASE("the timeout follows the time that the leader needs for an answer")
{
    contact_monitor it({}, 1, start);
    auto now = start;
    auto const timeout_after_answer = [&it, &now](duration time)
    {
        it.record_message(now);
        now += time;
        it.record_answer(now);
        it.record_message(now);
        auto const timeout = it.deadline() - now;
        it.record_answer(now);
        return timeout;
    };
    CHECK(timeout_after_answer(100ms) < 330ms);
    CHECK(timeout_after_answer(200ms) >= 400ms);
    CHECK(timeout_after_answer(10s) <= 1250ms);
    duration timeout{};
    for (int n = 0; n != 30; ++n)
        timeout = timeout_after_answer(10ms);
    CHECK(timeout < 330ms);
}

// Guards against daemons that give up the same slow leader again and again.
TEST_CASE("a leader that was given up and still leads gets more time")
{
    contact_monitor it({}, 1, start);
    auto const timeout_after_return = [&it](bool is_given_up_host)
    {
        it.record_switch(start, 1000);
        it.record_redirect(start, is_given_up_host);
        it.record_message(start);
        return it.deadline() - start;
    };
    CHECK(timeout_after_return(false) < 330ms);
    CHECK(timeout_after_return(true) >= 500ms);
    CHECK(timeout_after_return(true) >= 900ms);
    CHECK(timeout_after_return(true) <= 1250ms);
}

// Guards against daemons that lose the leader at one moment and all come back
// at one moment.
TEST_CASE("daemons with different seeds have different deadlines")
{
    std::set<instant> deadlines;
    constexpr std::uint64_t daemons = 80;
    for (std::uint64_t n = 0; n != daemons; ++n)
    {
        contact_monitor it({}, n, start);
        it.record_message(start);
        deadlines.insert(it.deadline());
    }
    CHECK(deadlines.size() > daemons / 4);
}

// Guards against requests for tokens and connections to a control host that was
// only named as the leader.
TEST_CASE("a daemon is in contact once the presumed leader has answered")
{
    contact_monitor it({}, 1, start);
    CHECK(!it.is_in_contact());
    it.record_grant(start);
    CHECK(it.is_in_contact());
    it.record_redirect(start + 1ms);
    CHECK(!it.is_in_contact());
    it.record_grant(start + 2ms);
    CHECK(it.is_in_contact());
    it.record_switch(start + 3ms, known_hosts);
    CHECK(!it.is_in_contact());
}

// Guards against a daemon that takes a leader that is slow for one that is out
// of reach, and against the reverse once it is partitioned.
TEST_CASE("a leader is reachable while links to it open")
{
    contact_monitor it({}, 1, start);
    it.record_link(true, start);
    CHECK(it.reachable_until() <= start);
    it.record_redirect(start);
    it.record_link(false, start);
    CHECK(it.reachable_until() <= start);
    // Named by another host, but without an answer yet.
    it.record_link(true, start);
    CHECK(it.reachable_until() == start + 1s);
    // The hosts that are tried next may be followers, or know no leader.
    it.record_switch(start + 1s, known_hosts);
    it.record_link(true, start + 1s);
    it.record_redirect(start + 1s);
    it.record_no_leader();
    it.record_link(true, start + 1s);
    CHECK(it.reachable_until() == start + 1s);
    it.record_grant(start + 2s);
    it.record_link(true, start + 2s);
    CHECK(it.reachable_until() == start + 3s);
    // The daemon is cut off: its link counts as open until it gives it up, and
    // the next ones do not open. The lease of the last renewal is still valid.
    it.record_message(start + 2s);
    CHECK(it.deadline() + 1s < start + 2s + 3s - 500ms);
}

// Guards against a host that has been suspended, or has had no processor time,
// and takes itself for partitioned before it has tried to reach the leader.
TEST_CASE("a leader is not out of reach because the daemon was suspended")
{
    contact_monitor it({}, 1, start);
    it.record_grant(start);
    it.record_link(true, start);
    auto const resumed = start + 10s;
    it.record_switch(resumed, known_hosts);
    it.record_link(false, resumed);
    CHECK(it.reachable_until() == resumed + 1s);
    // The leader is indeed out of reach.
    it.record_link(false, resumed + 500ms);
    it.record_link(false, resumed + 1s);
    CHECK(it.reachable_until() == resumed + 1s);
    it.record_link(false, resumed + 10s);
    CHECK(it.reachable_until() == resumed + 1s);
}

// Guards against daemons that go from one control host to the next while none
// leads, and make each of them accept new connections all the time.
TEST_CASE("a host that knows no leader is not given up at once")
{
    contact_monitor it({}, 1, start);
    it.record_grant(start);
    it.record_message(start);
    it.record_no_leader();
    CHECK(!it.is_in_contact());
    CHECK(it.deadline() >= start + 900ms);
    it.record_message(start + 100ms);
    CHECK(it.deadline() < start + 430ms);
}
