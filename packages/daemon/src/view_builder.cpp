#include <basilreach/daemon/view_builder.hpp>

#include <algorithm>
#include <utility>

#include <basilreach/rules/parse.hpp>

namespace basilreach::daemon
{

namespace
{

// In a server-checked group a server is judged down when its own reports stop.
// That verdict counts for promotions only: a server that clients still reach
// continues to serve reads.
bool is_down(control::control_state const& state,
             control::server_entry const& it)
{
    return it.health == control::verdict::down &&
           !state.is_server_checked(it.group);
}

void add_servers(control::control_state const& state,
                 traffic::control_view& view)
{
    for (auto const& [name, it] : state.parts().servers)
        if (!it.is_removed)
            view.servers.emplace(
                name,
                traffic::server_view{it.group, it.data_centre, it.address,
                                     is_down(state, it), state.is_leaving(it),
                                     !state.is_in_service(it.data_centre)});
}

void add_groups(control::control_state const& state,
                traffic::control_view& view)
{
    for (auto const& [name, it] : state.parts().groups)
    {
        traffic::group_view group;
        group.term = it.term;
        group.is_out_of_service = state.is_out_of_service(name);
        if (it.phase == control::group_phase::serving)
            group.primary = it.primary;
        // Replicas report the previous term until the chosen server has
        // accepted the new one.
        if (it.phase == control::group_phase::choosing && it.term > 0)
            group.term = it.term - 1;
        auto const& limits = state.rules()->server_limits;
        auto const limit = limits.find(name);
        if (limit != limits.end())
        {
            group.slots = limit->second.slots;
            group.connections = limit->second.connections;
            group.checked_by = limit->second.checked_by;
            group.sync_replicas = limit->second.sync_replicas;
        }
        view.groups.emplace(name, group);
    }
}

bool has_priorities(rules::rule_set const& rules)
{
    auto const states_priority = [](auto const& it)
    {
        return it.second.priority.has_value();
    };
    return std::any_of(rules.routes.begin(), rules.routes.end(),
                       states_priority) ||
           std::any_of(rules.workspaces.begin(), rules.workspaces.end(),
                       states_priority);
}

void add_members(control::control_state const& state,
                 traffic::control_view& view)
{
    for (auto const& [name, it] : state.parts().daemons)
        if (!it.is_removed && !it.address.empty())
            view.members.emplace(name,
                                 dispatch::member{it.data_centre, it.address});
}

} // namespace

traffic::control_view_ptr
build_view(control::control_state const& state,
           std::set<control::key_digest> const& denied)
{
    auto view = std::make_shared<traffic::control_view>();
    view->revision = state.revision();
    view->has_rules = state.parts().rules_version > 0;
    view->routes = state.rules()->routes;
    view->keys = state.rules()->keys;
    view->workspace_rules = state.rules()->workspaces;
    for (auto const& [name, rule] : state.rules()->workspaces)
        view->workspaces.insert(name);
    view->has_priorities = has_priorities(*state.rules());
    for (auto const& it : denied)
        view->keys.erase(it);
    add_servers(state, *view);
    add_groups(state, *view);
    add_members(state, *view);
    return view;
}

control::rules_parser make_rules_parser()
{
    return [](std::string_view text)
               -> result<rules::rule_set, control::rules_errors>
    {
        auto parsed = rules::parse_rules(text);
        if (parsed)
            return std::move(parsed.value());
        control::rules_errors errors;
        for (auto const& it : parsed.error())
            errors.lines.push_back(rules::to_string(it));
        return errors;
    };
}

} // namespace basilreach::daemon
