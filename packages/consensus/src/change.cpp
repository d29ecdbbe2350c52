#include <basilreach/consensus/member.hpp>

#include <algorithm>

namespace basilreach::consensus
{

bool member::in_contact(host_name const& host)
{
    if (host == settings_.self)
        return true;
    auto const* const it = find_peer(host);
    return it != nullptr &&
           it->last_contact + settings_.election_timeout_min > now_;
}

std::optional<refusal> member::check_change(entry_kind kind,
                                            host_name const& host)
{
    auto const& members = log_.members();
    bool const is_voter = members.has_voter(host);
    bool const is_learner = members.has_learner(host);
    if (role_ != member_role::leader)
        return refusal::not_leader;
    // Until a leader has committed an entry of its own term, it may not know
    // about a change that an earlier leader committed. A further change could
    // then allow two majorities that do not overlap.
    if (commit_index_ < first_index_of_term_)
        return refusal::leader_not_ready;
    if (log_.members_index() > commit_index_)
        return refusal::change_in_progress;
    if (kind == entry_kind::add_learner
            ? is_voter || is_learner
            : is_voter && kind != entry_kind::remove_host)
        return refusal::already_member;
    if (kind != entry_kind::add_learner && !is_voter && !is_learner)
        return refusal::unknown_host;
    if (kind == entry_kind::remove_host && is_voter &&
        members.voters.size() == 1)
        return refusal::last_voter;
    auto const after = apply_change(members, {0, 0, kind, host.str()}).voters;
    auto const reachable = static_cast<std::size_t>(
        std::count_if(after.begin(), after.end(),
                      [&](host_name const& it) { return in_contact(it); }));
    if (kind == entry_kind::promote_learner)
    {
        auto const* const it = find_peer(host);
        if (!in_contact(host) ||
            it->match_index + settings_.catch_up_entries < log_.last_index())
            return refusal::learner_behind;
    }
    // Learners have no vote, so adding or removing one is always safe.
    if (after != members.voters && reachable <= after.size() / 2)
        return refusal::quorum_at_risk;
    return std::nullopt;
}

void member::change_membership(entry_kind kind, host_name const& host)
{
    out_.refused = check_change(kind, host);
    if (out_.refused)
        return;
    out_.accepted = {log_.last_index() + 1, hard_.term};
    append_entry(kind, host.str());
    update_peers();
}

step_result member::add_learner(host_name const& host, instant now)
{
    begin(now);
    change_membership(entry_kind::add_learner, host);
    return finish();
}

step_result member::promote(host_name const& host, instant now)
{
    begin(now);
    change_membership(entry_kind::promote_learner, host);
    return finish();
}

step_result member::remove(host_name const& host, instant now)
{
    begin(now);
    change_membership(entry_kind::remove_host, host);
    return finish();
}

} // namespace basilreach::consensus
