#include <basilreach/consensus/durable_state.hpp>
#include <basilreach/consensus/membership.hpp>

#include <algorithm>
#include <utility>

namespace basilreach::consensus
{

namespace
{

bool has(std::vector<host_name> const& hosts, host_name const& host)
{
    return std::binary_search(hosts.begin(), hosts.end(), host);
}

void insert(std::vector<host_name>& hosts, host_name const& host)
{
    if (!has(hosts, host))
        hosts.insert(std::lower_bound(hosts.begin(), hosts.end(), host), host);
}

} // namespace

bool membership::has_voter(host_name const& host) const
{
    return has(voters, host);
}

bool membership::has_learner(host_name const& host) const
{
    return has(learners, host);
}

membership apply_change(membership before, log_entry const& entry)
{
    host_name const host{entry.payload};
    if (entry.kind == entry_kind::add_learner && !before.has_voter(host))
        insert(before.learners, host);
    if (entry.kind == entry_kind::promote_learner ||
        entry.kind == entry_kind::remove_host)
        std::erase(before.learners, host);
    if (entry.kind == entry_kind::promote_learner)
        insert(before.voters, host);
    if (entry.kind == entry_kind::remove_host)
        std::erase(before.voters, host);
    return before;
}

snapshot first_snapshot(std::vector<host_name> voters, std::string state)
{
    std::sort(voters.begin(), voters.end());
    snapshot out;
    out.index = 1;
    out.members.voters = std::move(voters);
    out.state = std::move(state);
    return out;
}

} // namespace basilreach::consensus
