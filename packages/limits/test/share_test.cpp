#include <basilreach/limits/connection_limiter.hpp>
#include <basilreach/limits/share_allocator.hpp>

#include <doctest/doctest.h>

#include <map>

#include <share_replay.hpp>

using basilreach::daemon_name;
using basilreach::instant;
using basilreach::server_name;
using basilreach::limits::connection_limiter;
using basilreach::limits::limit_check;
using basilreach::limits::share_allocator;
using basilreach::limits::share_allocator_settings;
using basilreach::limits::replay::fault_rule;
using basilreach::limits::replay::random_source;
using basilreach::limits::replay::replay_shares;
using basilreach::limits::replay::share_trace;

namespace
{

instant at_ms(std::uint64_t n)
{
    return instant(std::chrono::milliseconds(n));
}

// Returns a trace with more demand than connections, and with random faults of
// every kind.
share_trace random_trace(std::uint64_t seed)
{
    random_source random(seed);
    share_trace trace;
    auto& load = trace.load;
    load.hosts = static_cast<unsigned>(2 + random.below(8));
    trace.limit = static_cast<std::uint32_t>(1 + random.below(30));
    load.jitter = std::chrono::milliseconds(random.below(3) * 20);
    load.loss = random.below(2) == 0 ? 0 : 0.2;
    load.drift = random.below(2) == 0 ? 0 : 0.004;
    load.length = std::chrono::seconds(20);
    for (unsigned n = 0; n != 4; ++n)
    {
        auto const first = static_cast<unsigned>(random.below(load.hosts));
        auto const last =
            first + static_cast<unsigned>(random.below(load.hosts - first));
        auto const from = random.below(16000);
        load.arrivals.push_back({at_ms(from), at_ms(from + 5000), first, last,
                                 trace.limit * 40.0,
                                 std::chrono::milliseconds(400)});
        auto const start = random.below(18000);
        auto const length = random.below(9000);
        load.faults.push_back({static_cast<fault_rule::kind>(random.below(4)),
                               at_ms(start), at_ms(start + length), first,
                               last});
    }
    return trace;
}

// Times so short that many shares expire during a replay.
share_allocator_settings const short_times{
    .lifetime = std::chrono::seconds(1),
    .lost_host_hold = std::chrono::seconds(1),
    .reclaim_after = std::chrono::milliseconds(100)};

} // namespace

TEST_CASE("random faults never open more connections than the limit")
{
    std::uint64_t served = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        CAPTURE(seed);
        auto const outcome =
            replay_shares(random_trace(seed), seed, short_times);
        CHECK(outcome.over_limit == 0);
        served += outcome.served;
    }
    CHECK(served > 0);
}

// Guards against a share that is renewed at its holder although the allocator
// has given it to another one.
TEST_CASE("shares that are renewed together never exceed the limit")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        CAPTURE(seed);
        auto trace = random_trace(seed);
        trace.limiter.renews_together = true;
        trace.limiter.idle_interval = short_times.lifetime / 4;
        CHECK(replay_shares(trace, seed, short_times).over_limit == 0);
    }
}

TEST_CASE("the replay counts connections over the limit")
{
    // Three hosts have a third of the limit each, without a leader.
    auto trace = random_trace(1);
    trace.load.hosts = 3;
    trace.load.faults = {{fault_rule::kind::restart, at_ms(8000), {}, 0, 2}};
    trace.load.arrivals = {{at_ms(3000), at_ms(12000), 0, 2, 2000, {}}};
    trace.limit = 30;
    trace.divided = true;
    // Without a leader, a restarted host opens new connections while the server
    // still has its old ones.
    CHECK(replay_shares(trace, 1, short_times).over_limit > 0);
    trace.load.faults.clear();
    CHECK(replay_shares(trace, 1, short_times).over_limit == 0);
}

TEST_CASE("a busy host receives nearly all connections")
{
    share_trace trace;
    trace.load.arrivals = {{at_ms(1000), at_ms(9000), 3, 3, 2000, {}}};
    auto const outcome = replay_shares(trace, 1);
    CHECK(outcome.over_limit == 0);
    // The other eight hosts keep a base of one connection each.
    CHECK(outcome.max_open == 17);
}

