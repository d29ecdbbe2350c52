#include "rate_replay.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include <basilreach/limits/token_transfer.hpp>

#include "simulation.hpp"

namespace basilreach::limits::replay
{

namespace
{

workspace_name const workspace("w");

// Time from the loss of a leader until its successor starts.
constexpr duration election_time = std::chrono::milliseconds(300);

// Delivery time of a message between two threads of a daemon.
constexpr duration thread_latency = std::chrono::microseconds(20);

// Token bucket in floating point, as the reference for checks and as the
// baseline for comparisons.
class exact_bucket
{
public:
    exact_bucket(double rate, double burst)
        : rate_(rate), burst_(burst), level_(burst)
    {
    }

    void configure(double rate, double burst, instant now)
    {
        refill(now);
        rate_ = rate;
        burst_ = burst;
        level_ = std::min(level_, burst);
    }

    // Consumes a token that is available or refilled within max_wait. Calls are
    // in order of time, so that later requests wait behind earlier ones.
    bool consume_within(instant now, duration max_wait)
    {
        refill(now);
        auto const missing = std::max(1 - level_, 0.0);
        if (missing / rate_ > std::chrono::duration<double>(max_wait).count())
            return false;
        level_ -= 1;
        return true;
    }

    bool try_consume(instant now)
    {
        refill(now);
        // Allows for rounding errors.
        if (level_ < 1 - 1e-6)
            return false;
        level_ -= 1;
        return true;
    }

private:
    void refill(instant now)
    {
        if (now <= updated_)
            return;
        auto const passed = std::chrono::duration<double>(now - updated_);
        level_ = std::min(burst_, level_ + rate_ * passed.count());
        updated_ = now;
    }

    double rate_;
    double burst_;
    double level_;
    instant updated_;
};

} // namespace

std::vector<arrival> make_arrivals(rate_trace const& trace,
                                   random_source& random)
{
    std::vector<arrival> all;
    for (auto const& rule : trace.arrivals)
    {
        auto const hosts = rule.last_host - rule.first_host + 1;
        auto at = rule.from + random.exponential(rule.rate);
        for (; at < rule.to; at += random.exponential(rule.rate))
        {
            auto const host_index =
                rule.move > duration{}
                    ? static_cast<std::uint64_t>((at - rule.from) / rule.move)
                    : random.below(hosts);
            all.push_back({at, rule.first_host +
                                   static_cast<unsigned>(host_index % hosts)});
        }
    }
    std::sort(all.begin(), all.end());
    return all;
}

namespace
{

// A rate limiter and the requests that wait for its tokens, as indexes into
// arrivals_.
struct admission_queue
{
    explicit admission_queue(rate_limiter_settings settings,
                             daemon_name const& name,
                             std::uint64_t incarnation)
        : limiter(settings, name, incarnation)
    {
    }

    rate_limiter limiter;
    std::deque<std::size_t> waiting;
    instant next_tick = never;
};

struct host
{
    daemon_name name;
    host_clock clock;
    std::uint64_t incarnation = 0;
    bool lost = false;
    bool registered = true;
    instant frozen_until;
    std::vector<std::unique_ptr<admission_queue>> admission_queues;
    // With traffic threads: the daemon's limiter, and the allocator of its
    // threads.
    std::unique_ptr<rate_limiter> daemon_limiter;
    std::unique_ptr<token_allocator> thread_allocator;
    instant next_tick = never;
};

class replayer
{
public:
    replayer(rate_trace const& trace,
             std::uint64_t seed,
             token_allocator_settings settings,
             rate_limiter_settings limiter_settings)
        : trace_(trace), settings_(settings),
          limiter_settings_(limiter_settings), random_(seed),
          arrivals_(make_arrivals(trace, random_)), admitted_(arrivals_.size())
    {
    }

