// Updates the tables from a new control view. The cost depends on the size of
// the view, but a view changes far less often than statements arrive.
#include <algorithm>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

group_row_id find_or_add_group(state& s, group_name const& name)
{
    auto const found = s.group_by_name.find(name);
    if (found != s.group_by_name.end())
        return found->second;
    group_row row;
    row.name = name;
    auto const id = s.groups.insert(std::move(row));
    s.group_by_name.emplace(name, id);
    return id;
}

void adopt_service(state& s, server_row_id id, bool is_out_of_service)
{
    auto* row = s.servers.find(id);
    if (std::exchange(row->is_out_of_service, is_out_of_service) ==
        is_out_of_service)
        return;
    timer_key const timer{timer_kind::out_of_service, id};
    row->ends_transactions = false;
    if (is_out_of_service)
        return s.timers.set(timer, s.now + s.settings.out_of_service_grace);
    s.timers.erase(timer);
}

void adopt_server(state& s, server_name const& name, server_view const& view)
{
    auto found = s.server_by_name.find(name);
    if (found != s.server_by_name.end())
    {
        auto* row = s.servers.find(found->second);
        // A server with a new address is treated as a new server: connections
        // to the former address are closed.
        if (row->address != view.address)
            while (!row->connections.empty())
                handle_connection_loss(s, row->connections.back(),
                                       refusal_reason::connection_lost);
    }
    else
    {
        server_row row;
        row.name = name;
        row.group = find_or_add_group(s, view.group);
        row.connection_share = s.settings.initial_connections;
        row.queue = std::make_unique<limits::class_queue<request_row_id>>(
            limits::fair_queue_settings{s.settings.queue_limit,
                                        rules::server_limit_rule{}.slots});
        auto const id = s.servers.insert(std::move(row));
        s.groups.find(s.servers.find(id)->group)->servers.push_back(id);
        found = s.server_by_name.emplace(name, id).first;
    }
    auto* row = s.servers.find(found->second);
    row->address = view.address;
    row->data_centre = view.data_centre;
    row->is_down = view.is_down;
    // Statements may wait for this server as the primary.
    if (row->is_leaving && !view.is_leaving)
        route_waiting_for_primary(s, *s.groups.find(row->group));
    row->is_leaving = view.is_leaving;
    row->is_removed = false;
    adopt_service(s, found->second, view.is_out_of_service);
    if (view.is_leaving)
        while (!row->idle.empty())
            drop_connection(s, row->idle.back());
}

void remove_missing_servers(state& s, control_view const& view)
{
    for (auto const& [name, id] : s.server_by_name)
    {
        if (view.servers.contains(name))
            continue;
        auto* row = s.servers.find(id);
        row->is_removed = true;
        while (!row->idle.empty())
            drop_connection(s, row->idle.back());
        reroute_queued(s, id);
    }
}

std::optional<server_row_id> find_server(state const& s,
                                         std::optional<server_name> const& name)
{
    if (!name)
        return std::nullopt;
    auto const found = s.server_by_name.find(*name);
    if (found == s.server_by_name.end())
        return std::nullopt;
    return found->second;
}

// Ends a term of a group: answers of the superseded primary are never relayed
// from now on, and its connections are closed.
void end_term(state& s, group_row& group)
{
    // Positions of an earlier term say nothing about the log of the next one.
    group.samples.clear();
    auto const held = std::move(group.held);
    group.held.clear();
    for (auto const& [position, id] : held)
        if (s.requests.find(id) != nullptr)
            refuse_request(s, id, refusal_outcome::unknown,
                           refusal_reason::superseded);
    if (!group.primary)
        return;
    s.actions.emplace_back(term_ended{group.name, group.acknowledged});
    auto* server = s.servers.find(*group.primary);
    // Closing all connections to the former primary also ends transactions that
    // began in the old term. The connections are read-write and must not serve
    // reads of a server that is now a replica.
    while (!server->connections.empty())
        handle_connection_loss(s, server->connections.back(),
                               refusal_reason::superseded);
    reroute_queued(s, *group.primary);
}

