#include "cluster.hpp"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace basilreach::consensus::test
{

namespace
{

host_name random_host(cluster& it)
{
    return std::next(it.hosts.begin(),
                     static_cast<std::ptrdiff_t>(it.random(it.hosts.size())))
        ->first;
}

// Applies one random fault, request or membership change.
void inject_fault(cluster& it, bool with_changes)
{
    auto const host = random_host(it);
    bool const is_up = it.hosts[host].running.has_value();
    auto const leader = it.leader();
    auto const action = it.random(16);
    if (action == 0 && is_up)
        it.stop(host);
    else if (action == 1 && !is_up)
        it.start(host);
    else if (action == 2 && it.blocked_links.empty())
        it.isolate(host, it.random(3) != 0, it.random(3) != 0);
    else if (action <= 3)
        it.blocked_links.clear();
    else if (action == 4 && is_up)
        it.compact(host);
    else if (action == 5 && is_up)
        it.read(host);
    else if (action <= 7 && !leader.empty())
        it.read(leader);
    else if (action == 8 && with_changes && !leader.empty())
    {
        using change = step_result (member::*)(host_name const&, instant);
        static constexpr std::array<change, 3> changes{
            &member::add_learner, &member::promote, &member::remove};
        it.change(changes[it.random(3)], host.str());
    }
    else if (!leader.empty())
        it.propose(leader, std::to_string(it.random(1'000'000)));
}

void heal(cluster& it)
{
    it.blocked_links.clear();
    it.drop_percent = 0;
    it.max_delay = 1ms;
    for (auto const& [name, host] : it.hosts)
        if (!host.running)
            it.start(name);
}

} // namespace

// Guards against lost or changed entries, two leaders in a term and stale
// reads during message loss, delay, reordering, partitions, crashes and
// membership changes.
TEST_CASE("random faults break no guarantee")
{
    std::size_t committed = 0;
    std::size_t reads = 0;
    std::size_t terms = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        CAPTURE(seed);
        cluster it{seed, seed % 2 == 0 ? std::vector<std::string>{"a", "b", "c"}
                                       : std::vector<std::string>{"a", "b", "c",
                                                                  "d", "e"}};
        it.drop_percent = 5;
        it.max_delay = 40ms;
        for (int n = 0; n != 400; ++n)
        {
            inject_fault(it, seed % 3 == 0);
            it.run_for(duration{it.random(100'000'000)});
        }
        heal(it);
        // With membership changes the hosts need not converge: a removed host
        // receives nothing more.
        if (seed % 3 == 0)
            it.run_for(5s);
        else
            CHECK(it.converges());
        CHECK(!it.leader().empty());
        CHECK(it.violations == std::vector<std::string>{});
        committed += it.committed.size();
        reads += it.confirmed_reads;
        terms += it.leaders.size();
    }
    MESSAGE("300 seeds: " << committed << " entries, " << reads << " reads, "
                          << terms << " leaders");
}

// Checks that the checks of the cluster can fail: hosts that lose their vote
// elect two leaders in one term.
TEST_CASE("a seeded fault is reported as a violation")
{
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        cluster it{seed};
        it.drop_hard_state = true;
        it.max_delay = 40ms;
        for (int n = 0; n != 200; ++n)
        {
            inject_fault(it, false);
            it.run_for(duration{it.random(100'000'000)});
        }
        found += it.violations.size();
    }
    MESSAGE("violations found: " << found);
    CHECK(found > 0);
}

// Guards against a restart that loses entries or applies them twice.
TEST_CASE("all hosts agree after 1000 entries and a restart")
{
    cluster it{11};
    REQUIRE(it.converges());
    for (int n = 0; n != 1'000; ++n)
        it.propose(it.leader(), std::to_string(n));
    REQUIRE(it.converges());
    auto const digest = it.hosts[it.leader()].digest;
    auto const applied = it.hosts[it.leader()].applied;
    it.compact(host_name{"a"});
    for (auto const& [name, host] : it.hosts)
        it.stop(name);
    for (auto const& [name, host] : it.hosts)
        it.start(name);
    REQUIRE(it.run_until(
        [&] { return it.hosts[it.leader()].applied > applied; }, 5s));
    std::uint64_t digest_of_entries = 0;
    auto const first = it.committed.begin()->first;
    CHECK(first == first_snapshot({}, {}).index + 1);
    for (auto n = first; n <= applied; ++n)
        digest_of_entries = std::hash<std::string>{}(
            std::to_string(digest_of_entries) + it.committed.at(n).payload);
    CHECK(digest_of_entries == digest);
    CHECK(it.converges());
    CHECK(it.violations.empty());
}

} // namespace basilreach::consensus::test
