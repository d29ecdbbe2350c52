// The database servers and the control leader of a simulated deployment.
#include <traffic_replay/simulated_deployment.hpp>

#include <algorithm>

namespace basilreach::traffic::replay
{

namespace
{

using namespace std::chrono_literals;

// Time between two attempts of the control leader to choose a primary.
constexpr duration choose_interval = 20ms;

// Time after which a repaired group serves again and every outcome is known; it
// covers the lease, the deadline of statements and the largest lag.
constexpr duration recovery_time = 30s;

} // namespace

bool simulated_deployment::reaches(host_id host, server_id server) const
{
    return hosts_[host].is_isolated == servers_[server].is_isolated;
}

log_position simulated_deployment::position(server_id id) const
{
    auto const& log = servers_[id].log;
    return log.empty() ? log_position{1, 0}
                       : log_position{log.back().entry.term, log.size()};
}

void simulated_deployment::receive(std::size_t connection,
                                   std::uint64_t statement)
{
    auto const& row = connections_[connection];
    auto& server = servers_[row.server];
    if (row.is_closed || row.drops_statements || !reaches(row.host, row.server))
        return;
    if (!server.is_alive)
        return fail_connection(connection);
    // A positions query occupies no slot.
    if (statement == 0)
        return reply(connection, {0, 0, 0, false, transaction_status::idle,
                                  position(row.server)});
    server.waiting.push_back({connection, statement});
    start_work(row.server);
}

void simulated_deployment::start_work(server_id id)
{
    auto& server = servers_[id];
    while (server.running < settings_.slots && !server.waiting.empty())
    {
        ++server.running;
        auto const it = server.waiting.front();
        server.waiting.pop_front();
        auto const mean = std::chrono::duration<double>(settings_.service);
        auto const time =
            settings_.service / 2 + random.exponential(2 / mean.count());
        clock_.at(now() + time,
                  [this, id, it, incarnation = server.incarnation]
                  {
                      if (servers_[id].incarnation != incarnation)
                          return;
                      finish_work(id, it);
                  });
    }
}

void simulated_deployment::finish_work(server_id id, work const& it)
{
    --servers_[id].running;
    auto& connection = connections_[it.connection];
    // A server notices that a connection was closed only when it next uses the
    // socket, so a statement that it has received still runs.
    auto answer = execute(servers_[id], connection, it.statement);
    if (answer.status == transaction_status::idle)
        answer.position = position(id);
    reply(it.connection, answer);
    start_work(id);
}

simulated_deployment::server_answer simulated_deployment::execute(
    server_row& server, connection_row& connection, std::uint64_t id)
{
    auto const& it = statements_[id - 1];
    server_answer out{id, server.term, 0, false, transaction_status::idle, {}};
    bool const needs_primary = it.what != statement_kind::read;
    if (needs_primary && (!server.is_primary || connection.is_read_only))
    {
        out.is_error = true;
        connection.transaction = 0;
        connection.uncommitted.clear();
        return out;
    }
    history_.push_back(
        {record_kind::executed, id, it.what, it.client, it.transaction,
         static_cast<std::uint64_t>(&connection - connections_.data()),
         server.term});
    log_entry const entry{server.term, it.client, it.write};
    if (it.what == statement_kind::begin)
        connection.transaction = it.transaction;
    if (it.what == statement_kind::write && connection.transaction != 0)
        connection.uncommitted.push_back(entry);
    else if (it.what == statement_kind::write)
        append(server, entry);
    if (it.what == statement_kind::commit)
    {
        for (auto const& change : std::exchange(connection.uncommitted, {}))
            append(server, change);
        connection.transaction = 0;
    }
    if (connection.transaction != 0)
        out.status = transaction_status::in_transaction;
    out.write = it.what == statement_kind::read ? server.last_write[it.client]
                                                : it.write;
    return out;
}

void simulated_deployment::append(server_row& server, log_entry const& entry)
{
    server.log.push_back({entry, now()});
    server.last_write[entry.client] = entry.write;
    for (server_id n = 0; n != server_count; ++n)
        if (&servers_[n] != &server)
            clock_.at(now() + servers_[n].lag, [this, n] { replicate(n); });
}

void simulated_deployment::reply(std::size_t connection,
                                 server_answer const& it)
{
    auto const delay = servers_[connections_[connection].server].answer_delay;
    clock_.at(
        now() + settings_.latency + delay,
        [this, connection, it]
        {
            auto const& row = connections_[connection];
            if (row.is_closed || row.drops_answers ||
                !reaches(row.host, row.server))
                return;
            if (it.statement == 0)
                return push(row.host, position_observed{row.id, *it.position});
            hosts_[row.host].answers[row.session] = it;
            push(row.host,
                 answer_received{row.id, it.is_error, it.status, it.position});
        });
}

void simulated_deployment::fail_connection(std::size_t connection)
{
    clock_.at(now() + settings_.latency,
              [this, connection]
              {
                  auto const& row = connections_[connection];
                  if (!row.is_closed && reaches(row.host, row.server))
                      push(row.host, connection_failed{row.id});
              });
}

void simulated_deployment::replicate(server_id to)
{
    auto& target = servers_[to];
    if (!target.is_alive)
        return;
    server_row const* source = nullptr;
    for (auto const& it : servers_)
        if (&it != &target && it.is_alive && it.is_primary &&
            it.is_isolated == target.is_isolated && it.term >= target.term &&
            (!source || it.term > source->term))
            source = &it;
    if (source == nullptr || (target.is_primary && source->term == target.term))
        return;
    if (source->term != target.term)
        follow_primary(target, *source, to);
    while (target.log.size() < source->log.size())
    {
        auto const& next = source->log[target.log.size()];
        if (next.committed + target.lag > now())
            break;
        target.log.push_back(next);
        target.last_write[next.entry.client] = next.entry.write;
    }
}

// Makes a server follow the primary: discards the log entries that differ from
// the primary's log. A demoted primary closes its connections, which ends their
// transactions.
void simulated_deployment::follow_primary(server_row& to,
                                          server_row const& from,
                                          server_id id)
{
    if (to.is_primary)
        lose_connections(id);
    to.is_primary = false;
    to.term = from.term;
    auto const [first_difference, other] = std::mismatch(
        to.log.begin(), to.log.end(), from.log.begin(), from.log.end(),
        [](auto const& a, auto const& b) { return a.entry == b.entry; });
    to.log.erase(first_difference, to.log.end());
    to.last_write.clear();
    for (auto const& it : to.log)
        to.last_write[it.entry.client] = it.entry.write;
}

void simulated_deployment::replicate_all(duration after)
{
    for (server_id n = 0; n != server_count; ++n)
        clock_.at(now() + after, [this, n] { replicate(n); });
}

void simulated_deployment::promote(server_id id, std::uint64_t term)
{
    auto& server = servers_[id];
    if (!server.is_alive || server.is_isolated || term < server.term ||
        (term == server.term && !server.is_primary))
        return;
    if (term > server.term)
    {
        server.term = term;
        server.is_primary = true;
        record it;
        it.kind = record_kind::promoted;
        it.term = term;
        history_.push_back(it);
        append(server, {term, no_client, 0});
        replicate_all(settings_.latency);
    }
    clock_.at(now() + settings_.latency,
              [this, id, term]
              {
                  auto& group = view_.groups.at(group_);
                  auto const name = server_name("s" + std::to_string(id));
                  if (!is_choosing_ || group.term >= term)
                      return;
                  group.term = term;
                  group.primary = name;
                  is_choosing_ = false;
                  publish();
                  if (view_.servers.at(name).is_down)
                      begin_fencing();
              });
}

void simulated_deployment::publish()
{
    ++view_.revision;
    for (host_id n = 0; n != hosts_.size(); ++n)
        send_view(n);
}

void simulated_deployment::send_view(host_id host)
{
    auto const view = std::make_shared<control_view const>(view_);
    clock_.at(now() + settings_.latency,
              [this, host, view]
              {
                  if (!hosts_[host].is_isolated &&
                      hosts_[host].confirmed < view->revision)
                      push(host, control_changed{view});
              });
}

void simulated_deployment::verdict(unsigned server, bool is_down)
{
    auto const name = server_name("s" + std::to_string(server));
    view_.servers.at(name).is_down = is_down;
    if (is_down && view_.groups.at(group_).primary == name)
        return begin_fencing();
    publish();
}

void simulated_deployment::begin_fencing()
{
    view_.groups.at(group_).primary.reset();
    publish();
    fence_revision_ = view_.revision;
    check_fence();
}

// Starts the choice of a primary once each host has confirmed the fencing or
// its lease has ended.
void simulated_deployment::check_fence()
{
    if (!fence_revision_)
        return;
    for (auto const& it : hosts_)
    {
        if (it.confirmed >= *fence_revision_ || it.lease_end <= now())
            continue;
        clock_.at(it.lease_end, [this] { check_fence(); });
        return;
    }
    fence_revision_.reset();
    is_choosing_ = true;
    clock_.at(now() + 2 * settings_.latency, [this] { choose_primary(); });
}

void simulated_deployment::choose_primary()
{
    if (!is_choosing_)
        return;
    std::optional<server_id> best;
    unsigned reachable = 0;
    for (server_id n = 0; n != server_count; ++n)
    {
        auto const& it = servers_[n];
        if (!it.is_alive || it.is_isolated ||
            view_.servers.at(server_name("s" + std::to_string(n))).is_down)
            continue;
        ++reachable;
        if (!best || position(n) > position(*best))
            best = n;
    }
    clock_.at(now() + choose_interval, [this] { choose_primary(); });
    if (reachable * 2 <= server_count)
        return;
    clock_.at(now() + settings_.latency,
              [this, id = *best, term = ++last_term_] { promote(id, term); });
}

std::optional<unsigned> simulated_deployment::primary() const
{
    auto const& name = view_.groups.at(group_).primary;
    if (!name)
        return std::nullopt;
    return static_cast<unsigned>(name->str()[1] - '0');
}

void simulated_deployment::lose_server(unsigned server)
{
    auto& row = servers_[server];
    row.is_alive = false;
    ++row.incarnation;
    row.running = 0;
    row.waiting.clear();
    lose_connections(server);
}

void simulated_deployment::restart_server(unsigned server)
{
    servers_[server].is_alive = true;
    replicate_all(settings_.latency);
}

void simulated_deployment::isolate(unsigned server, unsigned host)
{
    servers_[server].is_isolated = true;
    hosts_[host].is_isolated = true;
}

void simulated_deployment::heal()
{
    for (auto& it : servers_)
        it.is_isolated = false;
    for (auto& it : hosts_)
        it.is_isolated = false;
    replicate_all(settings_.latency);
}

void simulated_deployment::set_lag(unsigned server, duration lag)
{
    servers_[server].lag = lag;
}

void simulated_deployment::delay_answers(unsigned server, duration delay)
{
    servers_[server].answer_delay = delay;
}

void simulated_deployment::silence(unsigned server, bool runs)
{
    for (auto& it : connections_)
        if (it.server == server)
            (runs ? it.drops_answers : it.drops_statements) = true;
}

void simulated_deployment::lose_connections(unsigned server)
{
    for (std::size_t n = 0; n != connections_.size(); ++n)
        if (connections_[n].server == server && !connections_[n].is_closed)
        {
            connections_[n].drops_statements = true;
            connections_[n].drops_answers = true;
            fail_connection(n);
        }
}

std::vector<violation> simulated_deployment::finish()
{
    on_finished = nullptr;
    heal();
    for (server_id n = 0; n != server_count; ++n)
    {
        servers_[n].lag = std::min<duration>(servers_[n].lag, 1ms);
        servers_[n].answer_delay = {};
        if (!servers_[n].is_alive)
            restart_server(n);
        verdict(n, false);
    }
    replicate_all(5ms);
    run(now() + recovery_time);
    std::vector<log_entry> log;
    if (auto const id = primary())
        for (auto const& it : servers_[*id].log)
            log.push_back(it.entry);
    return check_history(history_, log);
}

} // namespace basilreach::traffic::replay
