// Dispatches statements in server-checked groups, where each connection serves
// one workspace only, and decides which connections are opened and closed.
#include <algorithm>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

auto find_idle_connection(state const& s,
                          server_row& server,
                          workspace_name const& workspace)
{
    return std::find_if(
        server.idle.rbegin(), server.idle.rend(),
        [&](connection_id id)
        { return s.connections.find(id)->workspace == workspace; });
}

// Sends a needed positions query to the primary over any idle connection,
// before statements use it. If all connections are busy, the next one that
// becomes idle is used; if there is none, one is opened for a waiting read.
void query_primary_if_needed(state& s, server_row_id id, server_row& server)
{
    auto& group = *s.groups.find(server.group);
    if (!group.needs_primary_query || group.is_querying_primary ||
        group.primary != id)
        return;
    if (!server.idle.empty())
    {
        auto const connection = server.idle.back();
        server.idle.pop_back();
        group.needs_primary_query = false;
        group.is_querying_primary = true;
        start_silence_timer(s, id, server);
        return send_positions_query(s, connection, true);
    }
    if (!server.connections.empty() || server.connection_share == 0 ||
        s.now < server.next_open || group.waiting_sample.empty())
        return;
    auto const* request = s.requests.find(group.waiting_sample.front());
    if (request != nullptr)
        start_connection(s, id, server,
                         s.sessions.find(request->session)->workspace);
}

// Sends waiting statements, in fair order among the workspaces that have an
// idle connection.
void send_to_idle_connections(state& s, server_row& server)
{
    auto const has_idle = [&](workspace_name const& it)
    {
        return find_idle_connection(s, server, it) != server.idle.rend();
    };
    while (server.window.admits(server.outstanding, s.now))
    {
        auto const request_id = server.queue->pop_if(has_idle, s.now);
        if (!request_id)
            return;
        auto& request = *s.requests.find(*request_id);
        request.queue_entry.reset();
        if (wait_if_lease_expired(s, *request_id))
            continue;
        auto const it = find_idle_connection(
            s, server, s.sessions.find(request.session)->workspace);
        auto const connection = *it;
        server.idle.erase(std::next(it).base());
        send_request(s, *request_id, connection);
    }
}

// When the server's connection share is used up, closes the connection that has
// been idle for longest. Returns nothing if a connection can now be opened, or
// else when to try again.
std::optional<instant> evict_idle_connection(state& s, server_row& server)
{
    if (server.connections.size() < server.connection_share)
        return std::nullopt;
    if (server.idle.empty())
        return never;
    if (s.now < server.next_eviction)
        return server.next_eviction;
    if (server.window.answer_time() > s.settings.slow_answer_threshold)
        server.next_eviction = s.now + s.settings.eviction_interval;
    drop_connection(s, server.idle.front());
    return server.connections.size() < server.connection_share
               ? std::nullopt
               : std::optional(never);
}

// Opens a connection for each workspace that has waiting statements but no
// connection, and further ones while the concurrency window allows more
// statements. Returns when to try again.
instant open_for_waiting(state& s, server_row_id id, server_row& server)
{
    std::vector<std::pair<workspace_name, std::size_t>> waiting;
    server.queue->for_each_workspace(
        [&waiting](workspace_name const& workspace, std::size_t n)
        { waiting.emplace_back(workspace, n); });
    // One connection serves the first of the expected statements of a
    // workspace; whether the others will be sent here is less certain.
    for (auto const it : server.expected)
    {
        auto const& workspace =
            s.sessions.find(s.requests.find(it)->session)->workspace;
        if (std::none_of(waiting.begin(), waiting.end(),
                         [&](auto const& row)
                         { return row.first == workspace; }))
            waiting.emplace_back(workspace, 1);
    }
    for (auto const& [workspace, n] : waiting)
    {
        auto const count = count_connections(s, server, workspace);
        auto missing = n - std::min(n, count.opening + count.idle);
        auto const has_free_slots = [&server]
        {
            return server.window.admits(server.outstanding + server.opening,
                                        instant{});
        };
        for (bool has_any = count.all != 0;
             missing > 0 && (!has_any || has_free_slots()); --missing)
        {
            if (!server.pacer.may_open(s.now))
                return server.pacer.next_open();
            if (auto const until = evict_idle_connection(s, server))
                return *until;
            start_connection(s, id, server, workspace);
            has_any = true;
        }
    }
    return never;
}

} // namespace

connection_count count_connections(state const& s,
                                   server_row const& server,
                                   workspace_name const& workspace)
{
    connection_count out;
    for (auto const id : server.connections)
    {
        auto const& row = *s.connections.find(id);
        if (row.workspace != workspace)
            continue;
        ++out.all;
        out.opening += row.state == connection_state::opening ? 1 : 0;
        out.idle += row.state == connection_state::idle ? 1 : 0;
    }
    return out;
}

void dispatch_by_workspace(state& s, server_row_id id, server_row& server)
{
    query_primary_if_needed(s, id, server);
    send_to_idle_connections(s, server);
    s.to_report.push_back(id);
    bool const is_needed = !server.queue->empty() || !server.expected.empty();
    if (!is_needed || server.is_removed || server.is_leaving)
        return;
    auto retry_at = s.now < server.next_open ? server.next_open
                                             : open_for_waiting(s, id, server);
    if (server.window.next_send() > s.now && server.outstanding == 0)
        retry_at = std::min(retry_at, server.window.next_send());
    if (retry_at != never)
        s.timers.set({timer_kind::server_dispatch, id}, retry_at);
}

} // namespace basilreach::traffic::detail
