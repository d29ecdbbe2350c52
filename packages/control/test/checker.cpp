#include "checker.hpp"

#include <algorithm>

namespace basilreach::control::test
{

void checker::record_primary(group_name const& group,
                             std::uint64_t term,
                             server_name const& server)
{
    if (primaries_.try_emplace({group, term}, server).first->second != server)
        violations.push_back("two primaries in one term: " + server.str());
}

bool checker::is_primary(group_name const& group,
                         std::uint64_t term,
                         server_name const& server) const
{
    auto const it = primaries_.find({group, term});
    return it != primaries_.end() && it->second == server;
}

void checker::record_chosen(group_name const& group,
                            std::uint64_t term,
                            log_position position)
{
    chosen_[group] = {term, position};
    if (position < acknowledged_[group])
        violations.push_back("chosen below an acknowledged position: " +
                             group.str());
}

void checker::record_acknowledged(group_name const& group,
                                  log_position position)
{
    acknowledged_[group] = std::max(acknowledged_[group], position);
    auto const& [term, start] = chosen_[group];
    if (position.term < term && position > start)
        violations.push_back("acknowledged in a superseded term: " +
                             group.str());
}

void checker::record_state(std::uint64_t revision, std::uint64_t digest)
{
    if (digests_.try_emplace(revision, digest).first->second != digest)
        violations.push_back("states differ at revision " +
                             std::to_string(revision));
}

void checker::check_lease(daemon_name const& daemon,
                          std::uint64_t served,
                          std::uint64_t in_force)
{
    if (served < in_force)
        violations.push_back("lease under an old state: " + daemon.str());
}

} // namespace basilreach::control::test
