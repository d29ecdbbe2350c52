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

// The settings of a member; the time limits are equal on all control hosts.
struct member_settings
{
    host_name self;
    // Seeds the election timeouts; different on each host.
    std::uint64_t seed = 0;
    duration election_timeout_min = std::chrono::milliseconds{300};
    duration election_timeout_max = std::chrono::milliseconds{600};
    duration heartbeat = std::chrono::milliseconds{75};
    // Limits of one append message. Frames end at 16 MiB.
    std::size_t max_batch_entries = 512;
    std::size_t max_batch_bytes = std::size_t{1} << 20U;
    std::size_t max_payload_bytes = std::size_t{8} << 20U;
    // Appends sent to a peer without a reply; entries that arrive meanwhile
    // are sent together in the next one.
    std::size_t max_appends_in_flight = 2;
    std::size_t max_uncommitted = 10'000;
    std::size_t snapshot_chunk_bytes = std::size_t{256} << 10U;
    // A learner that misses at most this many entries can become a voter.
    std::uint64_t catch_up_entries = 64;

    friend auto operator<=>(member_settings const&,
                            member_settings const&) = default;
};

// The part of one control host in the agreement. It has no clock, no sockets
// and no files: each call takes the time and returns what is to be done. All
// calls come from one thread, with times that do not decrease.
class member
{
public:
    // Starts from what storage holds. A host that was a member before gives no
    // vote for one election timeout, because it may have promised one to the
    // leader before it stopped.
    member(member_settings settings, durable_state state, instant now);

    // Handles a message of another control host.
    step_result receive(peer_message const& message, instant now);

    // Appends commands at the leader; several together are synced and sent
    // together.
    step_result propose(entry_payload payload, instant now);
    step_result propose(std::vector<entry_payload> payloads, instant now);

    // Runs what is due. Call it at next_deadline().
    step_result tick(instant now);

    // Confirms by a heartbeat round that this host is still the leader.
    step_result read(read_id id, instant now);

    // Changes the membership by one host. Only one change is open at a time.
    step_result add_learner(host_name const& host, instant now);
    step_result promote(host_name const& host, instant now);
    step_result remove(host_name const& host, instant now);

    // Drops the entries that a snapshot covers. The caller made it from the
    // applied state, with the membership of members_at(), and has saved it.
    void compact(snapshot base);

    // The time by which tick() is to be called, or never.
    [[nodiscard]] instant next_deadline() const
    {
        return deadlines_.next();
    }

    [[nodiscard]] role_state state() const
    {
        return {role_, hard_.term, leader_};
    }

    // The time before which no other host can have become leader, valid while
    // this host is the leader.
    [[nodiscard]] instant leader_until() const;

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

    // The membership in use, including a change that is not yet committed.
    [[nodiscard]] membership const& members() const
    {
        return log_.members();
    }

    // The membership after the entry at an index, for a snapshot.
    [[nodiscard]] membership const& members_at(std::uint64_t n) const
    {
        return log_.members_at(n);
    }

private:
    // The leader's view of another host, or a candidate's.
    struct peer
    {
        host_name host;
        bool granted = false;
        std::uint64_t next_index = 1;
        std::uint64_t match_index = 0;
        std::size_t appends_in_flight = 0;
        // The commit index in the last append.
        std::uint64_t told_commit = 0;
        std::uint64_t acknowledged_round = 0;
        // When the last acknowledged round was sent.
        instant contact{};
        // The snapshot being sent, or null.
        std::shared_ptr<snapshot const> transfer;
        std::uint64_t transfer_offset = 0;
    };

    // A read that waits for its round and its index.
    struct pending_read
    {
        read_id id;
        std::uint64_t round;
        std::uint64_t index;
    };

    // A snapshot being received.
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

    using system = void (member::*)();
    using handler = void (member::*)(peer_message const&);

    // Systems that run in this order in each step.
    void advance_commit();
    void apply_committed();
    void start_read_round();
    void confirm_reads();
    void replicate();
    void announce_commit();

    void election_due();
    void heartbeat_due();
    void quorum_due();

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
    [[nodiscard]] bool admits(peer_message const& it);

    void become_follower(std::uint64_t term, host_name const& leader);
    void start_vote(member_role role);
    void count_votes();
    void become_leader();
    void follow(host_name const& leader);
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
    [[nodiscard]] bool hears_leader() const;
    [[nodiscard]] bool may_lead() const;
    [[nodiscard]] bool is_up_to_date(std::uint64_t last_index,
                                     std::uint64_t last_term) const;
    // The greatest value that a majority of the voters has reached.
    template <class T, class Function>
    [[nodiscard]] T majority(T own, Function of_peer) const;

    member_settings settings_;
    replicated_log log_;
    hard_state hard_;
    std::mt19937_64 random_;
    member_role role_ = member_role::follower;
    host_name leader_;
    std::uint64_t commit_index_ = 0;
    std::uint64_t applied_index_ = 0;
    // When a leader was last heard or a vote was last given.
    instant heard_{};
    // Whether heard_ has been set at all.
    bool heard_any_ = false;
    // When the votes of the current term were asked for.
    instant asked_votes_{};
    std::uint64_t first_index_of_term_ = 0;

    table<peer> peers_;
    std::map<host_name, row_id> peer_by_name_;
    std::set<host_name> changed_peers_;
    std::deque<pending_read> reads_;
    deadline_queue<timer> deadlines_;
    // The current round and when the recent ones were sent.
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
