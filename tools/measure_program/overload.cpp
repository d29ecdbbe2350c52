// Replays a load above the capacity of a group of servers, through the engines
// of three hosts: with the order by priority class, and without as baseline.
#include "figure.hpp"
#include "subcommands.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <basilreach/traffic/engine.hpp>

#include <simulation.hpp>

namespace basilreach::measure
{

namespace
{

using limits::replay::random_source;
using limits::replay::simulation;
using namespace traffic;
using std::chrono::milliseconds;

constexpr std::size_t hosts = 3;
constexpr std::size_t servers = 3;
constexpr std::size_t slots = 4;
// Statements and openings that a server lets wait for a slot.
constexpr std::size_t server_queue = 24;
constexpr std::uint32_t connections_per_host = 18;
constexpr duration opening_work = milliseconds(12);
constexpr duration tick_interval = milliseconds(1);
// Round trip between host and server.
constexpr duration network_time = milliseconds(1);
constexpr int max_attempts = 3;
// Pause before another attempt where the refusal does not state one.
constexpr duration default_retry = milliseconds(20);
// The first part of the overload, in which the hosts learn service times, is
// not counted.
constexpr duration settling_time = std::chrono::seconds(2);
constexpr duration recovery_window = milliseconds(250);
constexpr double recovered_share = 0.95;

struct route_load
{
    std::string name;
    double share = 0;
    double work_ms = 0;
    int target_ms = 0;
    int deadline_ms = 0;
    int priority = 0;
    bool at_primary = false;
    double writes = 0;
};

struct phase
{
    double seconds = 0;
    double load = 0;
};

struct load_trace
{
    std::vector<route_load> routes;
    std::vector<phase> phases;
    std::size_t workspaces = 1;
};

load_trace read_trace(std::string const& path)
{
    load_trace out;
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);)
    {
        std::istringstream words(line);
        std::string kind;
        words >> kind;
        if (kind == "route")
        {
            route_load it;
            std::string reads;
            words >> it.name >> it.share >> it.work_ms >> it.target_ms >>
                it.deadline_ms >> it.priority >> reads >> it.writes;
            it.at_primary = reads == "primary";
            out.routes.push_back(it);
        }
        else if (kind == "phase")
        {
            phase it;
            words >> it.seconds >> it.load;
            out.phases.push_back(it);
        }
        else if (kind == "workspaces")
            words >> out.workspaces;
    }
    return out;
}

control_view_ptr make_view(load_trace const& trace, bool has_priorities)
{
    auto view = std::make_shared<control_view>();
    view->revision = 1;
    view->has_priorities = has_priorities;
    for (auto const& it : trace.routes)
    {
        rules::route_rule route;
        route.group = group_name("g");
        route.timeout = milliseconds(it.deadline_ms);
        route.target = milliseconds(it.target_ms);
        route.priority = static_cast<rules::priority>(it.priority);
        route.open = workspace_name("-");
        route.reads = it.at_primary ? rules::read_guarantee::latest
                                    : rules::read_guarantee::bounded_age;
        route.max_age = milliseconds(2500);
        view->routes.emplace(route_name(it.name), route);
    }
    for (std::size_t n = 0; n != servers; ++n)
        view->servers.emplace(
            server_name("s" + std::to_string(n)),
            server_view{group_name("g"),
                        data_centre_name("d" + std::to_string(n)),
                        "127.0.0.1:1", false, false});
    group_view group{1, server_name("s0"), slots};
    group.checked_by = rules::position_check::server;
    view->groups.emplace(group_name("g"), group);
    return view;
}

// A server that runs work in slots and rejects it when too much waits.
class server_model
{
public:
    explicit server_model(simulation& events) : events_(&events)
    {
    }

