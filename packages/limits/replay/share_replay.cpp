#include "share_replay.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>

#include "simulation.hpp"

namespace basilreach::limits::replay
{

namespace
{

server_name const server("s");
constexpr duration election_time = std::chrono::milliseconds(300);

struct pool
{
    daemon_name name;
    host_clock clock;
    std::uint64_t incarnation = 0;
    // Incremented when all connections are closed at once, so that events of
    // earlier connections are ignored.
    std::uint64_t generation = 0;
    bool lost = false;
    std::unique_ptr<connection_limiter> limiter;
    std::deque<instant> waiting;
    std::uint32_t opening = 0;
    std::uint32_t idle = 0;
    std::uint32_t busy = 0;
    instant next_tick = never;

    [[nodiscard]] std::uint32_t open() const
    {
        return opening + idle + busy;
    }
};

class replayer
{
public:
    replayer(share_trace const& trace,
             std::uint64_t seed,
             share_allocator_settings settings)
        : trace_(trace), settings_(settings), random_(seed)
    {
    }

    share_outcome run()
    {
        pools_.resize(trace_.load.hosts);
        for (unsigned n = 0; n != trace_.load.hosts; ++n)
        {
            pools_[n].name = daemon_name("host" + std::to_string(n));
            pools_[n].clock = make_clock();
        }
        elect();
        for (unsigned n = 0; n != trace_.load.hosts; ++n)
            start(n);
        for (auto const& it : make_arrivals(trace_.load, random_))
            simulation_.at(it.at, [this, n = it.host] { arrive(n); });
        for (auto const& rule : trace_.load.faults)
            simulation_.at(rule.from, [this, &rule] { apply(rule); });
        simulation_.run(instant(trace_.load.length));
        return outcome();
    }

private:
    host_clock make_clock()
    {
        return {duration(static_cast<duration::rep>(random_.below(1'000'000))),
                trace_.load.drift * (2 * random_.unit() - 1)};
    }

    void elect()
    {
        leader_clock_ = make_clock();
        auto const now = leader_clock_.local(simulation_.now());
        leader_ = std::make_unique<share_allocator>(settings_, ++term_, now);
        if (term_ == 1)
            leader_->assume_no_earlier_grants(now);
        next_leader_tick_ = never;
        for (auto const& it : pools_)
            leader_->register_holder(it.name, now);
        leader_->configure(server, trace_.limit, now);
        tick_leader();
    }

    void start(unsigned n)
    {
        auto& it = pools_[n];
        ++it.incarnation;
        it.lost = false;
        it.next_tick = never;
        it.waiting.clear();
        it.opening = it.idle = it.busy = 0;
        it.limiter = std::make_unique<connection_limiter>(
            trace_.limiter, it.name, it.incarnation);
        it.limiter->add_server(server, it.clock.local(simulation_.now()));
        tick(n);
    }

    void apply(fault_rule const& rule)
    {
        if (rule.what == fault_rule::kind::leader)
        {
            leader_.reset();
            simulation_.at(simulation_.now() + election_time,
                           [this] { elect(); });
        }
        if (rule.what != fault_rule::kind::lose &&
            rule.what != fault_rule::kind::restart)
            return;
        for (auto n = rule.first_host; n <= rule.last_host; ++n)
        {
            auto& it = pools_[n];
            // The server keeps the connections of a lost host for
            // lost_host_hold.
            auto const lost_connections = it.open();
            abandoned_ += lost_connections;
            simulation_.at(simulation_.now() + settings_.lost_host_hold,
                           [this, lost_connections]
                           { abandoned_ -= lost_connections; });
            it.opening = it.idle = it.busy = 0;
            ++it.incarnation;
            it.lost = true;
            if (rule.what == fault_rule::kind::restart)
                start(n);
        }
    }

    bool message_passes(unsigned n)
    {
        auto const now = simulation_.now();
        for (auto const& rule : trace_.load.faults)
            if (rule.what == fault_rule::kind::cut && rule.from <= now &&
                now < rule.to && rule.first_host <= n && n <= rule.last_host)
                return false;
        return trace_.load.loss == 0 || random_.unit() >= trace_.load.loss;
    }

    duration delay()
    {
        auto const jitter =
            static_cast<std::uint64_t>(trace_.load.jitter.count());
        return trace_.load.latency + duration(jitter == 0
                                                  ? 0
                                                  : static_cast<duration::rep>(
                                                        random_.below(jitter)));
    }

    void arrive(unsigned n)
    {
        if (pools_[n].lost)
            return;
        pools_[n].waiting.push_back(simulation_.now());
        tick(n);
    }

    // Runs an event of a pool after a delay, unless its host has restarted or
    // all its connections were closed meanwhile.
    template <class Function>
    void run_later(unsigned n, duration delay, Function event)
    {
        simulation_.at(simulation_.now() + delay,
                       [this, n, incarnation = pools_[n].incarnation,
                        generation = pools_[n].generation, event]
                       {
                           if (pools_[n].incarnation != incarnation ||
                               pools_[n].generation != generation)
                               return;
                           event(pools_[n]);
                           tick(n);
                       });
    }

