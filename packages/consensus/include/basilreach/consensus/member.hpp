#ifndef BASILREACH_CONSENSUS_MEMBER_HPP
#define BASILREACH_CONSENSUS_MEMBER_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/consensus/durable_state.hpp>
#include <basilreach/consensus/log_entry.hpp>
#include <basilreach/consensus/membership.hpp>
#include <basilreach/consensus/peer_message.hpp>
#include <basilreach/consensus/replicated_log.hpp>
#include <basilreach/consensus/step_result.hpp>

namespace basilreach::consensus
{

// The settings of a member. The timeouts must be equal on all control hosts.
struct member_settings
{
    host_name self;
    // Seeds the random election timeouts; must differ between hosts.
    std::uint64_t seed = 0;
    duration election_timeout_min = std::chrono::milliseconds{300};
    duration election_timeout_max = std::chrono::milliseconds{600};
    duration heartbeat = std::chrono::milliseconds{75};
    // Limits of one append message, which must fit into a frame of 16 MiB.
    std::size_t max_batch_entries = 512;
    std::size_t max_batch_bytes = std::size_t{1} << 20U;
    std::size_t max_payload_bytes = std::size_t{8} << 20U;
    // Limit of appends with entries that a peer has not yet answered. Entries
    // proposed meanwhile are sent together in a later append.
    std::size_t max_appends_in_flight = 2;
    std::size_t max_uncommitted = 10'000;
    // Limit of the payloads that one step applies, except that a step applies
    // one entry of any size. Between steps the caller can send heartbeats.
    std::size_t max_apply_bytes = std::size_t{64} << 10U;
    std::size_t snapshot_chunk_bytes = std::size_t{256} << 10U;
    // A learner that lags by at most this many entries can become a voter.
    std::uint64_t catch_up_entries = 64;

    friend auto operator<=>(member_settings const&,
                            member_settings const&) = default;
};

// One control host's instance of the Raft consensus protocol, with pre-vote. It
// has no clock and does no input or output: each call takes the current time
// and returns the actions that the caller must perform. All calls must come
// from one thread, with times that do not decrease.
class member
{
public:
    // Starts from the stored state. A host that has taken part in a term before
    // grants no vote for the minimum election timeout: just before it stopped
    // it may have acknowledged a heartbeat, on which the leader relies that
    // long.
    member(member_settings settings, durable_state state, instant now);

    // Handles a message of another control host.
    step_result receive(peer_message const& message, instant now);

    // Appends commands to the log of the leader. Commands that are passed in
    // one call are synced and sent together.
    step_result propose(entry_payload payload, instant now);
    step_result propose(std::vector<entry_payload> payloads, instant now);

    // Runs the timers that are due. Must be called at next_deadline().
    step_result tick(instant now);

    // Starts a linearizable read: a heartbeat round confirms that this host is
    // still the leader. The outcome is in the reads of a later step_result.
    step_result read(read_id id, instant now);

    // Change the membership by one host. A change is refused while an earlier
    // one is not committed.
    step_result add_learner(host_name const& host, instant now);
    step_result promote(host_name const& host, instant now);
    step_result remove(host_name const& host, instant now);

    // Removes the log entries that a snapshot covers. The caller must have
    // built the snapshot from the applied state, with the membership of
    // members_at(), and have saved it.
    void compact(snapshot base);

    // The time at which tick() must be called, or never.
    [[nodiscard]] instant next_deadline() const
    {
        return applied_index_ < commit_index_ ? instant::min()
                                              : deadlines_.next();
    }

    [[nodiscard]] role_state state() const
    {
        return {role_, hard_.term, leader_};
    }

    // The time before which no other host can become leader. Meaningful only
    // while this host is the leader.
    [[nodiscard]] instant leader_until() const;

    // Whether this host has applied all that its leader had committed when it
    // sent its last message, the first entry of the leader's own term included:
    // a leader does not know before what earlier leaders committed (Ongaro,
    // "Consensus: Bridging Theory and Practice", section 6.4). False while no
    // leader is known.
    [[nodiscard]] bool is_caught_up() const;

    [[nodiscard]] std::uint64_t commit_index() const
    {
        return commit_index_;
    }

    [[nodiscard]] std::uint64_t last_index() const
    {
        return log_.last_index();
    }

    [[nodiscard]] std::uint64_t term_at(std::uint64_t n) const
    {
        return log_.term_at(n).value_or(0);
    }

    // The current membership, including a change that is not yet committed.
    [[nodiscard]] membership const& members() const
    {
        return log_.members();
    }

