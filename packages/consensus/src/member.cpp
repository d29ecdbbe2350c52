#include <basilreach/consensus/member.hpp>

#include <algorithm>
#include <array>

#include "majority.hpp"

namespace basilreach::consensus
{

member::member(member_settings settings, durable_state state, instant now)
    : settings_(std::move(settings)),
      log_(std::move(state.base), state.entries), hard_(std::move(state.hard)),
      random_(settings_.seed), commit_index_(log_.base()->index),
      applied_index_(commit_index_), last_leader_contact_(now),
      leader_contact_known_(hard_.term > 0), now_(now)
{
    arm_election();
}

void member::begin(instant now)
{
    now_ = std::max(now_, now);
    hard_before_ = hard_;
    state_before_ = state();
    // A process that was suspended must find that its leadership has ended
    // before it handles anything else.
    run_due_timers();
}

step_result member::finish()
{
    static constexpr std::array<step_function, 5> step_functions{
        &member::advance_commit, &member::apply_committed,
        &member::start_read_round, &member::confirm_reads, &member::replicate};
    for (auto const it : step_functions)
        (this->*it)();
    if (hard_ != hard_before_)
        out_.hard = hard_;
    if (state() != state_before_)
        out_.role = state();
    return std::exchange(out_, {});
}

void member::run_due_timers()
{
    // In the order of enum timer.
    static constexpr std::array<step_function, 3> timer_handlers{
        &member::on_election_timeout, &member::on_heartbeat_timer,
        &member::on_quorum_timeout};
    while (auto const it = deadlines_.pop_due(now_))
        (this->*timer_handlers[static_cast<std::size_t>(*it)])();
}

step_result member::tick(instant now)
{
    begin(now);
    return finish();
}

step_result member::receive(peer_message const& message, instant now)
{
    // In the order of peer_message_body.
    static constexpr std::array<handler, std::variant_size_v<peer_message_body>>
        handlers{&member::on_pre_vote_request, &member::on_pre_vote_reply,
                 &member::on_vote_request,     &member::on_vote_reply,
                 &member::on_append_request,   &member::on_append_reply,
                 &member::on_snapshot_chunk,   &member::on_snapshot_reply};
    begin(now);
    if (message.to == settings_.self && accepts(message))
        (this->*handlers[message.body.index()])(message);
    return finish();
}

bool member::accepts(peer_message const& it)
{
    bool const is_pre_vote = std::holds_alternative<pre_vote_request>(it.body);
    bool const is_vote = std::holds_alternative<vote_request>(it.body);
    bool const is_append = std::holds_alternative<append_request>(it.body);
    bool const is_chunk = std::holds_alternative<snapshot_chunk>(it.body);
    // Pre-votes change no term, and vote requests are ignored while there is a
    // leader. A host that returns or was removed thus cannot depose a leader.
    if (is_pre_vote || (is_vote && has_recent_leader_contact()))
        return is_pre_vote;
    if (it.term > hard_.term)
        become_follower(it.term, is_append || is_chunk ? it.from : host_name{});
    if (it.term == hard_.term)
        return true;
    // The reply carries this host's later term, so that the sender steps down.
    if (is_vote)
        send(it.from, vote_reply{});
    if (is_append || is_chunk)
        send(it.from, append_reply{});
    return false;
}

step_result member::propose(entry_payload payload, instant now)
{
    std::vector<entry_payload> one;
    one.push_back(std::move(payload));
    return propose(std::move(one), now);
}

step_result member::propose(std::vector<entry_payload> payloads, instant now)
{
    begin(now);
    auto const uncommitted = log_.last_index() - commit_index_;
    auto const is_too_large = [&](entry_payload const& it)
    {
        return it.size() > settings_.max_payload_bytes;
    };
    if (role_ != member_role::leader)
        out_.refused = refusal::not_leader;
    else if (std::any_of(payloads.begin(), payloads.end(), is_too_large))
        out_.refused = refusal::payload_too_large;
    else if (uncommitted + payloads.size() > settings_.max_uncommitted)
        out_.refused = refusal::too_many_uncommitted;
    else
    {
        out_.accepted = {log_.last_index() + 1, hard_.term};
        for (auto& it : payloads)
            append_entry(entry_kind::command, std::move(it));
    }
    return finish();
}

step_result member::read(read_id id, instant now)
{
    begin(now);
    // A leader knows that entries of earlier terms are committed only once an
    // entry of its own term is, so a read waits at least for the first of
    // those.
    if (role_ == member_role::leader)
        reads_.push_back(
            {id, round_ + 1, std::max(commit_index_, first_index_of_term_)});
    else
        out_.refused = refusal::not_leader;
    return finish();
}

void member::apply_committed()
{
    std::size_t bytes = 0;
    while (applied_index_ < commit_index_ && bytes < settings_.max_apply_bytes)
    {
        out_.apply.push_back(log_.at(++applied_index_));
        bytes += out_.apply.back().payload.size();
    }
}

bool member::is_caught_up() const
{
    if (role_ == member_role::leader)
        return applied_index_ >= first_index_of_term_;
    return !leader_.empty() && applied_index_ >= leader_commit_index_ &&
           log_.term_at(leader_commit_index_) == hard_.term;
}

void member::start_read_round()
{
    if (role_ != member_role::leader || reads_.empty() ||
        reads_.back().round <= round_)
        return;
    // A round for reads starts only after the current round is acknowledged;
    // reads that arrive meanwhile share the next round.
    auto const acknowledged = majority<std::uint64_t>(
        round_, [](peer const& it) { return it.acknowledged_round; });
    if (acknowledged >= round_)
        start_round();
}

void member::confirm_reads()
{
    if (role_ != member_role::leader || reads_.empty())
        return;
    auto const acknowledged = majority<std::uint64_t>(
        round_, [](peer const& it) { return it.acknowledged_round; });
    while (!reads_.empty() && reads_.front().round <= acknowledged &&
           reads_.front().index <= applied_index_)
    {
        out_.reads.push_back({reads_.front().id, true});
        reads_.pop_front();
    }
}

void member::fail_reads()
{
    for (auto const& it : reads_)
        out_.reads.push_back({it.id, false});
    reads_.clear();
}

void member::send(host_name const& to, peer_message_body body)
{
    out_.send.push_back({settings_.self, to, hard_.term, std::move(body)});
}

member::peer* member::find_peer(host_name const& host)
{
    auto const it = peer_by_name_.find(host);
    return it == peer_by_name_.end() ? nullptr : peers_.find(it->second);
}

void member::compact(snapshot base)
{
    log_.compact(std::move(base));
}

} // namespace basilreach::consensus