    void tick(unsigned n)
    {
        auto& it = pools_[n];
        auto const virtual_now = simulation_.now();
        auto const now = it.clock.local(virtual_now);
        while (!it.waiting.empty() && it.idle > 0)
        {
            auto const wait = virtual_now - it.waiting.front();
            waits_.push_back(
                std::chrono::duration<double, std::milli>(wait).count());
            it.waiting.pop_front();
            --it.idle;
            ++it.busy;
            run_later(n,
                      duration(random_.exponential(
                          1e9 / static_cast<double>(trace_.service.count()))),
                      [](pool& to)
                      {
                          --to.busy;
                          ++to.idle;
                      });
        }
        auto const share = trace_.divided ? trace_.limit / trace_.load.hosts
                                          : it.limiter->share(server, now);
        // Idle connections beyond the share are closed. If the share has
        // expired, busy ones are closed too.
        while (it.open() > share && it.idle > 0)
            --it.idle;
        if (!trace_.divided && now >= it.limiter->expiry(server) &&
            it.open() > share)
            close_all(n);
        while (it.open() < share && it.opening < it.waiting.size())
        {
            ++it.opening;
            ++opened_;
            run_later(n, trace_.opening,
                      [](pool& to)
                      {
                          --to.opening;
                          ++to.idle;
                      });
        }
        check();
        if (trace_.divided)
            return;
        auto const wanted = it.busy + it.waiting.size();
        it.limiter->report_use(server, it.open(),
                               static_cast<std::uint32_t>(wanted), now);
        for (auto const& request : it.limiter->tick(now))
            send(n, request);
        if (auto const renewal = it.limiter->tick_renewal(now))
            send(n, *renewal);
        auto next_tick = std::min(it.limiter->next_deadline(),
                                  now < it.limiter->expiry(server)
                                      ? it.limiter->expiry(server)
                                      : never);
        next_tick =
            std::max(it.clock.global(next_tick), virtual_now + duration(1));
        if (next_tick >= it.next_tick && it.next_tick > virtual_now)
            return;
        it.next_tick = next_tick;
        simulation_.at(next_tick,
                       [this, n, incarnation = it.incarnation]
                       {
                           if (pools_[n].incarnation == incarnation)
                               tick(n);
                       });
    }

    // Closes all connections of a host whose share has expired. A single busy
    // connection cannot be closed, because its pending event is not tracked.
    void close_all(unsigned n)
    {
        auto& it = pools_[n];
        it.opening = it.idle = it.busy = 0;
        ++it.generation;
    }

    template <class Request>
    void send(unsigned n, Request const& request)
    {
        if (message_passes(n))
            simulation_.at(simulation_.now() + delay(),
                           [this, n, request]
                           {
                               if (!leader_ || !message_passes(n))
                                   return;
                               leader_->receive(
                                   request,
                                   leader_clock_.local(simulation_.now()));
                               tick_leader();
                           });
    }

    template <class Grant>
    void answer(Grant const& grant)
    {
        auto const n =
            static_cast<unsigned>(std::stoul(grant.holder.str().substr(4)));
        if (!message_passes(n))
            return;
        simulation_.at(simulation_.now() + delay(),
                       [this, n, grant]
                       {
                           auto& it = pools_[n];
                           if (it.lost || !message_passes(n))
                               return;
                           it.limiter->receive(
                               grant, it.clock.local(simulation_.now()));
                           tick(n);
                       });
    }

    void tick_leader()
    {
        auto const virtual_now = simulation_.now();
        auto const now = leader_clock_.local(virtual_now);
        for (auto const& grant : leader_->tick(now))
            answer(grant);
        for (auto const& grant : leader_->tick_renewals(now))
            answer(grant);
        auto const next_tick =
            std::max(leader_clock_.global(leader_->next_deadline()),
                     virtual_now + duration(1));
        if (next_tick >= next_leader_tick_ && next_leader_tick_ > virtual_now)
            return;
        next_leader_tick_ = next_tick;
        simulation_.at(next_tick,
                       [this, term = term_]
                       {
                           if (leader_ && term_ == term)
                               tick_leader();
                       });
    }

    void check()
    {
        std::uint32_t sum = abandoned_;
        for (auto const& it : pools_)
            sum += it.open();
        max_open_ = std::max(max_open_, sum);
        over_limit_events_ += sum > trace_.limit ? 1 : 0;
    }

    share_outcome outcome()
    {
        share_outcome result;
        result.served = waits_.size();
        result.over_limit = over_limit_events_;
        result.max_open = max_open_;
        // Statements that still wait are included with the time so far.
        for (auto const& it : pools_)
            for (auto const since : it.waiting)
                waits_.push_back(std::chrono::duration<double, std::milli>(
                                     simulation_.now() - since)
                                     .count());
        std::sort(waits_.begin(), waits_.end());
        if (!waits_.empty())
            result.wait_p99 = waits_[waits_.size() * 99 / 100];
        result.opened =
            static_cast<double>(opened_) /
            std::chrono::duration<double>(trace_.load.length).count();
        return result;
    }

    share_trace const& trace_;
    share_allocator_settings settings_;
    simulation simulation_;
    random_source random_;
    std::vector<pool> pools_;
    std::unique_ptr<share_allocator> leader_;
    host_clock leader_clock_;
    std::uint64_t term_ = 0;
    instant next_leader_tick_ = never;
    std::uint32_t abandoned_ = 0;
    std::uint32_t max_open_ = 0;
    std::uint64_t over_limit_events_ = 0;
    std::uint64_t opened_ = 0;
    std::vector<double> waits_;
};

} // namespace

share_outcome replay_shares(share_trace const& trace,
                            std::uint64_t seed,
                            share_allocator_settings settings)
{
    return replayer(trace, seed, settings).run();
}

} // namespace basilreach::limits::replay
