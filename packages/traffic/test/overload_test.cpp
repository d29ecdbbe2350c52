// Replays a load under which a group stayed overloaded after a slow server had
// recovered: nine daemons, eight workspaces, and connections that each serve
// one workspace and occupy a slot of the server while they are opened.
#include <basilreach/traffic/engine.hpp>

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <map>

using namespace basilreach;
using namespace basilreach::traffic;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t daemons = 9;
constexpr std::size_t workspaces = 8;
constexpr std::size_t sessions_per_workspace = 4;
constexpr std::uint32_t connections_per_daemon = 5;
constexpr std::size_t slots = 3;
constexpr std::size_t queue_capacity = 24;
constexpr duration open_service_time = 27ms;
constexpr duration statement_service_time = 18ms;
constexpr duration statement_interval = 10ms;

class server_model
{
public:
    using callback = std::function<void(bool ran)>;

    // Runs work in a free slot, or rejects it when the queue is full.
    void run(duration work, instant now, callback done)
    {
        if (waiting_.size() >= queue_capacity)
            return schedule(now + 1ms, [done] { done(false); });
        waiting_.push_back({work, std::move(done)});
        start(now);
    }

    void advance(instant now)
    {
        while (!events_.empty() && events_.begin()->first <= now)
        {
            auto const it = events_.begin();
            auto const action = std::move(it->second);
            events_.erase(it);
            action();
            start(now);
        }
    }

    int slowdown = 1;

private:
    struct queued_work
    {
        duration work;
        callback done;
    };

    void start(instant now)
    {
        while (busy_ < slots && !waiting_.empty())
        {
            auto const it = std::move(waiting_.front());
            waiting_.pop_front();
            ++busy_;
            schedule(now + it.work * slowdown,
                     [this, done = it.done]
                     {
                         --busy_;
                         done(true);
                     });
        }
    }

    void schedule(instant at, std::function<void()> action)
    {
        events_.emplace(at, std::move(action));
    }

    std::size_t busy_ = 0;
    std::deque<queued_work> waiting_;
    std::multimap<instant, std::function<void()>> events_;
};

control_view_ptr make_view()
{
    auto view = std::make_shared<control_view>();
    view->revision = 1;
    rules::route_rule route;
    route.group = group_name("g");
    route.timeout = 800ms;
    route.reads = rules::read_guarantee::latest;
    view->routes.emplace(route_name("r"), route);
    for (std::size_t n = 0; n != workspaces; ++n)
        view->keys.emplace(key_digest{static_cast<std::uint8_t>(n + 1)},
                           workspace_name("w" + std::to_string(n)));
    view->servers.emplace(server_name("s"),
                          server_view{group_name("g"), data_centre_name("a"),
                                      "127.0.0.1:1", false, false});
    group_view group{1, server_name("s"), slots};
    group.checked_by = rules::position_check::server;
    view->groups.emplace(group_name("g"), group);
    return view;
}

class load_replay
{
public:
    load_replay()
    {
        engine_settings settings;
        settings.data_centre = data_centre_name("a");
        settings.limits_enabled = false;
        settings.serves_without_lease = true;
        settings.initial_connections = connections_per_daemon;
        for (std::size_t n = 0; n != daemons; ++n)
        {
            engines_.push_back(std::make_unique<engine>(settings));
            engines_[n]->push(control_changed{make_view()});
            for (std::size_t id = 0; id != session_count; ++id)
                open_session(n, id);
            is_free_.emplace_back(session_count, true);
        }
    }

    // Issues statements for a while; returns the fraction that was answered.
    double run(duration length)
    {
        offered_ = served_ = 0;
        for (auto const end = now_ + length; now_ < end; now_ += 1ms)
        {
            server.advance(now_);
            while (next_statement_ <= now_)
            {
                issue_statement();
                next_statement_ += statement_interval;
            }
            for (std::size_t n = 0; n != daemons; ++n)
                tick(n);
        }
        return static_cast<double>(served_) / static_cast<double>(offered_);
    }

    server_model server;

private:
    static constexpr std::size_t session_count =
        workspaces * sessions_per_workspace;

    void open_session(std::size_t daemon, std::size_t id)
    {
        session_opened it;
        it.session = session_id{id};
        it.route = route_name("r");
        it.workspace = workspace_name("w" + std::to_string(id % workspaces));
        it.key = key_digest{static_cast<std::uint8_t>(id % workspaces + 1)};
        engines_[daemon]->push(it);
    }

    // Issues one statement. The daemons take turns, and some workspaces issue
    // more statements than others.
    void issue_statement()
    {
        auto const daemon = issued_ % daemons;
        auto const workspace = issued_ * issued_ % 13 % workspaces;
        ++issued_;
        ++offered_;
        for (std::size_t n = 0; n != sessions_per_workspace; ++n)
        {
            auto const id = n * workspaces + workspace;
            if (!is_free_[daemon][id])
                continue;
            is_free_[daemon][id] = false;
            engines_[daemon]->push(
                statement_received{session_id{id}, statement_verb::write});
            return;
        }
    }

    void tick(std::size_t n)
    {
        for (auto const& it : engines_[n]->tick(now_))
        {
            if (auto const* open = std::get_if<open_connection>(&it))
                open_at_server(n, open->connection);
            else if (auto const* send = std::get_if<send_statement>(&it))
                run_at_server(n, send->connection);
            else if (auto const* answer = std::get_if<relay_answer>(&it))
                finish(n, answer->session);
            else if (auto const* refused = std::get_if<refuse>(&it))
                finish(n, refused->session);
        }
    }

    void open_at_server(std::size_t n, connection_id connection)
    {
        server.run(open_service_time, now_,
                   [this, n, connection](bool ran)
                   {
                       if (ran)
                           engines_[n]->push(connection_opened{connection});
                       else
                           engines_[n]->push(connection_failed{connection});
                   });
    }

    void run_at_server(std::size_t n, connection_id connection)
    {
        server.run(statement_service_time, now_,
                   [this, n, connection](bool ran)
                   {
                       answer_received it{connection, !ran,
                                          transaction_status::idle,
                                          std::nullopt};
                       if (!ran)
                           it.proof = answer_proof::not_run_busy;
                       else
                           it.position = log_position{1, ++position_};
                       it.is_from_primary = ran;
                       last_ran_ = ran;
                       engines_[n]->push(it);
                       tick(n);
                   });
    }

    // Ends a statement of a session. The server's answer, recorded in
    // last_ran_, is relayed in the tick in which it arrives.
    void finish(std::size_t n, session_id session)
    {
        is_free_[n][static_cast<std::uint64_t>(session)] = true;
        served_ += last_ran_ ? 1 : 0;
        last_ran_ = false;
    }

    instant now_{1h};
    instant next_statement_ = now_;
    std::vector<std::unique_ptr<engine>> engines_;
    std::vector<std::vector<bool>> is_free_;
    bool last_ran_ = false;
    std::uint64_t position_ = 0;
    std::size_t issued_ = 0;
    std::size_t offered_ = 0;
    std::size_t served_ = 0;
};

} // namespace

// Guards against an overload that persists after its cause: connections being
// opened occupy every slot of the server, each statement is rejected as busy,
// and each rejection makes room for opening another connection.
TEST_CASE("an overload ends soon after a slow server has recovered")
{
    load_replay replay;
    replay.run(2s);
    CHECK(replay.run(4s) > 0.97);
    replay.server.slowdown = 5;
    replay.run(6s);
    replay.server.slowdown = 1;
    replay.run(2s);
    CHECK(replay.run(4s) > 0.97);
}
