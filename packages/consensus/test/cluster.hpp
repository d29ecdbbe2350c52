#ifndef BASILREACH_CONSENSUS_TEST_CLUSTER_HPP
#define BASILREACH_CONSENSUS_TEST_CLUSTER_HPP

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <basilreach/consensus/member.hpp>

namespace basilreach::consensus::test
{

// Simulates control hosts in virtual time and a network that drops, delays and
// reorders messages and can be partitioned. Commits, elections and reads are
// checked; each broken guarantee is added to violations.
class cluster
{
public:
    struct host
    {
        durable_state disk;
        std::optional<member> running;
        std::uint64_t applied = 0;
        std::uint64_t digest = 0;
    };

    explicit cluster(std::uint64_t seed,
                     std::vector<std::string> const& names = {"a", "b", "c"})
        : random_(seed)
    {
        auto const first = first_snapshot({names.begin(), names.end()}, "0");
        for (auto const& it : first.members.voters)
        {
            hosts[it].disk.base = first;
            start(it);
        }
    }

    void start(host_name const& name)
    {
        auto& it = hosts[name];
        it.applied = it.disk.base.index;
        it.digest = it.applied == 0 ? 0 : std::stoull(it.disk.base.state);
        member_settings settings;
        settings.self = name;
        settings.seed = random_();
        settings.snapshot_chunk_bytes = 128;
        it.running.emplace(settings, it.disk, now);
    }

    void stop(host_name const& name)
    {
        hosts[name].running.reset();
    }

    // Blocks the messages to a host, from it, or both.
    void
    isolate(host_name const& name, bool inbound = true, bool outbound = true)
    {
        for (auto const& [other, it] : hosts)
        {
            if (inbound)
                blocked_links.emplace(other, name);
            if (outbound)
                blocked_links.emplace(name, other);
        }
    }

    void run_for(duration length)
    {
        for (auto const end = now + length;;)
        {
            auto next = in_flight_.empty() ? never : in_flight_.begin()->first;
            for (auto const& [name, it] : hosts)
                if (it.running)
                    next = std::min(next, it.running->next_deadline());
            if (next > end)
            {
                now = end;
                return;
            }
            now = std::max(now, next);
            for (auto& [name, it] : hosts)
                if (it.running && it.running->next_deadline() <= now)
                    perform(name, it.running->tick(now));
            while (!in_flight_.empty() && in_flight_.begin()->first <= now)
            {
                auto const message = in_flight_.extract(in_flight_.begin());
                auto const& to = message.mapped().to;
                if (hosts[to].running &&
                    !blocked_links.contains({message.mapped().from, to}))
                    perform(to,
                            hosts[to].running->receive(message.mapped(), now));
            }
        }
    }

    // Runs until the condition is true; returns whether it was within the
    // limit.
    bool run_until(std::function<bool()> const& condition, duration limit)
    {
        for (auto const end = now + limit; now < end;
             run_for(std::chrono::milliseconds{5}))
            if (condition())
                return true;
        return false;
    }

    // Returns the leader of the latest term, or an empty name.
    host_name leader()
    {
        role_state best;
        for (auto const& [name, it] : hosts)
            if (it.running && it.running->state().role == member_role::leader)
                best = std::max(best, it.running->state(),
                                [](auto const& a, auto const& b)
                                { return a.term < b.term; });
        return best.leader;
    }

    bool elect()
    {
        return run_until([&] { return !leader().empty(); },
                         std::chrono::seconds{10});
    }

    member& at(host_name const& name)
    {
        return *hosts[name].running;
    }

    // Proposes a command at the leader and waits until it and all running hosts
    // that it can reach have applied the same state; returns whether they have.
    bool converges(duration limit = std::chrono::seconds{10})
    {
        auto const end = now + limit;
        while (now < end)
        {
            if (!elect())
                return false;
            auto const name = leader();
            auto const result = propose(name, "converge");
            if (run_until(
                    [&]
                    {
                        return std::all_of(
                            hosts.begin(), hosts.end(),
                            [&](auto const& it)
                            {
                                return !it.second.running ||
                                       blocked_links.contains(
                                           {name, it.first}) ||
                                       (it.second.applied >= result &&
                                        it.second.digest == hosts[name].digest);
                            });
                    },
                    std::chrono::seconds{1}))
                return true;
        }
        return false;
    }

