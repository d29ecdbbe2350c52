#ifndef BASILREACH_TRAFFIC_CONTROL_VIEW_HPP
#define BASILREACH_TRAFFIC_CONTROL_VIEW_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <basilreach/base/name.hpp>
#include <basilreach/dispatch/placement.hpp>
#include <basilreach/rules/rule_set.hpp>

namespace basilreach::traffic
{

using rules::key_digest;
using rules::route_class;

struct server_view
{
    group_name group;
    data_centre_name data_centre;
    // IP address and port.
    std::string address;
    bool is_down = false;
    bool is_leaving = false;
    // The data centre of the server is out of service: open transactions end
    // after engine_settings::out_of_service_grace.
    bool is_out_of_service = false;

    friend bool operator==(server_view const&, server_view const&) = default;
};

struct group_view
{
    std::uint64_t term = 0;
    // Absent while a change of primary is in progress.
    std::optional<server_name> primary;
    // Statements that each server of the group runs at the same time.
    std::uint32_t slots = 3;
    // Connections that each server of the group accepts.
    std::uint32_t connections = 25;
    rules::position_check checked_by = rules::position_check::proxy;
    // Replicas that receive a commit before it is acknowledged, in a
    // server-checked group.
    std::uint32_t sync_replicas = 0;
    // No server may be the primary, because their data centres are out of
    // service. What only the primary may run is refused at once.
    bool is_out_of_service = false;

    friend bool operator==(group_view const&, group_view const&) = default;
};

// The part of the control state by which traffic is routed. A published view is
// immutable.
struct control_view
{
    std::uint64_t revision = 0;
    // Without rules the routes and keys are not known yet.
    bool has_rules = false;
    std::map<route_name, rules::route_rule> routes;
    std::map<key_digest, workspace_name> keys;
    std::set<workspace_name> workspaces;
    // Whether a rule states a priority. Without, statements are ordered and
    // refused without regard to classes.
    bool has_priorities = false;
    std::map<workspace_name, rules::workspace_rule> workspace_rules;
    std::map<server_name, server_view> servers;
    std::map<group_name, group_view> groups;
    // The daemons that run statements for others.
    dispatch::member_map members;

    friend bool operator==(control_view const&, control_view const&) = default;
};

using control_view_ptr = std::shared_ptr<control_view const>;

} // namespace basilreach::traffic

#endif