    void run(duration work, std::function<void(bool ran)> done)
    {
        if (waiting_.size() >= server_queue)
            return events_->at(events_->now() + network_time,
                               [done = std::move(done)] { done(false); });
        waiting_.emplace_back(work, std::move(done));
        start();
    }

private:
    void start()
    {
        while (busy_ < slots && !waiting_.empty())
        {
            auto [work, done] = std::move(waiting_.front());
            waiting_.pop_front();
            ++busy_;
            events_->at(events_->now() + work,
                        [this, done = std::move(done)]
                        {
                            --busy_;
                            done(true);
                            start();
                        });
        }
    }

    simulation* events_;
    std::size_t busy_ = 0;
    std::deque<std::pair<duration, std::function<void(bool)>>> waiting_;
};

// What a client wants to have done, over several attempts.
struct job
{
    std::size_t route = 0;
    std::size_t host = 0;
    duration work{};
    bool is_write = false;
    instant arrived;
    int attempts = 0;
    // Whether the server's last answer was not a rejection.
    bool has_run = false;
};

struct class_result
{
    std::size_t offered = 0;
    std::size_t served = 0;
    std::size_t within_target = 0;
};

struct overload_result
{
    // Work of statements that were answered before their client's deadline, as
    // a share of what the servers can do.
    double goodput = 0;
    std::vector<class_result> routes;
    double recovery_seconds = 0;
};

class overload_replay
{
public:
    overload_replay(load_trace const& trace,
                    bool has_priorities,
                    std::uint64_t seed)
        : trace_(trace), random_(seed), results_(trace.routes.size())
    {
        for (std::size_t n = 0; n != servers; ++n)
            servers_.emplace_back(events_);
        for (std::size_t n = 0; n != hosts; ++n)
        {
            engine_settings settings;
            settings.data_centre = data_centre_name("d" + std::to_string(n));
            settings.limits_enabled = false;
            settings.serves_without_lease = true;
            settings.initial_connections = connections_per_host;
            engines_.push_back(std::make_unique<engine>(settings));
            engines_[n]->push(
                control_changed{make_view(trace, has_priorities)});
        }
        connections_.resize(hosts);
    }

    overload_result run()
    {
        instant end = events_.now();
        for (auto const& it : trace_.phases)
        {
            bool const is_overload = it.load > 1;
            auto const begin = end;
            end += milliseconds(static_cast<int>(it.seconds * 1000));
            if (is_overload)
            {
                counted_from_ = begin + settling_time;
                counted_until_ = end;
            }
            rate_ = it.load * servers * slots * 1000 / mean_work_ms();
            next_arrival_ = begin;
            while (events_.now() < end && now_ < end)
                step();
        }
        return summarize();
    }

private:
    [[nodiscard]] double mean_work_ms() const
    {
        double out = 0;
        for (auto const& it : trace_.routes)
            out += it.share * it.work_ms;
        return out;
    }

    void step()
    {
        now_ += tick_interval;
        while (next_arrival_ < now_)
        {
            auto const at = next_arrival_;
            events_.at(at, [this] { arrive(); });
            next_arrival_ += random_.exponential(rate_);
        }
        events_.run(now_);
        for (std::size_t n = 0; n != hosts; ++n)
            tick(n);
    }

    void arrive()
    {
        job it;
        auto choice = random_.unit();
        while (it.route + 1 < trace_.routes.size() &&
               choice >= trace_.routes[it.route].share)
            choice -= trace_.routes[it.route++].share;
        auto const& route = trace_.routes[it.route];
        // The square makes the first workspaces the large ones. Each has one
        // host, as with placement.
        auto const pick = random_.unit() * random_.unit();
        auto const workspace = static_cast<std::size_t>(
            pick * static_cast<double>(trace_.workspaces));
        it.host = workspace % hosts;
        it.work = random_.exponential(1000 / route.work_ms);
        it.is_write = random_.unit() < route.writes;
        it.arrived = events_.now();
        auto const id = ++last_job_;
        jobs_.emplace(id, it);
        if (is_counted(it.arrived))
            ++results_[it.route].offered;
        ++window_at(it.arrived).offered;
        session_opened opened;
        opened.session = session_id{id};
        opened.route = route_name(route.name);
        opened.workspace = workspace_name("w" + std::to_string(workspace));
        engines_[it.host]->push(opened);
        attempt(id);
        events_.at(it.arrived + milliseconds(route.deadline_ms),
                   [this, id] { finish(id); });
    }