    rate_outcome run()
    {
        hosts_.resize(trace_.hosts);
        for (unsigned n = 0; n != trace_.hosts; ++n)
        {
            auto& it = hosts_[n];
            it.name = daemon_name("host" + std::to_string(n));
            it.clock = make_clock();
        }
        for (auto const& rule : trace_.faults)
            if (rule.what == fault_rule::kind::add)
                for (auto n = rule.first_host; n <= rule.last_host; ++n)
                {
                    hosts_[n].lost = true;
                    hosts_[n].registered = false;
                }
        elect();
        for (unsigned n = 0; n != trace_.hosts; ++n)
            if (!hosts_[n].lost)
                start(n);
        for (auto const& rule : trace_.limits)
            at(rule.at, [this, &rule] { configure(rule); });
        for (auto const& rule : trace_.placements)
            at(rule.at, [this] { configure_last(); });
        for (auto const& rule : trace_.faults)
            at(rule.from, [this, &rule] { apply(rule); });
        for (std::size_t n = 0; n != arrivals_.size(); ++n)
            at_host(arrivals_[n].host, arrivals_[n].at,
                    [this, n] { arrive(n); });
        simulation_.run(instant(trace_.length));
        return outcome();
    }

private:
    void at(instant time, std::function<void()> event)
    {
        simulation_.at(time, std::move(event));
    }

    // Runs an event of a host, after its freeze if it is frozen.
    void at_host(unsigned n, instant time, std::function<void()> event)
    {
        at(time,
           [this, n, event = std::move(event)]() mutable
           {
               if (hosts_[n].frozen_until > simulation_.now())
                   at_host(n, hosts_[n].frozen_until, std::move(event));
               else
                   event();
           });
    }

    host_clock make_clock()
    {
        return {duration(static_cast<duration::rep>(random_.below(1'000'000))),
                trace_.drift * (2 * random_.unit() - 1)};
    }

    // Starts the next leader. The earlier one no longer grants anything.
    void elect()
    {
        leader_clock_ = make_clock();
        auto const now = leader_clock_.local(simulation_.now());
        leader_ = std::make_unique<token_allocator>(settings_, ++term_, now);
        if (term_ == 1)
            leader_->assume_no_earlier_grants(now);
        next_leader_tick_ = never;
        for (auto const& it : hosts_)
            if (it.registered)
                leader_->register_holder(it.name, now);
        for (auto const& rule : trace_.limits)
            if (rule.at <= simulation_.now())
                leader_->configure(workspace, rule.rate, rule.burst, now,
                                   floor_holders());
        tick_leader();
    }

    // Returns the holders of the last placement.
    [[nodiscard]] std::optional<std::set<daemon_name>> floor_holders() const
    {
        std::optional<std::set<daemon_name>> out;
        for (auto const& rule : trace_.placements)
        {
            if (rule.at > simulation_.now())
                continue;
            out.reset();
            for (auto const n : rule.holders)
                out = with(std::move(out), hosts_[n].name);
        }
        return out;
    }

    static std::optional<std::set<daemon_name>>
    with(std::optional<std::set<daemon_name>> names, daemon_name const& name)
    {
        if (!names)
            names.emplace();
        names->insert(name);
        return names;
    }

    // Applies the last limit and placement.
    void configure_last()
    {
        configure_rule last;
        for (auto const& rule : trace_.limits)
            if (rule.at <= simulation_.now())
                last = rule;
        configure(last);
    }

    // With contact reports, a workspace is reported when a statement waits or
    // the leader asks for it, as in a daemon.
    void add_workspace(rate_limiter& to, instant now)
    {
        bool const is_asked_for =
            limiter_settings_.contact_interval > duration{};
        to.add_workspace(workspace, now, is_asked_for ? never : now);
        to.set_first_contact(now);
    }

    void start(unsigned n)
    {
        auto& it = hosts_[n];
        auto const now = it.clock.local(simulation_.now());
        ++it.incarnation;
        it.lost = false;
        it.next_tick = never;
        it.admission_queues.clear();
        if (trace_.threads == 0)
        {
            it.admission_queues.push_back(std::make_unique<admission_queue>(
                limiter_settings_, it.name, it.incarnation));
            add_workspace(it.admission_queues.front()->limiter, now);
            tick_queue(n, 0);
            return;
        }
        it.daemon_limiter = std::make_unique<rate_limiter>(
            limiter_settings_, it.name, it.incarnation);
        add_workspace(*it.daemon_limiter, now);
        it.thread_allocator =
            std::make_unique<token_allocator>(thread_level_settings(), 1, now);
        it.thread_allocator->configure(workspace, 0, thread_level_burst, now);
        for (unsigned k = 0; k != trace_.threads; ++k)
        {
            daemon_name const name("thread" + std::to_string(k));
            it.thread_allocator->register_holder(name, now);
            it.admission_queues.push_back(
                std::make_unique<admission_queue>(limiter_settings_, name, 1));
            it.admission_queues.back()->limiter.add_workspace(workspace, now);
        }
        for (unsigned k = 0; k != trace_.threads; ++k)
            tick_queue(n, k);
        tick_control(n);
    }

