#include "rate_replay.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

#include <basilreach/limits/token_transfer.hpp>

#include "simulation.hpp"

namespace basilreach::limits::replay
{

namespace
{

workspace_name const workspace("w");

// Time from the end of a leader's authority to its successor's start.
constexpr duration election_time = std::chrono::milliseconds(300);

// Time for a message between two threads of a daemon.
constexpr duration thread_latency = std::chrono::microseconds(20);

// One bucket with exact refill, for the checks and the baselines.
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

    // Spends a token now or when one is refilled within the patience. Requests
    // come in order, so a later one waits behind an earlier one.
    bool spend_within(instant now, duration patience)
    {
        refill(now);
        auto const missing = std::max(1 - level_, 0.0);
        if (missing / rate_ > std::chrono::duration<double>(patience).count())
            return false;
        level_ -= 1;
        return true;
    }

    bool try_consume(instant now)
    {
        refill(now);
        // The tolerance covers rounding only.
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
            auto const turn =
                rule.move > duration{}
                    ? static_cast<std::uint64_t>((at - rule.from) / rule.move)
                    : random.below(hosts);
            all.push_back(
                {at, rule.first_host + static_cast<unsigned>(turn % hosts)});
        }
    }
    std::sort(all.begin(), all.end());
    return all;
}

namespace
{

// A spender and the requests that wait for its tokens.
struct spender
{
    explicit spender(rate_limiter_settings settings,
                     daemon_name const& name,
                     std::uint64_t incarnation)
        : holder(settings, name, incarnation)
    {
    }

    rate_limiter holder;
    std::deque<std::size_t> waiting;
    instant wake = never;
};

struct host
{
    daemon_name name;
    host_clock clock;
    std::uint64_t incarnation = 0;
    bool lost = false;
    std::vector<std::unique_ptr<spender>> spenders;
    // With threads: the daemon's holder and its second level.
    std::unique_ptr<rate_limiter> upper;
    std::unique_ptr<token_allocator> lower;
    instant wake = never;
};

class replayer
{
public:
    replayer(rate_trace const& trace,
             std::uint64_t seed,
             token_allocator_settings settings,
             rate_limiter_settings holder_settings)
        : trace_(trace), settings_(settings), holder_settings_(holder_settings),
          random_(seed), arrivals_(make_arrivals(trace, random_)),
          admitted_(arrivals_.size())
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
        elect();
        for (unsigned n = 0; n != trace_.hosts; ++n)
            start(n);
        for (auto const& rule : trace_.limits)
            at(rule.at, [this, &rule] { configure(rule); });
        for (auto const& rule : trace_.faults)
            at(rule.from, [this, &rule] { apply(rule); });
        for (std::size_t n = 0; n != arrivals_.size(); ++n)
            at(arrivals_[n].at, [this, n] { arrive(n); });
        simulation_.run(instant(trace_.length));
        return outcome();
    }

private:
    void at(instant time, std::function<void()> event)
    {
        simulation_.at(time, std::move(event));
    }

    host_clock make_clock()
    {
        return {duration(static_cast<duration::rep>(random_.below(1'000'000))),
                trace_.drift * (2 * random_.unit() - 1)};
    }

    // Starts the next leader. The earlier one has no authority any more.
    void elect()
    {
        leader_clock_ = make_clock();
        auto const now = leader_clock_.local(simulation_.now());
        leader_ = std::make_unique<token_allocator>(settings_, ++term_, now);
        if (term_ == 1)
            leader_->assume_no_earlier_grants(now);
        leader_wake_ = never;
        for (auto const& it : hosts_)
            leader_->register_holder(it.name, now);
        for (auto const& rule : trace_.limits)
            if (rule.at <= simulation_.now())
                leader_->configure(workspace, rule.rate, rule.burst, now);
        tick_leader();
    }

    void start(unsigned n)
    {
        auto& it = hosts_[n];
        auto const now = it.clock.local(simulation_.now());
        ++it.incarnation;
        it.lost = false;
        it.wake = never;
        it.spenders.clear();
        if (trace_.threads == 0)
        {
            it.spenders.push_back(std::make_unique<spender>(
                holder_settings_, it.name, it.incarnation));
            it.spenders.front()->holder.add_workspace(workspace, now);
            tick_spender(n, 0);
            return;
        }
        it.upper = std::make_unique<rate_limiter>(holder_settings_, it.name,
                                                  it.incarnation);
        it.upper->add_workspace(workspace, now);
        it.lower =
            std::make_unique<token_allocator>(thread_level_settings(), 1, now);
        it.lower->configure(workspace, 0, thread_level_burst, now);
        for (unsigned k = 0; k != trace_.threads; ++k)
        {
            daemon_name const name("thread" + std::to_string(k));
            it.lower->register_holder(name, now);
            it.spenders.push_back(
                std::make_unique<spender>(holder_settings_, name, 1));
            it.spenders.back()->holder.add_workspace(workspace, now);
        }
        for (unsigned k = 0; k != trace_.threads; ++k)
            tick_spender(n, k);
        tick_control(n);
    }

