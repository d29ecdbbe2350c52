#ifndef BASILREACH_CONTROL_LEADER_HPP
#define BASILREACH_CONTROL_LEADER_HPP

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/control/control_state.hpp>
#include <basilreach/control/lease.hpp>

namespace basilreach::control
{

struct leader_settings
{
    lease_settings leases;
    // The greatest election timeout: a former leader that is cut off grants
    // leases this long after the election of the next one.
    duration step_down_timeout = std::chrono::milliseconds{600};
    // Interval at which unanswered proposals, queries and promotions are sent
    // again.
    duration retry = std::chrono::milliseconds{200};
    // Time in which a server that accepted a promotion says that it leads;
    // after it the order is sent again.
    duration claim_limit = std::chrono::milliseconds{2500};
    // A daemon that has not confirmed a change after this time gets no new
    // lease until it does. Otherwise one that can send and not receive, or has
    // a traffic thread that hangs, would keep the change from being in force
    // for ever. The value is the aim for the adoption by reachable daemons.
    duration confirm_limit = std::chrono::milliseconds{250};
    // A group gets its first primary once this many servers are announced, so
    // that the first server to arrive does not form a majority on its own.
    std::size_t first_servers = 3;

    friend bool operator==(leader_settings const&,
                           leader_settings const&) = default;
};

// The state has applied this entry and answered it.
struct committed
{
    std::uint64_t index = 0;
    command entry;
    command_answer answer;

    friend bool operator==(committed const&, committed const&) = default;
};

// A server answered a position query.
struct position_reported
{
    server_name server;
    // The round of the query. A late answer to an earlier round may lie below
    // a write that was acknowledged since.
    std::uint64_t round = 0;
    std::uint64_t term = 0;
    std::uint64_t offset = 0;

    friend bool operator==(position_reported const&,
                           position_reported const&) = default;
};

// A server answered a promotion.
struct promotion_answered
{
    server_name server;
    std::uint64_t term = 0;
    bool ok = false;

    friend bool operator==(promotion_answered const&,
                           promotion_answered const&) = default;
};

using leader_input = std::variant<lease_renewal,
                                  lease_returned,
                                  committed,
                                  position_reported,
                                  promotion_answered>;

// Put the command into the replicated log. It may be lost; the leader proposes
// it again while it is needed.
struct propose
{
    command entry;

    friend bool operator==(propose const&, propose const&) = default;
};

// Ask the servers for their positions.
struct query_positions
{
    group_name group;
    std::uint64_t round = 0;
    std::vector<server_name> servers;

    friend bool operator==(query_positions const&,
                           query_positions const&) = default;
};

// Tell the server that it is the primary of this term.
struct promote
{
    server_name server;
    group_name group;
    std::uint64_t term = 0;

    friend bool operator==(promote const&, promote const&) = default;
};

// Every daemon has adopted this revision or has no lease.
struct change_in_force
{
    std::uint64_t revision = 0;
    // Since the revision was committed, or since the election.
    duration elapsed{};

    friend bool operator==(change_in_force const&,
                           change_in_force const&) = default;
};

enum class promotion_reason : std::uint8_t
{
    first_primary,
    // The primary has said that it is none, or has left.
    no_primary,
    primary_down,
    primary_leaving,
    // A daemon has neither confirmed the end of the term nor lost its lease.
    waiting_for_daemons,
    // Fewer servers answered than any acknowledged write is known to reach.
    waiting_for_majority,
    // A daemon acknowledged a write that no server that answered has.
    acknowledged_write_missing,
    // Each server that answered is down or leaving.
    no_candidate,
    highest_position,
    waiting_for_candidate,
    candidate_down,
    candidate_leaving,
    candidate_refused,
    candidate_accepted,
    // The promotion is over.
    serving
};

// Returns the text of a reason for the decision log.
[[nodiscard]] char const* to_string(promotion_reason it);

// One line of the decision log, written when the decision of a group changes.
struct promotion_decision
{
    group_name group;
    std::uint64_t term = 0;
    std::optional<server_name> server;
    promotion_reason reason = promotion_reason::serving;

    friend bool operator==(promotion_decision const&,
                           promotion_decision const&) = default;
};

using leader_output = std::variant<propose,
                                   grant_lease,
                                   query_positions,
                                   promote,
                                   change_in_force,
                                   promotion_decision>;

// The decisions of the leading control host. It exists from the moment at which
// the host has applied the first entry of its own term, so that the state holds
// every entry that an earlier leader has committed, until the host stops
// leading.
class leader
{
public:
    // The state must outlive the leader; the host applies each entry to it
    // before it passes on `committed`. elected_at is the time of the election.
    leader(control_state const& state,
           leader_settings settings,
           instant elected_at);