    // The membership after the log entry at an index, for a snapshot.
    [[nodiscard]] membership const& members_at(std::uint64_t n) const
    {
        return log_.members_at(n);
    }

private:
    // What a leader or a candidate knows about another host.
    struct peer
    {
        host_name host;
        // Whether the host granted its vote or pre-vote.
        bool granted = false;
        std::uint64_t next_index = 1;
        std::uint64_t match_index = 0;
        std::size_t appends_in_flight = 0;
        // The commit index of the last append.
        std::uint64_t sent_commit_index = 0;
        std::uint64_t acknowledged_round = 0;
        // The send time of the last acknowledged round.
        instant last_contact{};
        // The snapshot that is being sent, or null.
        std::shared_ptr<snapshot const> transfer;
        std::uint64_t transfer_offset = 0;
    };

    // A read that waits until its heartbeat round is acknowledged by a majority
    // and the entry at its index is applied.
    struct pending_read
    {
        read_id id;
        std::uint64_t round;
        std::uint64_t index;
    };

    // A snapshot that is being received.
    struct partial_snapshot
    {
        snapshot value;
        std::uint64_t leader_term = 0;
    };

    enum class timer : std::uint8_t
    {
        election,
        heartbeat,
        quorum
    };

    using step_function = void (member::*)();
    using handler = void (member::*)(peer_message const&);

    // Run in this order at the end of each step; send_commit_index() is part of
    // replicate().
    void advance_commit();
    void apply_committed();
    void start_read_round();
    void confirm_reads();
    void replicate();
    void send_commit_index();

    void on_election_timeout();
    void on_heartbeat_timer();
    void on_quorum_timeout();

    void on_pre_vote_request(peer_message const& it);
    void on_pre_vote_reply(peer_message const& it);
    void on_vote_request(peer_message const& it);
    void on_vote_reply(peer_message const& it);
    void on_append_request(peer_message const& it);
    void on_append_reply(peer_message const& it);
    void on_snapshot_chunk(peer_message const& it);
    void on_snapshot_reply(peer_message const& it);

    void begin(instant now);
    step_result finish();
    void run_due_timers();
    [[nodiscard]] bool accepts(peer_message const& it);

    void become_follower(std::uint64_t term, host_name const& leader);
    void start_vote(member_role role);
    void count_votes();
    void become_leader();
    void record_leader_contact(host_name const& leader);
    void arm_election();
    void arm_quorum();
    void update_peers();
    void start_round();
    void send_to(peer& to);
    void send_append(peer& to);
    void send_chunk(peer& to);
    void send(host_name const& to, peer_message_body body);
    void acknowledge(peer& from, std::uint64_t round);
    void append_entry(entry_kind kind, entry_payload payload);
    void change_membership(entry_kind kind, host_name const& host);
    void fail_reads();

    [[nodiscard]] std::optional<refusal> check_change(entry_kind kind,
                                                      host_name const& host);
    [[nodiscard]] bool in_contact(host_name const& host);
    [[nodiscard]] peer* find_peer(host_name const& host);
    [[nodiscard]] bool has_recent_leader_contact() const;
    [[nodiscard]] bool is_electable() const;
    [[nodiscard]] bool is_up_to_date(std::uint64_t last_index,
                                     std::uint64_t last_term) const;
    // Returns the greatest value that a majority of the voters has reached; the
    // value of this host is `own`.
    template <class T, class Function>
    [[nodiscard]] T majority(T own, Function value_of_peer) const;

    member_settings settings_;
    replicated_log log_;
    hard_state hard_;
    std::mt19937_64 random_;
    member_role role_ = member_role::follower;
    host_name leader_;
    std::uint64_t commit_index_ = 0;
    std::uint64_t applied_index_ = 0;
    // The commit index of the last append of a leader.
    std::uint64_t leader_commit_index_ = 0;
    // When a message of a leader was last received, a vote was last granted or,
    // at first, the member was created. No vote is granted for the minimum
    // election timeout after it.
    instant last_leader_contact_{};
    // False only on a host that has taken part in no term: it has promised
    // nothing and may grant a vote at once.
    bool leader_contact_known_ = false;
    // When the votes of the current term were requested.
    instant votes_requested_at_{};
    std::uint64_t first_index_of_term_ = 0;

    table<peer> peers_;
    std::map<host_name, row_id> peer_by_name_;
    std::set<host_name> changed_peers_;
    std::deque<pending_read> reads_;
    deadline_queue<timer> deadlines_;
    // The current heartbeat round, and the send times of recent rounds.
    std::uint64_t round_ = 0;
    std::deque<std::pair<std::uint64_t, instant>> rounds_;
    partial_snapshot incoming_;

    instant now_{};
    hard_state hard_before_;
    role_state state_before_;
    step_result out_;
};

} // namespace basilreach::consensus

#endif
