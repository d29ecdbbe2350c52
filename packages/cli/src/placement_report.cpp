#include "placement_report.hpp"

#include <cstdint>

namespace basilreach::cli
{

namespace
{

// Returns the groups of the input that have holders.
std::set<group_name> groups_with_holders(placement_input const& input,
                                         rules::rule_set const& rules,
                                         dispatch::dispatch_mode mode)
{
    std::set<group_name> found;
    for (auto const& it : input.groups)
    {
        auto const limit = rules.server_limits.find(it);
        auto const connections = limit == rules.server_limits.end()
                                     ? rules::server_limit_rule{}.connections
                                     : limit->second.connections;
        if (dispatch::has_holders(mode, input.members.size(), connections))
            found.insert(it);
    }
    return found;
}

// Adds the first holder of a key in each data centre.
void add_rows(dispatch::member_map const& members,
              std::set<data_centre_name> const& data_centres,
              dispatch::placement_key const& key,
              std::vector<placement_row>& rows)
{
    for (auto const& it : data_centres)
        rows.push_back({key.workspace, key.group.value_or(group_name{}), it,
                        dispatch::rank_holders(members, key, it).front()});
}

} // namespace

placement_input read_placement(std::vector<admin::status_row> const& rows)
{
    placement_input input;
    dispatch::member_map daemons;
    for (auto const& it : rows)
    {
        if (it.subject == "control" && it.property == "revision")
            input.revision = it.value;
        if (it.subject == "group")
            input.groups.insert(group_name{it.name});
        if (it.subject == "daemon" && it.property == "data_centre")
            daemons[daemon_name{it.name}].data_centre =
                data_centre_name{it.value};
        if (it.subject == "daemon" && it.property == "address")
            daemons[daemon_name{it.name}].address = it.value;
    }
    for (auto const& [name, it] : daemons)
        if (!it.address.empty())
            input.members.emplace(name, it);
    return input;
}

std::vector<placement_row> list_holders(placement_input const& input,
                                        rules::rule_set const& rules,
                                        dispatch::dispatch_mode mode)
{
    auto const groups = groups_with_holders(input, rules, mode);
    auto const data_centres = dispatch::data_centres_of(input.members);
    std::vector<placement_row> rows;
    for (auto const& [workspace, rule] : rules.workspaces)
        for (auto const& group : groups)
        {
            auto const key = dispatch::make_placement_key(
                workspace, group, rule.burst, groups.size(),
                data_centres.size());
            add_rows(input.members, data_centres, key, rows);
            if (!key.group)
                break;
        }
    return rows;
}

} // namespace basilreach::cli