    void configure(configure_rule const& rule)
    {
        if (leader_)
        {
            leader_->configure(workspace, rule.rate, rule.burst,
                               leader_clock_.local(simulation_.now()),
                               floor_holders());
            tick_leader();
        }
    }

    void apply(fault_rule const& rule)
    {
        if (rule.what == fault_rule::kind::leader)
        {
            leader_.reset();
            at(simulation_.now() + election_time, [this] { elect(); });
            return;
        }
        if (rule.what == fault_rule::kind::cut)
            return;
        for (auto n = rule.first_host; n <= rule.last_host; ++n)
        {
            if (rule.what == fault_rule::kind::freeze)
            {
                hosts_[n].frozen_until =
                    std::max(hosts_[n].frozen_until, rule.to);
                continue;
            }
            hosts_[n].admission_queues.clear();
            ++hosts_[n].incarnation;
            hosts_[n].lost = true;
            if (rule.what == fault_rule::kind::remove)
                set_registered(n, false);
            if (rule.what == fault_rule::kind::add)
                set_registered(n, true);
            if (rule.what == fault_rule::kind::restart ||
                rule.what == fault_rule::kind::add)
                start(n);
        }
    }

    void set_registered(unsigned n, bool is_registered)
    {
        auto& it = hosts_[n];
        if (std::exchange(it.registered, is_registered) == is_registered ||
            !leader_)
            return;
        auto const now = leader_clock_.local(simulation_.now());
        if (is_registered)
            leader_->register_holder(it.name, now);
        else
            leader_->remove_holder(it.name, now);
        tick_leader();
    }

    [[nodiscard]] bool message_passes(unsigned n)
    {
        auto const now = simulation_.now();
        for (auto const& rule : trace_.faults)
            if (rule.what == fault_rule::kind::cut && rule.from <= now &&
                now < rule.to && rule.first_host <= n && n <= rule.last_host)
                return false;
        return trace_.loss == 0 || random_.unit() >= trace_.loss;
    }

    duration delay()
    {
        return trace_.latency +
               duration(trace_.jitter.count() == 0
                            ? 0
                            : static_cast<duration::rep>(
                                  random_.below(static_cast<std::uint64_t>(
                                      trace_.jitter.count()))));
    }

    void arrive(std::size_t n)
    {
        auto& it = hosts_[arrivals_[n].host];
        if (it.lost)
            return;
        auto const k = static_cast<unsigned>(n % it.admission_queues.size());
        it.admission_queues[k]->waiting.push_back(n);
        tick_queue(arrivals_[n].host, k);
    }

    // Admits waiting requests, refuses those that have waited too long, and
    // sends the limiter's token requests.
    void tick_queue(unsigned n, unsigned k)
    {
        auto& it = hosts_[n];
        auto& s = *it.admission_queues[k];
        auto const virtual_now = simulation_.now();
        auto const now = it.clock.local(virtual_now);
        while (!s.waiting.empty())
        {
            auto const first = s.waiting.front();
            auto const deadline = arrivals_[first].at + trace_.max_wait;
            if (virtual_now < deadline &&
                s.limiter.try_consume(workspace, 1, now))
            {
                admitted_[first] = virtual_now;
                admission_times_.push_back(virtual_now);
            }
            else if (virtual_now < deadline)
                break;
            s.waiting.pop_front();
        }
        s.limiter.set_waiting(workspace,
                              static_cast<std::int64_t>(s.waiting.size()), now);
        for (auto const& request : s.limiter.tick(now))
            if (trace_.threads == 0)
                send(n, request);
            else
                at_host(n, virtual_now + thread_latency,
                        [this, n, incarnation = it.incarnation, request]
                        { receive_thread_request(n, incarnation, request); });
        if (trace_.threads == 0)
            if (auto const contact = s.limiter.tick_contact(now))
                send(n, *contact);
        auto next_tick = it.clock.global(s.limiter.next_deadline());
        if (!s.waiting.empty())
            next_tick = std::min(next_tick, arrivals_[s.waiting.front()].at +
                                                trace_.max_wait);
        next_tick = std::max(next_tick, virtual_now + duration(1));
        if (next_tick >= s.next_tick && s.next_tick > virtual_now)
            return;
        s.next_tick = next_tick;
        at_host(n, next_tick,
                [this, n, k, incarnation = it.incarnation]
                {
                    if (hosts_[n].incarnation == incarnation)
                        tick_queue(n, k);
                });
    }

