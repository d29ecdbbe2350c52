// The entry hosts and the clients of a simulated deployment.
#include <traffic_replay/simulated_deployment.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace basilreach::traffic::replay
{

namespace
{

using namespace std::chrono_literals;

constexpr duration renew_interval = 500ms;

constexpr std::array<char const*, 2> routes = {"ledger", "lookup"};

// Returns the index in routes for a kind of statement.
std::size_t route_of(statement_kind what)
{
    return what == statement_kind::read ? 1 : 0;
}

key_digest key_of(unsigned workspace)
{
    key_digest key{};
    key[0] = static_cast<std::uint8_t>(workspace);
    return key;
}

workspace_name name_of(unsigned workspace)
{
    return workspace_name("w" + std::to_string(workspace));
}

} // namespace

simulated_deployment::simulated_deployment(
    simulated_deployment_settings settings, std::uint64_t seed)
    : random(seed), settings_(std::move(settings))
{
    view_.revision = 1;
    rules::route_rule route;
    route.group = group_;
    view_.routes.emplace(route_name(routes[0]), route);
    route.kind = rules::route_class::read;
    route.max_age = settings_.max_age;
    view_.routes.emplace(route_name(routes[1]), route);
    for (unsigned n = 0; n != settings_.workspaces; ++n)
        view_.keys.emplace(key_of(n), name_of(n));
    for (server_id n = 0; n != server_count; ++n)
    {
        servers_[n].lag = settings_.lag;
        view_.servers.emplace(
            server_name("s" + std::to_string(n)),
            server_view{group_, data_centre_name(std::to_string(n)),
                        "127.0.0.1:" + std::to_string(n), false, false});
    }
    servers_[0].is_primary = true;
    view_.groups.emplace(group_,
                         group_view{1, server_name("s0"), settings_.slots});
    settings_.engine.limits_enabled = false;
    for (host_id n = 0; n != settings_.hosts; ++n)
    {
        settings_.engine.data_centre = data_centre_name(std::to_string(n % 3));
        host_row row;
        row.engine = std::make_unique<traffic::engine>(settings_.engine);
        hosts_.push_back(std::move(row));
        send_view(n);
    }
    renew_leases();
}

unsigned simulated_deployment::add_client(unsigned host, unsigned workspace)
{
    client_row row;
    row.host = host;
    row.workspace = workspace;
    clients_.push_back(row);
    auto const id = static_cast<unsigned>(clients_.size() - 1);
    open_sessions(id);
    return id;
}

void simulated_deployment::open_sessions(unsigned client)
{
    auto& row = clients_[client];
    while (!hosts_[row.host].engine)
        row.host = (row.host + 1) % static_cast<unsigned>(hosts_.size());
    for (std::size_t n = 0; n != routes.size(); ++n)
    {
        row.sessions[n] = ++last_session_;
        hosts_[row.host].client_of_session[row.sessions[n]] = client;
        session_opened it;
        it.session = session_id{row.sessions[n]};
        it.route = route_name(routes[n]);
        it.workspace = name_of(row.workspace);
        it.key = key_of(row.workspace);
        it.positions = row.session_positions;
        push(row.host, it);
    }
}

void simulated_deployment::leave_host(unsigned client)
{
    auto& row = clients_[client];
    for (auto& session : row.sessions)
    {
        hosts_[row.host].client_of_session.erase(session);
        push(row.host, session_closed{session_id{session}});
        session = 0;
    }
    row.transaction = 0;
}

void simulated_deployment::move_client(unsigned client,
                                       unsigned host,
                                       bool without_token)
{
    leave_host(client);
    auto& row = clients_[client];
    row.host = host;
    if (without_token)
        row.session_positions.clear();
    open_sessions(client);
    end_statement(client, statement_outcome::unknown);
}

void simulated_deployment::issue(unsigned client, statement_kind what)
{
    auto& row = clients_[client];
    if (what == statement_kind::begin)
    {
        row.transaction = ++last_transaction_;
        row.transaction_write = 0;
    }
    std::uint64_t write = 0;
    if (what == statement_kind::write)
        write = row.transaction_write = ++row.writes;
    if (what == statement_kind::commit)
        write = row.transaction_write;
    statements_.push_back({what, client, row.transaction, write});
    row.statement = statements_.size();
    history_.push_back(
        {record_kind::issued, row.statement, what, client, row.transaction});
    static constexpr std::array verbs = {
        statement_verb::other, statement_verb::other,
        statement_verb::begin_read_write, statement_verb::commit};
    // A read inside a transaction runs on the transaction's session.
    auto const route = row.transaction != 0 ? 0 : route_of(what);
    push(row.host, statement_received{session_id{row.sessions[route]},
                                      verbs[static_cast<std::size_t>(what)]});
}

void simulated_deployment::end_statement(unsigned client, statement_outcome end)
{
    auto& row = clients_[client];
    if (row.statement == 0)
        return;
    auto const& it = statements_[row.statement - 1];
    // A client whose statement failed considers its transaction rolled back.
    if (it.what == statement_kind::commit || end != statement_outcome::answered)
        row.transaction = 0;
    row.statement = 0;
    if (on_finished)
        clock_.at(now(), [this, client, end] { on_finished(client, end); });
}

void simulated_deployment::push(host_id host, event it)
{
    auto& row = hosts_[host];
    if (!row.engine)
        return;
    row.engine->push(std::move(it));
    if (row.next_tick > now())
    {
        row.next_tick = now();
        clock_.at(now(), [this, host] { tick(host); });
    }
}

void simulated_deployment::tick(host_id host)
{
    auto& row = hosts_[host];
    if (!row.engine || row.next_tick > now())
        return;
    row.next_tick = never;
    for (auto const& it : row.engine->tick(now()))
        if (row.engine)
            std::visit([this, host](auto const& a) { on(host, a); }, it);
    auto const due = row.engine->next_deadline();
    if (due == never || due >= row.next_tick)
        return;
    row.next_tick = std::max(due, now());
    clock_.at(row.next_tick, [this, host] { tick(host); });
}

void simulated_deployment::on(host_id host, open_connection const& it)
{
    auto const server = static_cast<server_id>(it.server.str()[1] - '0');
    auto const n = connections_.size();
    connections_.push_back({host, it.connection, server, it.read_only});
    hosts_[host].connections[it.connection] = n;
    clock_.at(now() + settings_.connecting,
              [this, n]
              {
                  auto const& row = connections_[n];
                  if (row.is_closed || !reaches(row.host, row.server))
                      return;
                  if (!servers_[row.server].is_alive)
                      return fail_connection(n);
                  push(row.host, connection_opened{row.id});
              });
}

void simulated_deployment::on(host_id host, close_connection const& it)
{
    auto const found = hosts_[host].connections.find(it.connection);
    if (found == hosts_[host].connections.end())
        return;
    auto const n = found->second;
    hosts_[host].connections.erase(found);
    connections_[n].is_closed = true;
}

void simulated_deployment::on(host_id host, send_statement const& it)
{
    auto const n = hosts_[host].connections.at(it.connection);
    auto const session = static_cast<std::uint64_t>(it.session);
    connections_[n].session = session;
    auto const client = hosts_[host].client_of_session.find(session);
    if (client == hosts_[host].client_of_session.end())
        return;
    auto const statement = clients_[client->second].statement;
    clock_.at(now() + settings_.latency,
              [this, n, statement] { receive(n, statement); });
}

void simulated_deployment::on(host_id host, query_position const& it)
{
    auto const n = hosts_[host].connections.at(it.connection);
    clock_.at(now() + settings_.latency, [this, n] { receive(n, 0); });
}

void simulated_deployment::on(host_id host, relay_answer const& it)
{
    auto const session = static_cast<std::uint64_t>(it.session);
    auto& row = hosts_[host];
    auto const found = row.client_of_session.find(session);
    if (found == row.client_of_session.end())
        return;
    auto const client = found->second;
    auto const stored = row.answers[session];
    row.answers.erase(session);
    auto& to = clients_[client];
    if (it.position)
    {
        advance_position(to.session_positions, it.position->group,
                         it.position->position);
        // The client presents its session token in its other session.
        for (auto const other : to.sessions)
            if (other != session)
                push(host, session_token_presented{session_id{other},
                                                   to.session_positions});
    }
    if (to.statement == 0)
        return;
    auto const& sent = statements_[to.statement - 1];
    history_.push_back({record_kind::answered, to.statement, sent.what, client,
                        sent.transaction, 0, stored.term, stored.statement,
                        stored.write, stored.is_error});
    end_statement(client, stored.is_error ? statement_outcome::error
                                          : statement_outcome::answered);
}

void simulated_deployment::on(host_id host, refuse const& it)
{
    auto const found = hosts_[host].client_of_session.find(
        static_cast<std::uint64_t>(it.session));
    if (found == hosts_[host].client_of_session.end())
        return;
    auto const client = found->second;
    auto const statement = clients_[client].statement;
    bool const is_not_run = it.outcome == refusal_outcome::not_run;
    if (statement != 0)
        history_.push_back({record_kind::refused, statement,
                            statements_[statement - 1].what, client, 0, 0, 0, 0,
                            0, false, is_not_run});
    if (it.close_session)
    {
        leave_host(client);
        open_sessions(client);
    }
    end_statement(client, is_not_run ? statement_outcome::not_run
                                     : statement_outcome::unknown);
}

void simulated_deployment::on(host_id host, end_session const& it)
{
    auto const found = hosts_[host].client_of_session.find(
        static_cast<std::uint64_t>(it.session));
    if (found == hosts_[host].client_of_session.end())
        return;
    auto const client = found->second;
    leave_host(client);
    open_sessions(client);
    end_statement(client, statement_outcome::unknown);
}

void simulated_deployment::on(host_id host, control_view_adopted const& it)
{
    if (hosts_[host].is_isolated)
        return;
    clock_.at(now() + settings_.latency,
              [this, host, revision = it.revision]
              {
                  hosts_[host].confirmed = revision;
                  check_fence();
              });
}

void simulated_deployment::lose_host(unsigned host)
{
    auto& row = hosts_[host];
    row.engine.reset();
    for (auto const& [id, n] : row.connections)
        connections_[n].is_closed = true;
    row.connections.clear();
    row.client_of_session.clear();
    row.answers.clear();
    for (unsigned n = 0; n != clients_.size(); ++n)
    {
        if (clients_[n].host != host || clients_[n].sessions[0] == 0)
            continue;
        clients_[n].transaction = 0;
        open_sessions(n);
        end_statement(n, statement_outcome::unknown);
    }
}

void simulated_deployment::renew_leases()
{
    for (host_id n = 0; n != hosts_.size(); ++n)
    {
        auto& row = hosts_[n];
        if (!row.engine || row.is_isolated)
            continue;
        auto const until = now() + settings_.lease;
        row.lease_end =
            now() + settings_.latency + with_clock_margin(settings_.lease);
        clock_.at(now() + 2 * settings_.latency,
                  [this, n, until]
                  {
                      if (!hosts_[n].is_isolated)
                          push(n, lease_changed{until});
                  });
        send_view(n);
    }
    clock_.at(now() + renew_interval, [this] { renew_leases(); });
}

engine_counts simulated_deployment::counts() const
{
    engine_counts sum;
    for (auto const& it : hosts_)
    {
        if (!it.engine)
            continue;
        auto const one = it.engine->counts();
        sum.reads_at_replicas += one.reads_at_replicas;
        sum.reads_at_primaries += one.reads_at_primaries;
        sum.writes += one.writes;
        sum.refused_not_run += one.refused_not_run;
        sum.outcome_unknown += one.outcome_unknown;
        sum.silent_connections += one.silent_connections;
        sum.connections_opened += one.connections_opened;
    }
    return sum;
}

void simulated_deployment::run(instant end)
{
    // This event advances the clock to the end time.
    clock_.at(end, [] {});
    clock_.run(end + duration(1));
}

} // namespace basilreach::traffic::replay
