#include <basilreach/daemon/limit_client.hpp>
#include <basilreach/daemon/limit_leader.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <basilreach/control/contact_monitor.hpp>
#include <basilreach/control/leader.hpp>
#include <basilreach/control/lease_holder.hpp>
#include <basilreach/daemon/view_builder.hpp>

using namespace basilreach;
using namespace basilreach::daemon;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};
constexpr duration step = 2ms;
constexpr duration latency = 1400us;

constexpr std::size_t daemon_count = 195;
constexpr std::size_t server_count = 12;
constexpr std::size_t workspace_count = 4;
constexpr double statements_per_second = 6;

// Processor time of the leader for a message and its answer.
constexpr duration message_price = 60us;

// The share of a processor that the leader has without trouble.
constexpr double usual_budget = 0.3;

// Time in which a daemon that gave up the leader is directed to it again.
constexpr duration redirect_time = 5ms;

daemon_name name_of(std::size_t n)
{
    return daemon_name("daemon-" + std::to_string(n));
}

server_name server_of(std::size_t n)
{
    return server_name("server-" + std::to_string(n));
}

control::control_state make_state()
{
    control::control_state out(make_rules_parser());
    std::uint64_t index = 0;
    std::string rules =
        "server_limit g connections=135 slots=3  # asked by the test: limit\n";
    for (std::size_t n = 0; n != workspace_count; ++n)
        rules += "workspace w" + std::to_string(n) +
                 " rate=100 burst=100  # asked by the test: workspace\n";
    out.apply(++index, {{}, "test", control::offer_rules{1, rules}});
    for (std::size_t n = 0; n != daemon_count; ++n)
        out.apply(++index, {{},
                            "test",
                            control::register_daemon{name_of(n),
                                                     data_centre_name("a")}});
    for (std::size_t n = 0; n != server_count; ++n)
    {
        control::announce_server it;
        it.server = server_of(n);
        it.group = group_name("g");
        it.data_centre = data_centre_name("a");
        it.address = "127.0.0.1:1";
        it.sequence = 1;
        out.apply(++index, {{}, "test", it});
    }
    return out;
}

// The control part of a daemon, whose clients run statements at random servers.
struct simulated_daemon
{
    simulated_daemon(control::control_state const& state,
                     std::size_t n,
                     std::deque<messages::message>& sent)
        : context(std::make_unique<daemon_context>()),
          leases(name_of(n), data_centre_name("a"), 1, 1, {}, start),
          contact({}, n, start)
    {
        context->settings.name = name_of(n);
        limits = std::make_unique<limit_client>(
            *context, 1,
            [&sent](messages::message const& it) { sent.push_back(it); },
            start);
        limits->configure(state, start);
        leases.receive(control::state_offered{state.revision()});
        leases.receive(control::state_adopted{0, state.revision()});
    }

    std::unique_ptr<daemon_context> context;
    std::unique_ptr<limit_client> limits;
    control::lease_holder leases;
    control::contact_monitor contact;
    std::uint64_t link = 1;
    instant directed_at = start;
    // Servers that the daemon is done with, by time.
    std::deque<std::pair<instant, server_name>> used;
};

// A leader with a share of a processor and the daemons of a large fleet, in
// virtual time. Every message costs the leader the same processor time, and it
// takes them in the order in which they arrive.
class simulated_fleet
{
public:
    simulated_fleet()
        : state_(make_state()), leader_(state_, {}, start),
          limits_(
              {},
              1,
              true,
              [this](daemon_name const& to, messages::message const& it)
              { answer(to, it); },
              start)
    {
        limits_.configure(state_, start);
        for (std::size_t n = 0; n != daemon_count; ++n)
        {
            daemons_.push_back(
                std::make_unique<simulated_daemon>(state_, n, sent_));
            index_of_[name_of(n)] = n;
        }
    }

    // Runs for a time with a share of a processor for the leader.
    void run(duration time, double budget)
    {
        for (auto const end = now_ + time; now_ < end; now_ += step)
        {
            run_leader(budget);
            deliver_answers();
            for (std::size_t n = 0; n != daemon_count; ++n)
                run_daemon(n);
        }
    }

    // How long the message that the leader handles next has been waiting.
    [[nodiscard]] duration wait() const
    {
        return to_leader_.empty()
                   ? duration{}
                   : std::max(now_ - to_leader_.front().at, duration{});
    }

    // Daemons that have no lease now.
    [[nodiscard]] std::size_t without_lease() const
    {
        return static_cast<std::size_t>(
            std::count_if(daemons_.begin(), daemons_.end(),
                          [this](auto const& it)
                          { return it->leases.valid_until() <= now_; }));
    }

    // Times that a daemon has given up the leader.
    std::size_t switches = 0;
    // Messages that the leader has handled.
    std::size_t handled = 0;

private:
    struct transit
    {
        instant at;
        std::size_t daemon = 0;
        std::uint64_t link = 0;
        messages::message body;
    };