    void receive_thread_request(unsigned n,
                                std::uint64_t incarnation,
                                token_request const& request)
    {
        auto& it = hosts_[n];
        if (it.incarnation != incarnation || it.lost)
            return;
        it.thread_allocator->receive(request,
                                     it.clock.local(simulation_.now()));
        tick_control(n);
    }

    // Runs the control thread of a daemon, which passes tokens of the leader on
    // to the traffic threads.
    void tick_control(unsigned n)
    {
        auto& it = hosts_[n];
        auto const virtual_now = simulation_.now();
        auto const now = it.clock.local(virtual_now);
        transfer_tokens(*it.daemon_limiter, *it.thread_allocator, workspace,
                        now);
        for (auto const& grant : it.thread_allocator->tick(now))
        {
            auto const k =
                static_cast<unsigned>(grant.holder.str().back() - '0');
            at_host(n, virtual_now + thread_latency,
                    [this, n, k, incarnation = it.incarnation, grant]
                    {
                        auto& to = hosts_[n];
                        if (to.incarnation != incarnation || to.lost)
                            return;
                        to.admission_queues[k]->limiter.receive(
                            grant, to.clock.local(simulation_.now()));
                        tick_queue(n, k);
                    });
        }
        for (auto const& request : it.daemon_limiter->tick(now))
            send(n, request);
        if (auto const contact = it.daemon_limiter->tick_contact(now))
            send(n, *contact);
        auto const next_tick = std::max(
            it.clock.global(std::min(it.daemon_limiter->next_deadline(),
                                     it.thread_allocator->next_deadline())),
            virtual_now + duration(1));
        if (next_tick >= it.next_tick && it.next_tick > virtual_now)
            return;
        it.next_tick = next_tick;
        at_host(n, next_tick,
                [this, n, incarnation = it.incarnation]
                {
                    if (hosts_[n].incarnation == incarnation)
                        tick_control(n);
                });
    }

    // Sends a token request or a contact report.
    template <class Request>
    void send(unsigned n, Request const& request)
    {
        ++messages_;
        if (!message_passes(n))
            return;
        at(simulation_.now() + delay(),
           [this, n, request]
           {
               if (!leader_ || !message_passes(n))
                   return;
               leader_->receive(request,
                                leader_clock_.local(simulation_.now()));
               tick_leader();
           });
    }

    // Sends a token grant or a contact grant.
    template <class Grant>
    void send_grant(Grant const& grant)
    {
        auto const n =
            static_cast<unsigned>(std::stoul(grant.holder.str().substr(4)));
        ++messages_;
        if (message_passes(n))
            at_host(n, simulation_.now() + delay(),
                    [this, n, grant] { receive_grant(n, grant); });
    }

    void tick_leader()
    {
        auto const virtual_now = simulation_.now();
        for (auto const& grant :
             leader_->tick(leader_clock_.local(virtual_now)))
            send_grant(grant);
        for (auto const& grant :
             leader_->tick_contacts(leader_clock_.local(virtual_now)))
            send_grant(grant);
        auto const next_tick =
            std::max(leader_clock_.global(leader_->next_deadline()),
                     virtual_now + duration(1));
        if (next_tick >= next_leader_tick_ && next_leader_tick_ > virtual_now)
            return;
        next_leader_tick_ = next_tick;
        at(next_tick,
           [this, term = term_]
           {
               if (leader_ && term_ == term)
                   tick_leader();
           });
    }

    template <class Grant>
    void receive_grant(unsigned n, Grant const& grant)
    {
        auto& it = hosts_[n];
        if (it.lost || !message_passes(n))
            return;
        auto const now = it.clock.local(simulation_.now());
        if (trace_.threads == 0)
        {
            it.admission_queues.front()->limiter.receive(grant, now);
            tick_queue(n, 0);
            return;
        }
        it.daemon_limiter->receive(grant, now);
        tick_control(n);
    }