    void attempt(std::uint64_t id)
    {
        auto const found = jobs_.find(id);
        if (found == jobs_.end())
            return;
        auto& it = found->second;
        ++it.attempts;
        engines_[it.host]->push(statement_received{
            session_id{id},
            it.is_write ? statement_verb::write : statement_verb::read});
    }

    // Ends a job: it was answered, or its client gives up.
    void finish(std::uint64_t id)
    {
        auto const found = jobs_.find(id);
        if (found == jobs_.end())
            return;
        engines_[found->second.host]->push(session_closed{session_id{id}});
        jobs_.erase(found);
    }

    void tick(std::size_t host)
    {
        for (auto const& it : engines_[host]->tick(now_))
            if (auto const* open = std::get_if<open_connection>(&it))
                open_at_server(host, *open);
            else if (auto const* closed = std::get_if<close_connection>(&it))
                connections_[host].erase(closed->connection);
            else if (auto const* send = std::get_if<send_statement>(&it))
                run_at_server(host, *send);
            else if (auto const* query = std::get_if<query_position>(&it))
                answer_query(host, query->connection);
            else if (auto const* answer = std::get_if<relay_answer>(&it))
                record_answer(static_cast<std::uint64_t>(answer->session));
            else if (auto const* refused = std::get_if<refuse>(&it))
                handle_refusal(*refused);
    }

    void open_at_server(std::size_t host, open_connection const& it)
    {
        auto const server =
            static_cast<std::size_t>(it.server.str().back() - '0');
        auto const id = it.connection;
        connections_[host].emplace(id, server);
        servers_[server].run(
            opening_work,
            [this, host, id](bool ran)
            {
                if (!connections_[host].contains(id))
                    return;
                if (ran)
                    engines_[host]->push(connection_opened{id});
                else
                    engines_[host]->push(connection_failed{id});
            });
    }

    void run_at_server(std::size_t host, send_statement const& it)
    {
        auto const found = jobs_.find(static_cast<std::uint64_t>(it.session));
        if (found == jobs_.end())
            return;
        auto const id = it.connection;
        auto const session = found->first;
        auto const server = connections_[host].at(id);
        servers_[server].run(
            found->second.work,
            [this, host, server, id, session](bool ran)
            {
                if (!connections_[host].contains(id))
                    return;
                if (auto const row = jobs_.find(session); row != jobs_.end())
                    row->second.has_run = ran;
                answer_received out{id, !ran, transaction_status::idle,
                                    std::nullopt};
                out.proof =
                    ran ? answer_proof::none : answer_proof::not_run_busy;
                if (ran)
                    out.position = log_position{1, ++position_};
                out.is_from_primary = ran && server == 0;
                engines_[host]->push(out);
            });
    }

    void answer_query(std::size_t host, connection_id id)
    {
        events_.at(events_.now() + network_time,
                   [this, host, id]
                   {
                       auto const found = connections_[host].find(id);
                       if (found != connections_[host].end())
                           engines_[host]->push(position_observed{
                               id, {1, ++position_}, found->second == 0});
                   });
    }

    void record_answer(std::uint64_t id)
    {
        auto const found = jobs_.find(id);
        if (found == jobs_.end())
            return;
        auto const& it = found->second;
        if (!it.has_run)
            return retry(id, default_retry);
        auto const& route = trace_.routes[it.route];
        bool const is_within_target =
            now_ - it.arrived <= milliseconds(route.target_ms);
        window_at(it.arrived).within_target += is_within_target ? 1 : 0;
        if (is_counted(it.arrived))
        {
            ++results_[it.route].served;
            results_[it.route].within_target += is_within_target ? 1 : 0;
        }
        if (is_counted(now_))
            useful_work_ += it.work;
        finish(id);
    }