namespace
{

struct server_checked_fixture
{
    void register_all(share_allocator& it) const
    {
        for (auto const* name : {"a", "b"})
            it.register_holder(daemon_name(name), now);
        it.configure(server, 10, now, limit_check::server);
    }

    void exchange(share_allocator& allocator)
    {
        for (auto const& request : limiter.tick(now))
            allocator.receive(request, now);
        for (auto const& grant : allocator.tick(now))
            if (grant.holder == daemon_name("a"))
                limiter.receive(grant, now);
    }

    void run(share_allocator& allocator, unsigned steps)
    {
        for (unsigned n = 0; n != steps; ++n)
        {
            now += std::chrono::milliseconds(20);
            exchange(allocator);
        }
    }

    connection_limiter& add_limiter()
    {
        limiter.add_server(server, now);
        return limiter;
    }

    server_name const server{"s"};
    instant now = at_ms(1000);
    connection_limiter limiter{{}, daemon_name("a"), 1};
};

} // namespace

// Guards against daemons that keep only one connection for all workspaces after
// the loss of the leader, although the server checks its limit itself.
TEST_CASE("a holder without contact keeps its share if the server checks")
{
    server_checked_fixture f;
    share_allocator allocator({}, 1, f.now);
    allocator.assume_no_earlier_grants(f.now);
    f.register_all(allocator);
    auto& limiter = f.add_limiter();
    limiter.report_use(f.server, 0, 6, f.now);
    f.run(allocator, 20);
    CHECK(limiter.share(f.server, f.now) == 6);
    f.now += std::chrono::seconds(60);
    CHECK(limiter.share(f.server, f.now) == 6);
}

// Guards against daemons that started shortly before a change of leader and had
// no connection until the shares of all others had expired.
TEST_CASE("a new leader has a short recovery if the server checks the limit")
{
    server_checked_fixture f;
    share_allocator second({}, 2, f.now);
    f.register_all(second);
    // The other holder cannot be reached and never reports.
    auto& limiter = f.add_limiter();
    limiter.report_use(f.server, 0, 6, f.now);
    f.run(second, 25);
    CHECK(limiter.share(f.server, f.now) == 6);
}

// Guards against promotions that fail because holders use every connection of a
// server whose log position must be queried first.
TEST_CASE("connections are reserved for the leader if the server checks")
{
    server_checked_fixture f;
    share_allocator allocator({}, 1, f.now);
    allocator.assume_no_earlier_grants(f.now);
    f.register_all(allocator);
    auto& limiter = f.add_limiter();
    limiter.report_use(f.server, 0, 50, f.now);
    f.run(allocator, 20);
    CHECK(limiter.share(f.server, f.now) > 5);
    CHECK(limiter.share(f.server, f.now) <= 8);
}

namespace
{

// An encoded request takes about this many bytes.
constexpr std::size_t bytes_per_request = 200;

// A tenth of the link of a small entry host, 2 Mbit/s.
constexpr std::size_t max_unanswered_bytes_per_s = 25'000;

// What a daemon may spend on control in the long run.
constexpr std::size_t max_control_bytes_per_s = 3'000;

constexpr std::size_t many_servers = 24;
constexpr std::size_t many_holders = 80;

server_name server_of(std::size_t n)
{
    return server_name("server-" + std::to_string(n));
}

} // namespace

