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

bool share_address(host_name const& a, host_name const& b)
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
    heard_[host] = now;
}

void membership_manager::record_join_request(host_name const& host, instant now)
{
    wishes_[host] = now;
}

instant membership_manager::heard(host_name const& host) const
{
    auto const it = heard_.find(host);
    return it == heard_.end() ? started_ : it->second;
}

bool membership_manager::is_silent(host_name const& host,
                                   duration limit,
                                   instant now) const
{
    return host != self_ && heard(host) + limit <= now;
}

// An even number of voters bears no more losses than one fewer. The one at an
// address with another voter has lost its disk; otherwise the most silent goes.
std::optional<host_name>
membership_manager::find_superfluous_voter(membership const& members,
                                           instant now) const
{
    if (members.voters.size() % 2 != 0 || members.voters.size() < 4)
        return std::nullopt;
    std::optional<host_name> out;
    for (auto const& it : members.voters)
    {
        bool const has_successor = std::any_of(
            members.voters.begin(), members.voters.end(),
            [&](host_name const& other)
            { return share_address(it, other) && heard(it) < heard(other); });
        if (has_successor && it != self_)
            return it;
        if (is_silent(it, settings_.silence, now) &&
            (!out || heard(it) < heard(*out)))
            out = it;
    }
    return out;
}

std::optional<host_name>
membership_manager::find_superfluous_learner(membership const& members,
                                             instant now) const
{
    auto const it = std::find_if(
        members.learners.begin(), members.learners.end(),
        [&](host_name const& learner)
        { return is_silent(learner, settings_.learner_silence, now); });
    return it == members.learners.end() ? std::nullopt : std::optional(*it);
}

bool membership_manager::is_needed(host_name const& learner,
                                   membership const& members,
                                   instant now) const
{
    if (is_silent(learner, settings_.silence, now))
        return false;
    if (members.voters.size() % 2 == 0)
        return true;
    return std::any_of(members.voters.begin(), members.voters.end(),
                       [&](host_name const& it)
                       {
                           return share_address(it, learner) ||
                                  is_silent(it, settings_.silence, now);
                       });
}

std::optional<membership_change>
membership_manager::next_change(membership const& members, instant now) const
{
    if (auto const it = find_superfluous_voter(members, now))
        return membership_change{membership_step::remove, *it};
    for (auto const& it : members.learners)
        if (is_needed(it, members, now))
            return membership_change{membership_step::promote, it};
    if (auto const it = find_superfluous_learner(members, now))
        return membership_change{membership_step::remove, *it};
    for (auto const& [host, wished] : wishes_)
        if (wished + settings_.wish > now && !members.has_voter(host) &&
            !members.has_learner(host))
            return membership_change{membership_step::add_learner, host};
    return std::nullopt;
}

} // namespace basilreach::control