    void configure(configure_rule const& rule)
    {
        if (leader_)
        {
            leader_->configure(workspace, rule.rate, rule.burst,
                               leader_clock_.local(simulation_.now()));
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
            hosts_[n].spenders.clear();
            ++hosts_[n].incarnation;
            hosts_[n].lost = true;
            if (rule.what == fault_rule::kind::restart)
                start(n);
        }
    }

    [[nodiscard]] bool passes(unsigned n)
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
        auto const k = static_cast<unsigned>(n % it.spenders.size());
        it.spenders[k]->waiting.push_back(n);
        tick_spender(arrivals_[n].host, k);
    }

    // Admits waiting requests, refuses those that waited too long, and sends
    // the holder's requests.
    void tick_spender(unsigned n, unsigned k)
    {
        auto& it = hosts_[n];
        auto& s = *it.spenders[k];
        auto const virtual_now = simulation_.now();
        auto const now = it.clock.local(virtual_now);
        while (!s.waiting.empty())
        {
            auto const first = s.waiting.front();
            auto const deadline = arrivals_[first].at + trace_.patience;
            if (virtual_now < deadline &&
                s.holder.try_consume(workspace, 1, now))
            {
                admitted_[first] = virtual_now;
                runs_.push_back(virtual_now);
            }
            else if (virtual_now < deadline)
                break;
            s.waiting.pop_front();
        }
        s.holder.set_waiting(workspace,
                             static_cast<std::int64_t>(s.waiting.size()), now);
        for (auto const& request : s.holder.tick(now))
            if (trace_.threads == 0)
                send(n, request);
            else
                at(virtual_now + thread_latency,
                   [this, n, incarnation = it.incarnation, request]
                   { receive_lower(n, incarnation, request); });
        auto wake = it.clock.global(s.holder.next_deadline());
        if (!s.waiting.empty())
            wake = std::min(wake,
                            arrivals_[s.waiting.front()].at + trace_.patience);
        wake = std::max(wake, virtual_now + duration(1));
        if (wake >= s.wake && s.wake > virtual_now)
            return;
        s.wake = wake;
        at(wake,
           [this, n, k, incarnation = it.incarnation]
           {
               if (hosts_[n].incarnation == incarnation)
                   tick_spender(n, k);
           });
    }

    void receive_lower(unsigned n,
                       std::uint64_t incarnation,
                       token_request const& request)
    {
        auto& it = hosts_[n];
        if (it.incarnation != incarnation || it.lost)
            return;
        it.lower->receive(request, it.clock.local(simulation_.now()));
        tick_control(n);
    }

    // The control thread of a daemon: the second level between the leader and
    // the traffic threads.
    void tick_control(unsigned n)
    {
        auto& it = hosts_[n];
        auto const virtual_now = simulation_.now();
        auto const now = it.clock.local(virtual_now);
        transfer_tokens(*it.upper, *it.lower, workspace, now);
        for (auto const& grant : it.lower->tick(now))
        {
            auto const k =
                static_cast<unsigned>(grant.holder.str().back() - '0');
            at(virtual_now + thread_latency,
               [this, n, k, incarnation = it.incarnation, grant]
               {
                   auto& to = hosts_[n];
                   if (to.incarnation != incarnation || to.lost)
                       return;
                   to.spenders[k]->holder.receive(
                       grant, to.clock.local(simulation_.now()));
                   tick_spender(n, k);
               });
        }
        for (auto const& request : it.upper->tick(now))
            send(n, request);
        auto const wake =
            std::max(it.clock.global(std::min(it.upper->next_deadline(),
                                              it.lower->next_deadline())),
                     virtual_now + duration(1));
        if (wake >= it.wake && it.wake > virtual_now)
            return;
        it.wake = wake;
        at(wake,
           [this, n, incarnation = it.incarnation]
           {
               if (hosts_[n].incarnation == incarnation)
                   tick_control(n);
           });
    }

    void send(unsigned n, token_request const& request)
    {
        ++messages_;
        if (!passes(n))
            return;
        at(simulation_.now() + delay(),
           [this, n, request]
           {
               if (!leader_ || !passes(n))
                   return;
               leader_->receive(request,
                                leader_clock_.local(simulation_.now()));
               tick_leader();
           });
    }

    void tick_leader()
    {
        auto const virtual_now = simulation_.now();
        for (auto const& grant :
             leader_->tick(leader_clock_.local(virtual_now)))
        {
            auto const n =
                static_cast<unsigned>(std::stoul(grant.holder.str().substr(4)));
            ++messages_;
            if (passes(n))
                at(virtual_now + delay(),
                   [this, n, grant] { receive_grant(n, grant); });
        }
        auto const wake =
            std::max(leader_clock_.global(leader_->next_deadline()),
                     virtual_now + duration(1));
        if (wake >= leader_wake_ && leader_wake_ > virtual_now)
            return;
        leader_wake_ = wake;
        at(wake,
           [this, term = term_]
           {
               if (leader_ && term_ == term)
                   tick_leader();
           });
    }

    void receive_grant(unsigned n, token_grant const& grant)
    {
        auto& it = hosts_[n];
        if (it.lost || !passes(n))
            return;
        auto const now = it.clock.local(simulation_.now());
        if (trace_.threads == 0)
        {
            it.spenders.front()->holder.receive(grant, now);
            tick_spender(n, 0);
            return;
        }
        it.upper->receive(grant, now);
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
            // The last requests would be refused after the end of the replay.
            if (it.at + trace_.patience >= instant(trace_.length))
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
            // The divided bucket has the same time to find a token.
            bool const admitted =
                divided[it.host].spend_within(it.at, trace_.patience);
            if (!admitted && within)
                ++result.divided_refused_within_rate;
        }
        auto const admitted = result.offered - result.refused;
        result.wait = admitted == 0 ? 0 : wait / static_cast<double>(admitted);
        result.messages = messages_;
        std::sort(runs_.begin(), runs_.end());
        auto const grace = with_clock_margin(settings_.lifetime) +
                           2 * (trace_.latency + trace_.jitter);
        result.over_rate =
            count_over_rate(runs_, trace_.limits, grace, 2 * trace_.drift);
        return result;
    }

    rate_trace const& trace_;
    token_allocator_settings settings_;
    rate_limiter_settings holder_settings_;
    simulation simulation_;
    random_source random_;
    std::vector<arrival> arrivals_;
    std::vector<std::optional<instant>> admitted_;
    std::vector<instant> runs_;
    std::vector<host> hosts_;
    std::unique_ptr<token_allocator> leader_;
    host_clock leader_clock_;
    std::uint64_t term_ = 0;
    instant leader_wake_ = never;
    std::uint64_t messages_ = 0;
};

} // namespace

