#include <basilreach/control/membership_manager.hpp>

#include <algorithm>
#include <utility>

namespace basilreach::control
{

namespace
{

using consensus::host_name;
using consensus::membership;

std::string address_of(host_name const& it)
{
    return it.str().substr(it.str().find('=') + 1);
}

bool have_same_address(host_name const& a, host_name const& b)
{
    return a != b && address_of(a) == address_of(b);
}

} // namespace

membership_manager::membership_manager(membership_settings settings,
                                       host_name self,
                                       instant started)
    : settings_(settings), self_(std::move(self)), started_(started)
{
}

void membership_manager::record_contact(host_name const& host, instant now)
{
    last_contact_[host] = now;
}

void membership_manager::record_join_request(host_name const& host, instant now)
{
    join_requests_[host] = now;
}

instant membership_manager::last_contact(host_name const& host) const
{
    auto const it = last_contact_.find(host);
    return it == last_contact_.end() ? started_ : it->second;
}

bool membership_manager::is_out_of_contact(host_name const& host,
                                           duration timeout,
                                           instant now) const
{
    return host != self_ && last_contact(host) + timeout <= now;
}

// Returns a voter to remove from an even number of voters: one fewer tolerates
// as many losses. If two voters share an address, the one with the older
// contact has lost its disk and was replaced by the other. Otherwise returns
// the voter that has been out of contact longest, if any is beyond the timeout.
std::optional<host_name>
membership_manager::find_surplus_voter(membership const& members,
                                       instant now) const
{
    if (members.voters.size() % 2 != 0 || members.voters.size() < 4)
        return std::nullopt;
    std::optional<host_name> out;
    for (auto const& it : members.voters)
    {
        bool const has_successor =
            std::any_of(members.voters.begin(), members.voters.end(),
                        [&](host_name const& other)
                        {
                            return have_same_address(it, other) &&
                                   last_contact(it) < last_contact(other);
                        });
        if (has_successor && it != self_)
            return it;
        if (is_out_of_contact(it, settings_.contact_timeout, now) &&
            (!out || last_contact(it) < last_contact(*out)))
            out = it;
    }
    return out;
}

std::optional<host_name>
membership_manager::find_lost_learner(membership const& members,
                                      instant now) const
{
    auto const it =
        std::find_if(members.learners.begin(), members.learners.end(),
                     [&](host_name const& learner) {
                         return is_out_of_contact(
                             learner, settings_.learner_contact_timeout, now);
                     });
    return it == members.learners.end() ? std::nullopt : std::optional(*it);
}

bool membership_manager::should_promote(host_name const& learner,
                                        membership const& members,
                                        instant now) const
{
    if (is_out_of_contact(learner, settings_.contact_timeout, now))
        return false;
    auto const needed_voters = 2 * settings_.tolerated_losses + 1;
    if (members.voters.size() % 2 == 0 || members.voters.size() < needed_voters)
        return true;
    return std::any_of(members.voters.begin(), members.voters.end(),
                       [&](host_name const& it)
                       {
                           return have_same_address(it, learner) ||
                                  is_out_of_contact(
                                      it, settings_.contact_timeout, now);
                       });
}

std::optional<membership_change>
membership_manager::next_change(membership const& members, instant now) const
{
    if (auto const it = find_surplus_voter(members, now))
        return membership_change{membership_step::remove, *it};
    for (auto const& it : members.learners)
        if (should_promote(it, members, now))
            return membership_change{membership_step::promote, it};
    if (auto const it = find_lost_learner(members, now))
        return membership_change{membership_step::remove, *it};
    for (auto const& [host, requested_at] : join_requests_)
        if (requested_at + settings_.join_request_lifetime > now &&
            !members.has_voter(host) && !members.has_learner(host))
            return membership_change{membership_step::add_learner, host};
    return std::nullopt;
}

} // namespace basilreach::control