    void handle_refusal(refuse const& it)
    {
        auto const id = static_cast<std::uint64_t>(it.session);
        if (it.outcome == refusal_outcome::unknown)
            return finish(id);
        retry(id, it.retry_after > duration{} ? it.retry_after : default_retry);
    }

    // Sends the statement of a job again after a while, if its client still
    // waits then.
    void retry(std::uint64_t id, duration wait)
    {
        auto const found = jobs_.find(id);
        if (found == jobs_.end())
            return;
        auto const& it = found->second;
        auto const give_up =
            it.arrived + milliseconds(trace_.routes[it.route].deadline_ms);
        if (it.attempts >= max_attempts || now_ + wait >= give_up)
            return finish(id);
        events_.at(now_ + wait, [this, id] { attempt(id); });
    }

    [[nodiscard]] bool is_counted(instant at) const
    {
        return at >= counted_from_ && at < counted_until_;
    }

    class_result& window_at(instant at)
    {
        auto const n =
            static_cast<std::size_t>(at.time_since_epoch() / recovery_window);
        if (windows_.size() <= n)
            windows_.resize(n + 1);
        return windows_[n];
    }

    [[nodiscard]] overload_result summarize() const
    {
        overload_result out;
        auto const capacity =
            std::chrono::duration<double>(counted_until_ - counted_from_)
                .count() *
            servers * slots;
        out.goodput =
            std::chrono::duration<double>(useful_work_).count() / capacity;
        out.routes = results_;
        auto const first = static_cast<std::size_t>(
            counted_until_.time_since_epoch() / recovery_window);
        // The last window in which too few statements met their target. The
        // very last ones are still in progress.
        auto recovered = first;
        for (auto n = first; n + 4 < windows_.size(); ++n)
            if (static_cast<double>(windows_[n].within_target) <
                recovered_share * static_cast<double>(windows_[n].offered))
                recovered = n + 1;
        out.recovery_seconds =
            std::chrono::duration<double>(recovery_window).count() *
            static_cast<double>(recovered - first);
        return out;
    }

    load_trace const& trace_;
    random_source random_;
    simulation events_;
    std::deque<server_model> servers_;
    std::vector<std::unique_ptr<engine>> engines_;
    std::vector<std::map<connection_id, std::size_t>> connections_;
    std::map<std::uint64_t, job> jobs_;
    std::vector<class_result> results_;
    std::vector<class_result> windows_;
    instant now_;
    instant next_arrival_;
    instant counted_from_;
    instant counted_until_;
    duration useful_work_{};
    double rate_ = 0;
    std::uint64_t last_job_ = 0;
    std::uint64_t position_ = 0;
};

double share(std::size_t part, std::size_t all)
{
    return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

} // namespace

int measure_overload(std::uint64_t seed)
{
    auto const trace =
        read_trace(BASILREACH_SOURCE_DIR "/traces/overload/three-times.load");
    auto const by_class = overload_replay(trace, true, seed).run();
    auto const baseline = overload_replay(trace, false, seed).run();
    print_figure("overload.goodput", by_class.goodput, "1", baseline.goodput,
                 seed);
    print_figure("overload.recovery", by_class.recovery_seconds, "s",
                 baseline.recovery_seconds, seed);
    for (std::size_t n = 0; n != trace.routes.size(); ++n)
    {
        auto const& now = by_class.routes[n];
        auto const& before = baseline.routes[n];
        auto const prefix = "overload." + trace.routes[n].name;
        print_figure(prefix + ".served", share(now.served, now.offered), "1",
                     share(before.served, before.offered), seed);
        print_figure(prefix + ".within_target",
                     share(now.within_target, now.offered), "1",
                     share(before.within_target, before.offered), seed);
    }
    return 0;
}

} // namespace basilreach::measure