std::uint64_t count_over_rate(std::vector<instant> const& runs,
                              std::vector<configure_rule> const& limits,
                              duration grace,
                              double rate_error)
{
    // The limit in force at a time: the greatest of those not older than the
    // grace time.
    auto const greatest = [&](instant time)
    {
        configure_rule most;
        for (std::size_t n = 0; n != limits.size(); ++n)
        {
            bool const ended =
                n + 1 != limits.size() && limits[n + 1].at + grace <= time;
            if (limits[n].at > time || ended)
                continue;
            most.rate = std::max(most.rate, limits[n].rate);
            most.burst = std::max(most.burst, limits[n].burst);
        }
        return most;
    };
    auto const first = greatest(instant{});
    exact_bucket bucket(static_cast<double>(first.rate) * (1 + rate_error),
                        static_cast<double>(first.burst));
    std::uint64_t over = 0;
    for (auto const run : runs)
    {
        if (limits.size() > 1)
        {
            auto const limit = greatest(run);
            bucket.configure(static_cast<double>(limit.rate) * (1 + rate_error),
                             static_cast<double>(limit.burst), run);
        }
        over += bucket.try_consume(run) ? 0 : 1;
    }
    return over;
}

rate_outcome replay_rate(rate_trace const& trace,
                         std::uint64_t seed,
                         token_allocator_settings settings,
                         rate_limiter_settings holder_settings)
{
    return replayer(trace, seed, settings, holder_settings).run();
}

} // namespace basilreach::limits::replay
