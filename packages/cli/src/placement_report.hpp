#ifndef BASILREACH_CLI_SRC_PLACEMENT_REPORT_HPP
#define BASILREACH_CLI_SRC_PLACEMENT_REPORT_HPP

#include <compare>
#include <set>
#include <string>
#include <vector>

#include <basilreach/cli/admin_answer.hpp>
#include <basilreach/dispatch/dispatch_mode.hpp>
#include <basilreach/dispatch/placement.hpp>
#include <basilreach/rules/rule_set.hpp>

namespace basilreach::cli
{

// What SHOW STATUS tells about placement.
struct placement_input
{
    std::string revision;
    dispatch::member_map members;
    std::set<group_name> groups;

    friend bool operator==(placement_input const&,
                           placement_input const&) = default;
};

[[nodiscard]] placement_input
read_placement(std::vector<admin::status_row> const& rows);

// A holder of the first rank.
struct placement_row
{
    workspace_name workspace;
    // Empty if the workspace is not split.
    group_name group;
    data_centre_name data_centre;
    daemon_name holder;

    friend auto operator<=>(placement_row const&,
                            placement_row const&) = default;
};

// Returns the holders of all workspaces, as each daemon computes them. In mode
// automatic only those groups have holders whose servers accept fewer
// connections than there are members; in mode holders all groups.
[[nodiscard]] std::vector<placement_row>
list_holders(placement_input const& input,
             rules::rule_set const& rules,
             dispatch::dispatch_mode mode);

} // namespace basilreach::cli

#endif