    rate_outcome outcome()
    {
        rate_outcome result;
        auto const& limit = trace_.limits.front();
        auto const hosts = static_cast<double>(trace_.hosts);
        auto const rate = static_cast<double>(limit.rate);
        auto const burst = static_cast<double>(limit.burst);
        exact_bucket ideal(rate, burst);
        std::vector<exact_bucket> divided(
            trace_.hosts, exact_bucket(rate / hosts, burst / hosts));
        auto rule = trace_.limits.begin();
        double wait = 0;
        for (std::size_t n = 0; n != arrivals_.size(); ++n)
        {
            auto const& it = arrivals_[n];
            // The replay ends before the last requests are admitted or refused.
            if (it.at + trace_.max_wait >= instant(trace_.length))
                break;
            for (; rule != trace_.limits.end() && rule->at <= it.at; ++rule)
                ideal.configure(static_cast<double>(rule->rate),
                                static_cast<double>(rule->burst), rule->at);
            bool const within = ideal.try_consume(it.at);
            ++result.offered;
            if (!admitted_[n])
                ++result.refused;
            if (!admitted_[n] && within)
                ++result.refused_within_rate;
            if (admitted_[n])
                wait += std::chrono::duration<double, std::milli>(
                            *admitted_[n] - it.at)
                            .count();
            // A request waits as long for a token of the divided bucket.
            bool const admitted =
                divided[it.host].consume_within(it.at, trace_.max_wait);
            if (!admitted && within)
                ++result.divided_refused_within_rate;
        }
        auto const admitted = result.offered - result.refused;
        result.wait = admitted == 0 ? 0 : wait / static_cast<double>(admitted);
        result.messages = messages_;
        std::sort(admission_times_.begin(), admission_times_.end());
        auto const grace = with_clock_margin(settings_.lifetime) +
                           2 * (trace_.latency + trace_.jitter);
        result.over_rate = count_over_rate(admission_times_, trace_.limits,
                                           grace, 2 * trace_.drift);
        return result;
    }

    rate_trace const& trace_;
    token_allocator_settings settings_;
    rate_limiter_settings limiter_settings_;
    simulation simulation_;
    random_source random_;
    std::vector<arrival> arrivals_;
    std::vector<std::optional<instant>> admitted_;
    std::vector<instant> admission_times_;
    std::vector<host> hosts_;
    std::unique_ptr<token_allocator> leader_;
    host_clock leader_clock_;
    std::uint64_t term_ = 0;
    instant next_leader_tick_ = never;
    std::uint64_t messages_ = 0;
};

} // namespace

std::uint64_t count_over_rate(std::vector<instant> const& admission_times,
                              std::vector<configure_rule> const& limits,
                              duration grace,
                              double rate_error)
{
    // Returns the greatest limit in force at a time. A limit stays in force
    // until `grace` after the next one.
    auto const limit_at = [&](instant time)
    {
        configure_rule greatest_limit;
        for (std::size_t n = 0; n != limits.size(); ++n)
        {
            bool const ended =
                n + 1 != limits.size() && limits[n + 1].at + grace <= time;
            if (limits[n].at > time || ended)
                continue;
            greatest_limit.rate = std::max(greatest_limit.rate, limits[n].rate);
            greatest_limit.burst =
                std::max(greatest_limit.burst, limits[n].burst);
        }
        return greatest_limit;
    };
    auto const first = limit_at(instant{});
    exact_bucket bucket(static_cast<double>(first.rate) * (1 + rate_error),
                        static_cast<double>(first.burst));
    std::uint64_t over = 0;
    for (auto const admission : admission_times)
    {
        if (limits.size() > 1)
        {
            auto const limit = limit_at(admission);
            bucket.configure(static_cast<double>(limit.rate) * (1 + rate_error),
                             static_cast<double>(limit.burst), admission);
        }
        over += bucket.try_consume(admission) ? 0 : 1;
    }
    return over;
}

rate_outcome replay_rate(rate_trace const& trace,
                         std::uint64_t seed,
                         token_allocator_settings settings,
                         rate_limiter_settings limiter_settings)
{
    return replayer(trace, seed, settings, limiter_settings).run();
}

} // namespace basilreach::limits::replay
