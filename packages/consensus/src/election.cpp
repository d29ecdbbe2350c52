#include <basilreach/consensus/member.hpp>

#include <algorithm>

#include "majority.hpp"

namespace basilreach::consensus
{

bool member::is_electable() const
{
    // While the removal of this host is not committed, it may be the only host
    // whose log is long enough to win an election.
    return log_.members().has_voter(settings_.self) ||
           (log_.members_index() > commit_index_ &&
            log_.members_at(commit_index_).has_voter(settings_.self));
}

void member::arm_election()
{
    if (!is_electable())
    {
        deadlines_.erase(timer::election);
        return;
    }
    auto const range = static_cast<std::uint64_t>(
        (settings_.election_timeout_max - settings_.election_timeout_min)
            .count());
    auto const jitter = static_cast<duration::rep>(random_() % (range + 1));
    deadlines_.set(timer::election,
                   now_ + settings_.election_timeout_min + duration{jitter});
}

void member::arm_quorum()
{
    // A single voter is its own majority, so its timer is simply set again.
    deadlines_.set(timer::quorum, leader_until());
}

instant member::leader_until() const
{
    // A voter that acknowledged a round grants no vote for the minimum election
    // timeout after it received the round, so at least that long after the
    // round was sent. The margin allows for different clock rates.
    auto const majority_contact =
        majority<instant>(now_, [](peer const& it) { return it.last_contact; });
    return majority_contact + settings_.election_timeout_min -
           settings_.election_timeout_min * max_clock_drift_per_mille / 1000;
}

void member::on_quorum_timeout()
{
    if (role_ != member_role::leader)
        return;
    if (leader_until() <= now_)
        become_follower(hard_.term, {});
    else
        arm_quorum();
}

void member::on_election_timeout()
{
    if (role_ != member_role::leader && is_electable())
        start_vote(member_role::pre_candidate);
}

void member::start_vote(member_role role)
{
    role_ = role;
    leader_ = {};
    if (role == member_role::candidate)
    {
        hard_ = {hard_.term + 1, settings_.self};
        votes_requested_at_ = now_;
    }
    update_peers();
    for (auto const& [host, id] : peer_by_name_)
    {
        peers_.find(id)->granted = false;
        if (!log_.members().has_voter(host))
            continue;
        if (role == member_role::candidate)
            send(host, vote_request{log_.last_index(), log_.last_term()});
        else
            send(host, pre_vote_request{hard_.term + 1, log_.last_index(),
                                        log_.last_term()});
    }
    arm_election();
    count_votes();
}

void member::count_votes()
{
    if (!majority<bool>(true, [](peer const& it) { return it.granted; }))
        return;
    if (role_ == member_role::pre_candidate)
        start_vote(member_role::candidate);
    else
        become_leader();
}

bool member::has_recent_leader_contact() const
{
    return role_ == member_role::leader ||
           (leader_contact_known_ &&
            now_ < last_leader_contact_ + settings_.election_timeout_min);
}

bool member::is_up_to_date(std::uint64_t last_index,
                           std::uint64_t last_term) const
{
    return std::pair{last_term, last_index} >=
           std::pair{log_.last_term(), log_.last_index()};
}

void member::on_pre_vote_request(peer_message const& it)
{
    auto const& request = std::get<pre_vote_request>(it.body);
    bool const is_granted =
        request.proposed_term > hard_.term && !has_recent_leader_contact() &&
        is_up_to_date(request.last_index, request.last_term);
    send(it.from, pre_vote_reply{request.proposed_term, is_granted});
}

void member::on_pre_vote_reply(peer_message const& it)
{
    auto const& reply = std::get<pre_vote_reply>(it.body);
    auto* const from = find_peer(it.from);
    if (role_ != member_role::pre_candidate || from == nullptr ||
        !reply.granted || reply.proposed_term != hard_.term + 1)
        return;
    from->granted = true;
    count_votes();
}

void member::on_vote_request(peer_message const& it)
{
    auto const& request = std::get<vote_request>(it.body);
    bool const is_granted =
        (hard_.vote.empty() || hard_.vote == it.from) &&
        is_up_to_date(request.last_index, request.last_term);
    if (is_granted)
    {
        become_follower(hard_.term, {});
        hard_.vote = it.from;
        last_leader_contact_ = now_;
        leader_contact_known_ = true;
        arm_election();
    }
    send(it.from, vote_reply{is_granted});
}

void member::on_vote_reply(peer_message const& it)
{
    auto* const from = find_peer(it.from);
    if (role_ != member_role::candidate || from == nullptr ||
        !std::get<vote_reply>(it.body).granted)
        return;
    from->granted = true;
    count_votes();
}

void member::become_follower(std::uint64_t term, host_name const& leader)
{
    if (term > hard_.term)
        hard_ = {term, {}};
    bool const was_leader = role_ == member_role::leader;
    role_ = member_role::follower;
    leader_ = leader;
    if (!was_leader)
        return;
    fail_reads();
    changed_peers_.clear();
    deadlines_.erase(timer::heartbeat);
    deadlines_.erase(timer::quorum);
    arm_election();
}

void member::record_leader_contact(host_name const& leader)
{
    become_follower(hard_.term, leader);
    last_leader_contact_ = now_;
    leader_contact_known_ = true;
    arm_election();
}

void member::become_leader()
{
    role_ = member_role::leader;
    leader_ = settings_.self;
    deadlines_.erase(timer::election);
    first_index_of_term_ = log_.last_index() + 1;
    for (auto const& [host, id] : peer_by_name_)
    {
        auto& it = *peers_.find(id);
        bool const is_granted = it.granted;
        it = {};
        it.host = host;
        it.next_index = first_index_of_term_;
        it.last_contact =
            is_granted ? votes_requested_at_
                       : votes_requested_at_ - settings_.election_timeout_max;
    }
    append_entry(entry_kind::no_op, {});
    start_round();
    arm_quorum();
}

} // namespace basilreach::consensus