    std::uint64_t propose(host_name const& name, std::string payload)
    {
        auto const result = at(name).propose(std::move(payload), now);
        perform(name, result);
        return result.accepted ? result.accepted->index : 0;
    }

    void read(host_name const& name)
    {
        auto const id = read_id{reads_.size()};
        reads_.push_back(committed.empty() ? 0 : committed.rbegin()->first);
        perform(name, at(name).read(id, now));
    }

    std::optional<refusal>
    change(step_result (member::*operation)(host_name const&, instant),
           std::string const& subject)
    {
        auto const name = leader();
        auto const result = (at(name).*operation)(host_name{subject}, now);
        perform(name, result);
        return result.refused;
    }

    void compact(host_name const& name)
    {
        auto& it = hosts[name];
        auto const padding = std::string(1'000, ' ');
        if (it.applied <= it.disk.base.index)
            return;
        snapshot const base{it.applied, at(name).term_at(it.applied),
                            at(name).members_at(it.applied),
                            std::to_string(it.digest) + padding};
        std::erase_if(it.disk.entries, [&](log_entry const& entry)
                      { return entry.index <= base.index; });
        it.disk.base = base;
        at(name).compact(base);
    }

    std::uint64_t random(std::uint64_t bound)
    {
        return random_() % bound;
    }

    instant now{};
    std::map<host_name, host> hosts;
    // Pairs of sender and receiver whose messages are dropped.
    std::set<std::pair<host_name, host_name>> blocked_links;
    unsigned drop_percent = 0;
    duration max_delay = std::chrono::milliseconds{1};
    std::map<std::uint64_t, log_entry> committed;
    std::map<std::uint64_t, host_name> leaders;
    std::vector<std::string> violations;
    std::size_t confirmed_reads = 0;
    // Seeded fault: hosts do not persist their term and vote.
    bool drop_hard_state = false;

private:
    void perform(host_name const& name, step_result const& result)
    {
        auto& it = hosts[name];
        if (result.hard && !drop_hard_state)
            it.disk.hard = *result.hard;
        if (result.install)
        {
            it.disk.base = *result.install;
            it.disk.entries.clear();
            it.applied = result.install->index;
            it.digest = std::stoull(result.install->state);
        }
        if (result.truncate_from)
            std::erase_if(it.disk.entries, [&](log_entry const& entry)
                          { return entry.index >= *result.truncate_from; });
        it.disk.entries.insert(it.disk.entries.end(), result.append.begin(),
                               result.append.end());
        for (auto const& message : result.send)
            if (random(100) >= drop_percent)
                in_flight_.emplace(
                    now + std::chrono::microseconds{200} +
                        duration{random(
                            static_cast<std::uint64_t>(max_delay.count()))},
                    message);
        for (auto const& entry : result.apply)
        {
            if (entry.index != ++it.applied)
                violations.push_back("gap in applied entries");
            if (committed.try_emplace(entry.index, entry).first->second !=
                entry)
                violations.push_back("committed entry changed");
            it.digest = std::hash<std::string>{}(std::to_string(it.digest) +
                                                 entry.payload);
        }
        for (auto const& read : result.reads)
        {
            confirmed_reads += read.confirmed ? 1 : 0;
            if (read.confirmed &&
                it.applied < reads_[static_cast<std::size_t>(read.id)])
                violations.push_back("stale read");
        }
        if (result.role && result.role->role == member_role::leader &&
            leaders.try_emplace(result.role->term, name).first->second != name)
            violations.push_back("two leaders in one term");
    }

    std::mt19937_64 random_;
    std::multimap<instant, peer_message> in_flight_;
    // For each read, the last index that any host had applied before it
    // started.
    std::vector<std::uint64_t> reads_;
};

} // namespace basilreach::consensus::test

#endif