// Guards against daemons that never get a connection: with fewer connections
// than daemons, those that had one kept it for their next statement, and
// statements at the others waited until their deadline.
TEST_CASE("connections rotate among more holders than there are")
{
    share_allocator allocator({}, 1, at_ms(0));
    allocator.assume_no_earlier_grants(at_ms(0));
    std::vector<connection_limiter> limiters;
    std::vector<int> waits(many_holders);
    for (std::size_t n = 0; n != many_holders; ++n)
    {
        daemon_name const name("entry-" + std::to_string(n));
        allocator.register_holder(name, at_ms(0));
        limiters.emplace_back(basilreach::limits::connection_limiter_settings{},
                              name, 1);
        limiters.back().add_server(server_of(0), at_ms(0));
    }
    allocator.configure(server_of(0), 56, at_ms(0), limit_check::server);
    // Each holder uses one connection for a statement now and then, and keeps
    // it meanwhile.
    int longest_wait = 0;
    for (std::uint64_t ms = 0; ms != 10'000; ++ms)
    {
        for (std::size_t n = 0; n != many_holders; ++n)
        {
            auto const share = limiters[n].share(server_of(0), at_ms(ms));
            limiters[n].report_use(server_of(0), share, 1, at_ms(ms));
            waits[n] = share > 0 ? 0 : waits[n] + 1;
            longest_wait = std::max(longest_wait, waits[n]);
            for (auto const& it : limiters[n].tick(at_ms(ms)))
                allocator.receive(it, at_ms(ms));
        }
        for (auto const& it : allocator.tick(at_ms(ms)))
            for (auto& to : limiters)
                to.receive(it, at_ms(ms));
    }
    // All of them want a connection all the time, and 54 have one.
    constexpr int max_wait_ms = 1000;
    CHECK(longest_wait <= max_wait_ms);
}

// Guards against a new leader that grants no connections: it counted one for
// each daemon that had reported nothing, and daemons do not report servers that
// they do not use.
TEST_CASE("a new leader grants connections although few holders report")
{
    share_allocator allocator({}, 2, at_ms(0));
    for (std::size_t n = 0; n != many_holders; ++n)
        allocator.register_holder(daemon_name("entry-" + std::to_string(n)),
                                  at_ms(0));
    allocator.configure(server_of(0), 23, at_ms(0), limit_check::server);
    connection_limiter limiter({}, daemon_name("entry-0"), 1);
    limiter.add_server(server_of(0), at_ms(0));
    limiter.report_use(server_of(0), 0, 1, at_ms(0));
    for (std::uint64_t ms = 0; ms != 1000; ++ms)
    {
        for (auto const& it : limiter.tick(at_ms(ms)))
            allocator.receive(it, at_ms(ms));
        for (auto const& it : allocator.tick(at_ms(ms)))
            limiter.receive(it, at_ms(ms));
    }
    CHECK(limiter.share(server_of(0), at_ms(1000)) == 1);
}

// Guards against connections that rotate to holders that want none any more: a
// holder became silent without saying so, and kept what it got for a second.
TEST_CASE("a holder states that it wants no connection any more")
{
    share_allocator allocator({}, 1, at_ms(0));
    allocator.assume_no_earlier_grants(at_ms(0));
    for (std::size_t n = 0; n != many_holders; ++n)
        allocator.register_holder(daemon_name("entry-" + std::to_string(n)),
                                  at_ms(0));
    // One connection is grantable, and the first holder keeps it.
    allocator.configure(server_of(0), 2, at_ms(0), limit_check::server);
    std::deque<connection_limiter> limiters;
    for (std::size_t n = 0; n != 2; ++n)
    {
        limiters.emplace_back(basilreach::limits::connection_limiter_settings{},
                              daemon_name("entry-" + std::to_string(n)), 1);
        limiters[n].add_server(server_of(0), at_ms(0));
    }
    std::uint32_t stated = 0;
    for (std::uint64_t ms = 0; ms != 100; ++ms)
    {
        auto const share = limiters[0].share(server_of(0), at_ms(ms));
        limiters[0].report_use(server_of(0), share, 1, at_ms(ms));
        bool const wants = ms >= 10 && ms < 20;
        limiters[1].report_use(server_of(0), 0, wants ? 1 : 0, at_ms(ms));
        for (auto& from : limiters)
            for (auto const& it : from.tick(at_ms(ms)))
            {
                allocator.receive(it, at_ms(ms));
                if (&from == &limiters[1])
                    stated = it.wanted;
            }
        for (auto const& it : allocator.tick(at_ms(ms)))
            for (auto& to : limiters)
                to.receive(it, at_ms(ms));
        if (ms == 15)
            CHECK(stated == 1);
    }
    CHECK(stated == 0);
}

// Guards against daemons that fill their links with requests as soon as an
// answer takes longer than the retry interval.
TEST_CASE("unanswered share requests leave most of a small link free")
{
    connection_limiter limiter({}, daemon_name("entry-0"), 1);
    for (std::size_t n = 0; n != many_servers; ++n)
        limiter.add_server(server_of(n), at_ms(0));
    std::size_t requests = 0;
    constexpr std::size_t seconds = 10;
    for (std::uint64_t ms = 0; ms != seconds * 1000; ++ms)
        requests += limiter.tick(at_ms(ms)).size();
    CHECK(requests * bytes_per_request <= seconds * max_unanswered_bytes_per_s);
}

// Guards against control traffic that grows with the product of daemons and
// servers, although each daemon uses few of them at a time.
TEST_CASE("servers that a daemon does not use cost no control traffic")
{
    share_allocator allocator({}, 1, at_ms(0));
    allocator.assume_no_earlier_grants(at_ms(0));
    for (std::size_t n = 0; n != many_holders; ++n)
        allocator.register_holder(daemon_name("entry-" + std::to_string(n)),
                                  at_ms(0));
    connection_limiter limiter({}, daemon_name("entry-0"), 1);
    for (std::size_t n = 0; n != many_servers; ++n)
    {
        allocator.configure(server_of(n), 56, at_ms(0), limit_check::server);
        limiter.add_server(server_of(n), at_ms(0));
    }
    std::size_t requests = 0;
    constexpr std::uint64_t settled_ms = 2000;
    constexpr std::size_t seconds = 10;
    for (std::uint64_t ms = 0; ms != settled_ms + seconds * 1000; ++ms)
    {
        for (auto const& it : limiter.tick(at_ms(ms)))
        {
            allocator.receive(it, at_ms(ms));
            requests += ms < settled_ms ? 0 : 1;
        }
        for (auto const& it : allocator.tick(at_ms(ms)))
            limiter.receive(it, at_ms(ms));
    }
    CHECK(requests * bytes_per_request <= seconds * max_control_bytes_per_s);
}

// Guards against a leader whose processor time is used up by renewals: each of
// 195 daemons sent a message a second for each server of which it had a share.
TEST_CASE("renewals of many shares share their messages")
{
    using namespace std::chrono_literals;
    connection_limiter limiter({}, daemon_name("entry-0"), 1);
    instant now = at_ms(0);
    std::uint64_t grants = 0;
    auto const answer =
        [&](std::vector<basilreach::limits::share_request> const& requests)
    {
        for (auto const& it : requests)
            limiter.receive({it.server,
                             it.holder,
                             it.incarnation,
                             {1, ++grants},
                             it.sent,
                             3s,
                             1,
                             1},
                            now);
    };
    constexpr std::size_t shares = 40;
    constexpr std::size_t seconds = 10;
    for (std::size_t n = 0; n != shares; ++n)
    {
        limiter.add_server(server_of(n), now);
        limiter.report_use(server_of(n), 1, 1, now);
        answer(limiter.tick(now));
        now += 23ms;
    }
    std::size_t messages = 0;
    std::size_t renewals = 0;
    auto const end = now + std::chrono::seconds(seconds);
    for (; now < end; now += 1ms)
    {
        auto const requests = limiter.tick(now);
        messages += requests.empty() ? 0 : 1;
        renewals += requests.size();
        answer(requests);
    }
    // Each share is renewed once a second, and hardly more often.
    CHECK(renewals >= seconds * shares);
    CHECK(renewals < seconds * shares * 5 / 4);
    CHECK(messages <= seconds * 10);
}

// Guards against a leader whose processor time goes into the renewals of shares
// that have not changed: their number was that of the daemons times that of the
// servers.
TEST_CASE("shares without a change are renewed by one message")
{
    using namespace std::chrono_literals;
    constexpr std::size_t servers = 40;
    instant now = at_ms(0);
    share_allocator allocator({}, 1, now);
    allocator.assume_no_earlier_grants(now);
    allocator.register_holder(daemon_name("a"), now);
    connection_limiter limiter({.renews_together = true}, daemon_name("a"), 1);
    for (std::size_t n = 0; n != servers; ++n)
    {
        allocator.configure(server_of(n), 10, now);
        limiter.add_server(server_of(n), now);
        limiter.report_use(server_of(n), 1, 1, now);
    }
    std::size_t requests = 0;
    std::size_t renewals = 0;
    bool are_renewals_answered = true;
    auto const run = [&](std::chrono::milliseconds time)
    {
        for (auto const end = now + time; now < end; now += 1ms)
        {
            for (auto const& it : limiter.tick(now))
            {
                ++requests;
                allocator.receive(it, now);
            }
            if (auto const it = limiter.tick_renewal(now))
            {
                ++renewals;
                allocator.receive(*it, now);
            }
            for (auto const& it : allocator.tick(now))
                limiter.receive(it, now);
            for (auto const& it : allocator.tick_renewals(now))
                if (are_renewals_answered)
                    limiter.receive(it, now);
        }
    };
    run(1s);
    requests = renewals = 0;
    run(20s);
    CHECK(requests == 0);
    CHECK(renewals <= 21);
    for (std::size_t n = 0; n != servers; ++n)
        CHECK(limiter.share(server_of(n), now) >= 1);
    CHECK(limiter.expiry(server_of(0)) > now + 1900ms);
    // A change is reported by itself.
    limiter.report_use(server_of(0), 1, 0, now);
    run(1100ms);
    CHECK(requests == 1);
    // Without an answer, each share is renewed in time by a request.
    are_renewals_answered = false;
    run(3s);
    CHECK(requests >= servers);
    CHECK(limiter.expiry(server_of(1)) > now);
    // Another allocator knows none of the shares.
    are_renewals_answered = true;
    run(3s);
    requests = 0;
    limiter.change_allocator(now);
    run(1100ms);
    CHECK(requests >= servers);
}

// Guards against connections beyond the limit after a message that was long on
// its way, e.g. because a host was suspended.
TEST_CASE("a late renewal does not revive shares that have expired")
{
    using namespace std::chrono_literals;
    constexpr std::uint32_t limit = 4;
    instant now = at_ms(0);
    share_allocator allocator({}, 1, now);
    allocator.assume_no_earlier_grants(now);
    allocator.configure(server_of(0), limit, now);
    std::map<daemon_name, connection_limiter> limiters;
    for (auto const* name : {"a", "b"})
    {
        allocator.register_holder(daemon_name(name), now);
        limiters
            .try_emplace(daemon_name(name),
                         connection_limiter({.renews_together = true},
                                            daemon_name(name), 1))
            .first->second.add_server(server_of(0), now);
    }
    auto const exchange = [&](char const* name)
    {
        auto& limiter = limiters.at(daemon_name(name));
        for (auto const& it : limiter.tick(now))
            allocator.receive(it, now);
        for (auto const& it : allocator.tick(now))
            limiters.at(it.holder).receive(it, now);
    };
    auto& a = limiters.at(daemon_name("a"));
    a.report_use(server_of(0), 0, limit, now);
    for (int n = 0; n != 5; ++n, now += 10ms)
        exchange("a");
    now += 1100ms;
    CHECK(a.tick(now).empty());
    auto const renewal = a.tick_renewal(now);
    REQUIRE(renewal.has_value());
    CHECK(a.share(server_of(0), now) > 1);
    // The renewal arrives after the leader has given the shares up for lost.
    now += 10s;
    allocator.receive(*renewal, now);
    auto const answers = allocator.tick_renewals(now);
    REQUIRE(answers.size() == 1);
    limiters.at(daemon_name("b")).report_use(server_of(0), 0, limit, now);
    for (int n = 0; n != 5; ++n, now += 10ms)
        exchange("b");
    auto& b = limiters.at(daemon_name("b"));
    CHECK(b.share(server_of(0), now) > 1);
    a.receive(answers.front(), now);
    CHECK(a.share(server_of(0), now) + b.share(server_of(0), now) <= limit);
    // The same for an answer that is late.
    auto late = answers.front();
    late.echo = now - 1s;
    a.receive(late, now);
    CHECK(a.share(server_of(0), now) + b.share(server_of(0), now) <= limit);
}
