// Brings the tables in line with a new control view. The cost follows the size
// of the view, and a view changes far less often than statements arrive.
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

void adopt_server(state& s, server_name const& name, server_view const& view)
{
    auto found = s.server_by_name.find(name);
    if (found != s.server_by_name.end())
    {
        auto* row = s.servers.find(found->second);
        // A server that moved is a new one to this thread's connections.
        if (row->address != view.address)
            while (!row->connections.empty())
                lose_connection(s, row->connections.back(),
                                refusal_reason::connection_lost);
    }
    else
    {
        server_row row;
        row.name = name;
        row.group = find_or_add_group(s, view.group);
        row.share = s.settings.initial_connections;
        row.queue = std::make_unique<limits::fair_queue<request_row_id>>(
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
    row->is_leaving = view.is_leaving;
    row->is_removed = false;
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
        requeue_waiting(s, id);
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

// Ends the work of a superseded primary: its results are never relayed again.
void end_term(state& s, group_row& group)
{
    // The positions of an earlier term say nothing about this one.
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
    // Closing every connection of the former primary also ends transactions
    // that began in the old term; read-write connections must not serve reads
    // of what is now a replica.
    while (!server->connections.empty())
        lose_connection(s, server->connections.back(),
                        refusal_reason::superseded);
    requeue_waiting(s, *group.primary);
}

void route_waiting_for_primary(state& s, group_row& group)
{
    while (!group.waiting_primary.empty())
    {
        s.to_route.push_back(group.waiting_primary.front());
        group.waiting_primary.pop_front();
    }
}

// A former primary refuses what only a primary may run, so that its
// connections and its open transactions can stay.
void follow_primary(state& s,
                    group_row& group,
                    std::uint64_t term,
                    std::optional<server_row_id> primary)
{
    if (group.primary)
        requeue_waiting(s, *group.primary);
    group.term = term;
    group.primary = primary;
    group.primary_refused_until = instant{};
    group.is_probing = false;
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
    if (group->term == view.term && group->primary == primary)
        return;
    if (view.checked_by == rules::position_check::server)
        return follow_primary(s, *group, view.term, primary);
    end_term(s, *group);
    group->term = view.term;
    group->primary = primary;
    if (!primary)
        return;
    // Connections to the new primary were opened read-only.
    auto* server = s.servers.find(*primary);
    while (!server->connections.empty())
        lose_connection(s, server->connections.back(),
                        refusal_reason::connection_lost);
    requeue_waiting(s, *primary);
    route_waiting_for_primary(s, *group);
}

// Cuts off the callers whose key is no longer valid. A statement that is
// running may finish; its session ends with it.
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
            session->ending = true;
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
            s.tokens.remove_workspace(it);
    for (auto const& it : view.workspaces)
        if (!s.view->workspaces.contains(it))
            s.tokens.add_workspace(it, s.now);
}

} // namespace

void requeue_waiting(state& s, server_row_id id)
{
    for (auto const request : take_waiting(s, *s.servers.find(id)))
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
            requeue_waiting(s, id);
    }
    s.actions.emplace_back(control_view_adopted{view->revision});
}

} // namespace basilreach::traffic::detail