    // Stores an input for the next tick.
    void receive(leader_input it);

    // Handles the stored inputs and what is due.
    std::vector<leader_output> tick(instant now);

    // The time at which tick must run again, instant::min() when inputs wait.
    [[nodiscard]] instant next_deadline() const;

    // Every revision up to this one is in force.
    [[nodiscard]] std::uint64_t revision_in_force() const noexcept
    {
        return in_force_;
    }

    // Rows visited by all ticks so far; bounds the cost of a tick in tests.
    [[nodiscard]] std::uint64_t rows_visited() const noexcept
    {
        return rows_visited_;
    }

private:
    using handler = void (leader::*)(leader_input const&, instant);

    // Two processes under one name have two incarnations and hold two leases.
    // The incarnation is unknown for a lease granted by an earlier leader.
    struct holder
    {
        daemon_name daemon;
        bool is_known = false;
        std::uint64_t incarnation = 0;

        friend auto operator<=>(holder const&, holder const&) = default;
    };

    struct lease_row
    {
        holder who;
        std::uint64_t confirmed = 0;
        instant until;
    };

    struct change_row
    {
        std::uint64_t revision = 0;
        instant committed_at;
    };

    struct promotion_row
    {
        // Round of the position query in progress and the answers to it.
        std::optional<std::uint64_t> round;
        std::map<server_name, log_position> positions;
        // The candidate's last answer and its term.
        std::optional<promotion_answered> answer;
        // The term of the last choice that this leader has made.
        std::uint64_t chosen_term = 0;
        // What was last sent, and when it is due to be sent again.
        std::optional<leader_output> sent;
        instant resend_at;
        std::optional<promotion_decision> last_decision;
    };

    static handler const handlers[];

    void on_renewal(leader_input const& it, instant now);
    void on_return(leader_input const& it, instant now);
    void on_committed(leader_input const& it, instant now);
    void on_position(leader_input const& it, instant now);
    void on_promotion_answer(leader_input const& it, instant now);

    void expire_leases(instant now);
    void settle_changes(instant now);
    void run_promotions(instant now);

    row_id insert_lease(lease_row row);
    // Returns the holder's lease, or no row.
    row_id lease_of(holder const& who);
    void
    extend_lease(holder const& who, std::uint64_t confirmed, instant until);
    [[nodiscard]] bool is_recent(std::uint64_t confirmed, instant now) const;
    void end_lease(row_id id, instant now);
    [[nodiscard]] bool has_lease(daemon_name const& daemon) const;
    void register_daemon_of(lease_renewal const& renewal, instant now);

    void run_promotion(group_name const& group, instant now);
    void run_serving(group_name const& group, instant now);
    [[nodiscard]] std::optional<promotion_reason>
    reason_to_replace(group_name const& group) const;
    [[nodiscard]] std::optional<promotion_reason>
    reason_to_replace_checked(group_entry const& group) const;
    void run_fencing(group_name const& group, instant now);
    void run_choosing(group_name const& group, instant now);
    void choose(group_name const& group, instant now);
    void send(group_name const& group, leader_output it, instant now);
    void decide(group_name const& group,
                std::optional<server_name> server,
                promotion_reason reason);
    [[nodiscard]] bool can_serve(server_name const& server) const;

    control_state const& state_;
    leader_settings settings_;
    // State at the election; a lease is granted only at or above it.
    std::uint64_t base_;
    std::uint64_t in_force_ = 0;
    std::uint64_t next_round_;

    table<lease_row> leases_;
    std::map<holder, row_id> lease_by_holder_;
    // Live leases by confirmed revision: the first one decides what is in
    // force.
    std::set<std::pair<std::uint64_t, row_id>> by_confirmed_;
    deadline_queue<row_id> lease_deadlines_;
    std::deque<change_row> changes_;
    // Time at which a registration is proposed again.
    std::map<daemon_name, instant> registrations_;
    // Removed daemons whose lease has ended, until they are forgotten.
    deadline_queue<daemon_name> removals_;

    std::map<group_name, promotion_row> promotions_;
    std::map<group_name, log_position> acknowledged_;
    std::set<group_name> changed_groups_;
    // Groups that wait until the end of their term is in force.
    std::set<std::pair<std::uint64_t, group_name>> fencing_groups_;
    deadline_queue<group_name> group_deadlines_;

    std::uint64_t rows_visited_ = 0;
    std::vector<leader_input> inbox_;
    std::vector<leader_output> out_;
};

} // namespace basilreach::control

#endif
