#ifndef BASILREACH_DISPATCH_PLACEMENT_HPP
#define BASILREACH_DISPATCH_PLACEMENT_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <basilreach/base/name.hpp>

namespace basilreach::dispatch
{

// A daemon that runs statements for other daemons.
struct member
{
    data_centre_name data_centre;
    // IP address and port for forwarded statements.
    std::string address;

    friend bool operator==(member const&, member const&) = default;
};

using member_map = std::map<daemon_name, member>;

// What a holder holds: a workspace, and one group of it if it is split.
struct placement_key
{
    workspace_name workspace;
    std::optional<group_name> group;

    friend auto operator<=>(placement_key const&,
                            placement_key const&) = default;
};

// Returns the key of a statement. A workspace is split if its burst has two
// tokens for each pair of group and data centre: with fewer, the holders would
// wait for each other's tokens.
[[nodiscard]] placement_key make_placement_key(workspace_name const& workspace,
                                               group_name const& group,
                                               std::uint64_t burst,
                                               std::size_t groups,
                                               std::size_t data_centres);

// Returns the members of a data centre in the order in which they hold the key,
// by rendezvous hashing: when a member is added or removed, only the keys that
// it holds move. The order is the same at every daemon, on every platform.
[[nodiscard]] std::vector<daemon_name>
rank_holders(member_map const& members,
             placement_key const& key,
             data_centre_name const& data_centre);

// Returns the data centres that have members, and therefore holders.
[[nodiscard]] std::set<data_centre_name>
data_centres_of(member_map const& members);

// Returns the holders of the first rank of a workspace in all data centres: one
// in each, or one for each group in each if the workspace is split. `groups`
// are those that have holders.
[[nodiscard]] std::set<daemon_name>
first_holders(member_map const& members,
              workspace_name const& workspace,
              std::uint64_t burst,
              std::set<group_name> const& groups);

} // namespace basilreach::dispatch

#endif
