#include <basilreach/consensus/member.hpp>

#include <algorithm>

#include "majority.hpp"

namespace basilreach::consensus
{

void member::update_peers()
{
    auto const& members = log_.members();
    for (auto it = peer_by_name_.begin(); it != peer_by_name_.end();)
    {
        if (members.has_voter(it->first) || members.has_learner(it->first))
        {
            ++it;
            continue;
        }
        peers_.erase(it->second);
        it = peer_by_name_.erase(it);
    }
    for (auto const* hosts : {&members.voters, &members.learners})
        for (auto const& host : *hosts)
            if (host != settings_.self && !peer_by_name_.contains(host))
            {
                peer added;
                added.host = host;
                added.next_index = log_.last_index() + 1;
                peer_by_name_.emplace(host, peers_.insert(added));
            }
}

void member::append_entry(entry_kind kind, entry_payload payload)
{
    log_entry entry{log_.last_index() + 1, hard_.term, kind,
                    std::move(payload)};
    out_.append.push_back(entry);
    log_.append(std::move(entry));
    for (auto const& [host, id] : peer_by_name_)
        changed_peers_.insert(host);
}

void member::advance_commit()
{
    if (role_ != member_role::leader)
        return;
    // The caller syncs entries before it sends or applies anything, so the
    // leader counts its own entries at once.
    auto const reached = majority<std::uint64_t>(
        log_.last_index(), [](peer const& it) { return it.match_index; });
    // A later leader could still replace an entry of an earlier term, even one
    // that a majority has. It is committed with the first entry of this term.
    if (reached > commit_index_ && log_.term_at(reached) == hard_.term)
        commit_index_ = reached;
    if (log_.members_index() <= commit_index_ &&
        !log_.members().has_voter(settings_.self))
    {
        // A last round informs the others that the removal is committed.
        start_round();
        become_follower(hard_.term, {});
    }
}

void member::on_heartbeat_timer()
{
    if (role_ != member_role::leader)
        return;
    // Appends without a reply are taken as lost; the reply to the heartbeat
    // shows which entries the peer has.
    for (auto const& [host, id] : peer_by_name_)
        peers_.find(id)->appends_in_flight = 0;
    start_round();
}

void member::start_round()
{
    ++round_;
    rounds_.emplace_back(round_, now_);
    while (rounds_.front().second + 2 * settings_.election_timeout_max < now_)
        rounds_.pop_front();
    for (auto const& [host, id] : peer_by_name_)
        send_to(*peers_.find(id));
    changed_peers_.clear();
    deadlines_.set(timer::heartbeat, now_ + settings_.heartbeat);
}

void member::replicate()
{
    for (auto const& host : changed_peers_)
    {
        auto* const it = find_peer(host);
        if (it == nullptr)
            continue;
        if (it->transfer != nullptr)
            send_chunk(*it);
        while (it->transfer == nullptr && it->next_index <= log_.last_index() &&
               it->appends_in_flight < settings_.max_appends_in_flight)
            send_append(*it);
    }
    changed_peers_.clear();
    send_commit_index();
}

// Sends a new commit index to the followers at once. If it waited for the next
// heartbeat, they would apply the entries, and report them in force, up to
// 75 ms later.
void member::send_commit_index()
{
    if (role_ != member_role::leader)
        return;
    for (auto const& [host, id] : peer_by_name_)
    {
        auto& it = *peers_.find(id);
        if (it.transfer == nullptr && it.sent_commit_index < commit_index_ &&
            it.next_index > log_.last_index())
            send_append(it);
    }
}

void member::send_to(peer& to)
{
    if (to.transfer != nullptr)
        send_chunk(to);
    else
        send_append(to);
}

void member::send_append(peer& to)
{
    auto const previous_term = log_.term_at(to.next_index - 1);
    if (!previous_term)
    {
        to.transfer = log_.base();
        to.transfer_offset = 0;
        send_chunk(to);
        return;
    }
    append_request request{
        to.next_index - 1, *previous_term, commit_index_, round_, {}};
    if (to.appends_in_flight < settings_.max_appends_in_flight)
        request.entries = log_.slice(to.next_index, settings_.max_batch_entries,
                                     settings_.max_batch_bytes);
    if (!request.entries.empty())
        ++to.appends_in_flight;
    to.next_index += request.entries.size();
    to.sent_commit_index = commit_index_;
    send(to.host, std::move(request));
}

void member::send_chunk(peer& to)
{
    auto const& base = *to.transfer;
    send(to.host,
         snapshot_chunk{base.index, base.term, base.members, base.state.size(),
                        to.transfer_offset,
                        base.state.substr(to.transfer_offset,
                                          settings_.snapshot_chunk_bytes),
                        round_});
}

void member::acknowledge(peer& from, std::uint64_t round)
{
    if (round <= from.acknowledged_round)
        return;
    from.acknowledged_round = round;
    auto const it = std::lower_bound(rounds_.begin(), rounds_.end(), round,
                                     [](auto const& sent, std::uint64_t n)
                                     { return sent.first < n; });
    if (it != rounds_.end() && it->first == round)
        from.last_contact = it->second;
}

void member::on_append_request(peer_message const& it)
{
    auto const& request = std::get<append_request>(it.body);
    record_leader_contact(it.from);
    leader_commit_index_ = request.commit_index;
    auto const previous = request.previous_index;
    if (previous < commit_index_)
    {
        // The log of every later leader has all committed entries, so the logs
        // match up to the commit index.
        send(it.from, append_reply{true, commit_index_, request.round});
        return;
    }
    auto const term = log_.term_at(previous);
    if (term != request.previous_term)
    {
        // Skips all entries of the conflicting term in one step.
        auto match_candidate = std::min(previous, log_.last_index());
        if (term)
            while (match_candidate > commit_index_ &&
                   log_.term_at(match_candidate) == term)
                --match_candidate;
        send(it.from, append_reply{false, match_candidate, request.round});
        return;
    }
    for (auto const& entry : request.entries)
    {
        auto const existing_term = log_.term_at(entry.index);
        if (existing_term == entry.term)
            continue;
        if (existing_term)
        {
            out_.truncate_from = entry.index;
            log_.truncate_from(entry.index);
        }
        log_.append(entry);
        out_.append.push_back(entry);
    }
    auto const matched = previous + request.entries.size();
    commit_index_ =
        std::max(commit_index_, std::min(request.commit_index, matched));
    // The entries may have made this host a voter, which needs the timer.
    arm_election();
    send(it.from, append_reply{true, matched, request.round});
}

void member::on_append_reply(peer_message const& it)
{
    auto const& reply = std::get<append_reply>(it.body);
    auto* const from = find_peer(it.from);
    if (role_ != member_role::leader || from == nullptr)
        return;
    acknowledge(*from, reply.round);
    auto const next_before = from->next_index;
    if (reply.accepted)
    {
        from->match_index = std::max(from->match_index, reply.index);
        from->next_index = std::max(from->next_index, from->match_index + 1);
        if (from->appends_in_flight > 0)
            --from->appends_in_flight;
        if (from->transfer && from->transfer->index <= from->match_index)
            from->transfer = nullptr;
        changed_peers_.insert(it.from);
        return;
    }
    from->next_index =
        std::min(next_before, std::max(from->match_index, reply.index) + 1);
    // A rejection that does not change next_index is not answered before the
    // next heartbeat. Otherwise the two hosts would exchange appends and
    // rejections without end.
    if (from->next_index != next_before)
    {
        from->appends_in_flight = 0;
        changed_peers_.insert(it.from);
    }
}

void member::on_snapshot_chunk(peer_message const& it)
{
    auto const& chunk = std::get<snapshot_chunk>(it.body);
    record_leader_contact(it.from);
    bool const has_entry = log_.term_at(chunk.index) == chunk.term;
    if (chunk.index <= commit_index_ || has_entry)
    {
        // The log already has these entries. Installing the snapshot would drop
        // later ones that this host may have acknowledged.
        commit_index_ = std::max(commit_index_, chunk.index);
        send(it.from, snapshot_reply{chunk.index, 0, true, chunk.round});
        return;
    }
    auto& value = incoming_.value;
    if (value.index != chunk.index || value.term != chunk.term ||
        incoming_.leader_term != it.term)
        incoming_ = {{chunk.index, chunk.term, chunk.members, {}}, it.term};
    if (chunk.offset == value.state.size())
        value.state += chunk.bytes;
    bool const is_complete = value.state.size() >= chunk.total_bytes;
    send(it.from, snapshot_reply{chunk.index, value.state.size(), is_complete,
                                 chunk.round});
    if (!is_complete)
        return;
    out_.install = std::exchange(incoming_, {}).value;
    log_.reset(*out_.install);
    commit_index_ = chunk.index;
    applied_index_ = chunk.index;
    arm_election();
}

void member::on_snapshot_reply(peer_message const& it)
{
    auto const& reply = std::get<snapshot_reply>(it.body);
    auto* const from = find_peer(it.from);
    if (role_ != member_role::leader || from == nullptr)
        return;
    acknowledge(*from, reply.round);
    if (!from->transfer || from->transfer->index != reply.index)
        return;
    if (reply.complete)
    {
        from->match_index = std::max(from->match_index, reply.index);
        from->next_index = from->match_index + 1;
        from->appends_in_flight = 0;
        from->transfer = nullptr;
        changed_peers_.insert(it.from);
    }
    else if (from->transfer_offset != reply.next_offset)
    {
        from->transfer_offset = std::min<std::uint64_t>(
            reply.next_offset, from->transfer->state.size());
        changed_peers_.insert(it.from);
    }
}

} // namespace basilreach::consensus