// Changes the primary of a server-checked group. The former primary itself
// rejects what only the primary may run, so its connections and their open
// transactions are kept.
void change_server_checked_primary(state& s,
                                   group_row_id id,
                                   std::uint64_t term,
                                   std::optional<server_row_id> primary)
{
    auto& group = *s.groups.find(id);
    if (group.primary)
        reroute_queued(s, *group.primary);
    if (primary)
        fence_outstanding_commits(s, id);
    record_primary_change(s, group, primary);
    group.term = term;
    group.primary = primary;
    group.primary_refused_until = instant{};
    group.is_querying_primary = false;
    route_waiting_for_sample(s, group);
    if (primary)
        route_waiting_for_primary(s, group);
}

void adopt_group(state& s, group_name const& name, group_view const& view)
{
    auto const id = find_or_add_group(s, name);
    auto* group = s.groups.find(id);
    auto const primary = find_server(s, view.primary);
    group->slots = view.slots;
    group->checked_by = view.checked_by;
    group->sync_replicas = view.sync_replicas;
    group->is_out_of_service = view.is_out_of_service;
    if (group->is_out_of_service)
        route_waiting_for_primary(s, *group);
    if (group->term == view.term && group->primary == primary)
        return;
    if (view.checked_by == rules::position_check::server)
        return change_server_checked_primary(s, id, view.term, primary);
    end_term(s, *group);
    record_primary_change(s, *group, primary);
    group->term = view.term;
    group->primary = primary;
    if (!primary)
        return;
    // The connections to the new primary were opened read-only while it was a
    // replica, so they are closed.
    auto* server = s.servers.find(*primary);
    while (!server->connections.empty())
        handle_connection_loss(s, server->connections.back(),
                               refusal_reason::connection_lost);
    reroute_queued(s, *primary);
    route_waiting_for_primary(s, *group);
}

// Ends the sessions whose key is no longer valid. A statement that has been
// sent may finish; its session ends afterwards.
void end_withdrawn_sessions(state& s, control_view const& view)
{
    for (auto const& [key, workspace] : s.view->keys)
    {
        auto const now = view.keys.find(key);
        auto const sessions = s.sessions_by_key.find(key);
        if ((now != view.keys.end() && now->second == workspace) ||
            sessions == s.sessions_by_key.end())
            continue;
        for (auto const id : sessions->second)
        {
            auto* session = s.sessions.find(id);
            session->is_ending = true;
            session->end_reason = refusal_reason::key_withdrawn;
            if (!session->request)
                close_idle_session(s, id, refusal_reason::key_withdrawn);
            else if (s.requests.find(*session->request)->state <
                     request_state::sent)
                refuse_request(s, *session->request, refusal_outcome::not_run,
                               refusal_reason::key_withdrawn, true);
        }
    }
}

} // namespace

namespace
{

void adopt_workspaces(state& s, control_view const& view)
{
    for (auto const& it : s.view->workspaces)
        if (!view.workspaces.contains(it))
            s.rate_limiter.remove_workspace(it);
    for (auto const& it : view.workspaces)
        if (!s.view->workspaces.contains(it))
            s.rate_limiter.add_workspace(it, s.now);
}

} // namespace

void reroute_queued(state& s, server_row_id id)
{
    for (auto const request : pop_queued(s, *s.servers.find(id)))
    {
        s.requests.find(request)->state = request_state::arrived;
        s.to_route.push_back(request);
    }
}

void adopt_control(state& s, control_view_ptr const& view)
{
    // A view older than the one in effect is never adopted.
    if (view->revision < s.view->revision)
        return;
    end_withdrawn_sessions(s, *view);
    adopt_workspaces(s, *view);
    s.view = view;
    for (auto const& [name, it] : view->servers)
        adopt_server(s, name, it);
    for (auto const& [name, it] : view->groups)
        adopt_group(s, name, it);
    remove_missing_servers(s, *view);
    for (auto const& [name, id] : s.server_by_name)
    {
        auto* server = s.servers.find(id);
        if (server->is_down || server->is_leaving)
            reroute_queued(s, id);
    }
    adopt_members(s);
    schedule_confirmation(s, view->revision);
}

} // namespace basilreach::traffic::detail
