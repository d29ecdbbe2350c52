#include <basilreach/dispatch/placement.hpp>

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "ranking.hpp"

namespace basilreach::dispatch
{

namespace
{

constexpr std::uint64_t burst_per_holder = 2;

// Returns the bytes of a key. Names contain no zero byte, so that different
// keys have different bytes.
std::string bytes_of(placement_key const& key)
{
    auto bytes = key.workspace.str() + '\0';
    if (key.group)
        bytes += key.group->str() + '\0';
    return bytes + '\0';
}

std::uint64_t score(std::string const& key_bytes, daemon_name const& candidate)
{
    auto const bytes = key_bytes + candidate.str();
    return XXH3_64bits(bytes.data(), bytes.size());
}

// Returns the first holders of all data centres for one key.
void add_first_holders(
    std::map<data_centre_name, std::vector<daemon_name>> const& candidates,
    placement_key const& key,
    std::set<daemon_name>& holders)
{
    for (auto const& [data_centre, names] : candidates)
        holders.merge(
            std::set<daemon_name>{detail::first_ranks(names, key, 1).front()});
}

} // namespace

std::vector<daemon_name>
detail::first_ranks(std::vector<daemon_name> const& candidates,
                    placement_key const& key,
                    std::size_t n)
{
    auto const key_bytes = bytes_of(key);
    std::vector<std::pair<std::uint64_t, daemon_name const*>> scores;
    scores.reserve(candidates.size());
    for (auto const& it : candidates)
        scores.emplace_back(score(key_bytes, it), &it);
    n = std::min(n, scores.size());
    std::partial_sort(scores.begin(),
                      scores.begin() + static_cast<std::ptrdiff_t>(n),
                      scores.end(),
                      [](auto const& left, auto const& right)
                      {
                          if (left.first != right.first)
                              return left.first > right.first;
                          return *left.second < *right.second;
                      });
    std::vector<daemon_name> ranked;
    ranked.reserve(n);
    for (std::size_t rank = 0; rank != n; ++rank)
        ranked.push_back(*scores[rank].second);
    return ranked;
}

placement_key make_placement_key(workspace_name const& workspace,
                                 group_name const& group,
                                 std::uint64_t burst,
                                 std::size_t groups,
                                 std::size_t data_centres)
{
    auto const is_split = burst >= burst_per_holder * groups * data_centres;
    if (is_split)
        return {workspace, group};
    return {workspace, std::nullopt};
}

std::vector<daemon_name> rank_holders(member_map const& members,
                                      placement_key const& key,
                                      data_centre_name const& data_centre)
{
    std::vector<daemon_name> candidates;
    for (auto const& [name, it] : members)
        if (it.data_centre == data_centre)
            candidates.push_back(name);
    return detail::first_ranks(candidates, key, candidates.size());
}

std::set<data_centre_name> data_centres_of(member_map const& members)
{
    std::set<data_centre_name> found;
    for (auto const& [name, it] : members)
        found.insert(it.data_centre);
    return found;
}

std::set<daemon_name> first_holders(member_map const& members,
                                    workspace_name const& workspace,
                                    std::uint64_t burst,
                                    std::set<group_name> const& groups)
{
    std::map<data_centre_name, std::vector<daemon_name>> candidates;
    for (auto const& [name, it] : members)
        candidates[it.data_centre].push_back(name);
    std::set<daemon_name> holders;
    for (auto const& it : groups)
    {
        auto const key = make_placement_key(workspace, it, burst, groups.size(),
                                            candidates.size());
        add_first_holders(candidates, key, holders);
        if (!key.group)
            break;
    }
    return holders;
}

} // namespace basilreach::dispatch