    void answer(daemon_name const& to, messages::message const& it)
    {
        auto const n = index_of_.at(to);
        to_daemons_.push_back({now_ + latency, n, links_[to], it});
    }

    void run_leader(double budget)
    {
        // Processor time that was not used is not kept.
        credit_ = std::min(credit_, duration{}) +
                  std::chrono::duration_cast<duration>(step * budget);
        while (credit_ > duration{} && !to_leader_.empty() &&
               to_leader_.front().at <= now_)
        {
            credit_ -= message_price;
            ++handled;
            handle(to_leader_.front());
            to_leader_.pop_front();
        }
        for (auto const& it : leader_.tick(now_))
            if (auto const* const grant =
                    std::get_if<control::grant_lease>(&it))
                answer(grant->daemon, *grant);
        limits_.tick(never, now_);
    }

    void handle(transit const& it)
    {
        auto& latest = links_[name_of(it.daemon)];
        if (it.link < latest)
            return;
        latest = it.link;
        if (auto const* const renewal =
                std::get_if<control::lease_renewal>(&it.body))
            return leader_.receive(*renewal);
        limits_.receive(std::get<messages::limit_requests>(it.body), now_);
    }

    void deliver_answers()
    {
        while (!to_daemons_.empty() && to_daemons_.front().at <= now_)
        {
            auto const it = std::move(to_daemons_.front());
            to_daemons_.pop_front();
            auto& to = *daemons_[it.daemon];
            if (it.link == to.link)
                deliver(to, it.body);
        }
    }

    void deliver(simulated_daemon& to, messages::message const& it)
    {
        if (auto const* const grant = std::get_if<control::grant_lease>(&it))
        {
            to.contact.record_grant(now_);
            return to.leases.receive(*grant);
        }
        to.contact.record_answer(now_);
        to.limits->receive(std::get<messages::limit_grants>(it), now_);
    }

    void run_daemon(std::size_t n)
    {
        auto& it = *daemons_[n];
        if (it.contact.deadline() <= now_)
            give_up_leader(it);
        run_statements(it);
        it.limits->set_contact(it.contact.is_in_contact());
        if (now_ < it.directed_at)
            return;
        if (it.leases.next_deadline() <= now_)
            for (auto const& output : it.leases.tick(now_))
                if (auto const* const renewal =
                        std::get_if<control::lease_renewal>(&output))
                    sent_.push_back(*renewal);
        it.limits->tick(now_);
        for (auto& message : std::exchange(sent_, {}))
        {
            it.contact.record_message(now_);
            to_leader_.push_back(
                {now_ + latency, n, it.link, std::move(message)});
        }
    }

    // The daemon asks another control host, which names the same leader.
    void give_up_leader(simulated_daemon& it)
    {
        ++switches;
        ++it.link;
        it.contact.record_switch(now_, 5);
        it.contact.record_redirect(now_);
        it.leases.receive(control::leader_changed{});
        it.limits->change_allocator(now_);
        it.directed_at = now_ + redirect_time;
    }

    void run_statements(simulated_daemon& it)
    {
        std::bernoulli_distribution arrives(
            statements_per_second *
            std::chrono::duration<double>(step).count());
        if (arrives(random_))
        {
            auto const server = server_of(random_() % server_count);
            it.limits->receive(traffic::connections_used{server, 0, 1}, now_);
            it.used.emplace_back(now_ + 100ms, server);
        }
        while (!it.used.empty() && it.used.front().first <= now_)
        {
            it.limits->receive(
                traffic::connections_used{it.used.front().second, 0, 0}, now_);
            it.used.pop_front();
        }
    }

    instant now_ = start;
    control::control_state state_;
    control::leader leader_;
    limit_leader limits_;
    std::deque<messages::message> sent_;
    std::vector<std::unique_ptr<simulated_daemon>> daemons_;
    std::map<daemon_name, std::size_t> index_of_;
    std::map<daemon_name, std::uint64_t> links_;
    std::deque<transit> to_leader_;
    std::deque<transit> to_daemons_;
    duration credit_{};
    std::mt19937 random_{39};
};

} // namespace

// Guards against an overload of the leader that outlives its cause: daemons
// that got late answers sent more messages, and lost their leases although
// they were in contact.
TEST_CASE("the leader of a large fleet recovers from a lack of processor time")
{
    constexpr double reduced_budget = 0.1;
    simulated_fleet fleet;
    fleet.run(3s, usual_budget);
    CHECK(fleet.without_lease() == 0);
    for (int second = 0; second != 4; ++second)
    {
        fleet.run(1s, reduced_budget);
        CHECK(fleet.without_lease() == 0);
    }
    fleet.run(2s, usual_budget);
    CHECK(fleet.without_lease() == 0);
    CHECK(fleet.wait() < 100ms);
    auto const switches = fleet.switches;
    fleet.run(1s, usual_budget);
    CHECK(fleet.switches == switches);
}
