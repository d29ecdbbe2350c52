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
    // The maximum election timeout: a former leader without contact to the
    // other hosts may grant leases for this long after the next election.
    duration step_down_timeout = std::chrono::milliseconds{600};
    // Interval at which unanswered proposals, position queries and promotion
    // orders are sent again.
    duration retry = std::chrono::milliseconds{200};
    // Time within which a server that accepted a promotion order must report
    // itself as the primary, in a server-checked group; after that the order is
    // sent again.
    duration takeover_timeout = std::chrono::milliseconds{2500};
    // The lease of a daemon that has not confirmed a change ends this time and
    // the duration of a lease after the change was committed. Otherwise a
    // daemon that can send but not receive, or that has a hanging traffic
    // thread, would prevent the change from coming into force for ever. 250 ms
    // is the target for the adoption of a change by all reachable daemons.
    duration confirmation_timeout = std::chrono::milliseconds{250};
    // A group that is not server-checked gets its first primary once it has
    // this many servers, so that the first one announced is no majority on its
    // own.
    std::size_t first_servers = 3;
    // Primaries of data centres out of service that are replaced at the same
    // time, so that the groups do not lose their primaries all at once.
    std::size_t planned_changes = 2;
    // A planned change that takes longer, for example because no candidate
    // answers, no longer counts, so that it does not stop the others.
    duration planned_change_timeout = std::chrono::milliseconds{2000};
    // Groups that one tick examines after a data centre went out of service or
    // returned. With 17,000 databases, a tick over all groups would delay the
    // leases of the daemons.
    std::size_t groups_per_tick = 512;

    friend bool operator==(leader_settings const&,
                           leader_settings const&) = default;
};

// The log entry at this index has been applied to the state, with this answer.
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
    // The round of the query. A late answer to an earlier round is not used: a
    // write may have been acknowledged above its position since.
    std::uint64_t round = 0;
    std::uint64_t term = 0;
    std::uint64_t offset = 0;

    friend bool operator==(position_reported const&,
                           position_reported const&) = default;
};

// A server answered a promotion order.
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

// Append the command to the replicated log. A proposal may be lost; the leader
// proposes the command again as long as it is needed.
struct propose
{
    command entry;

    friend bool operator==(propose const&, propose const&) = default;
};

// Query the servers for their log positions.
struct query_positions
{
    group_name group;
    std::uint64_t round = 0;
    std::vector<server_name> servers;

    friend bool operator==(query_positions const&,
                           query_positions const&) = default;
};

// Order the server to become the primary of this term.
struct promote
{
    server_name server;
    group_name group;
    std::uint64_t term = 0;

    friend bool operator==(promote const&, promote const&) = default;
};

// Every daemon either has adopted this revision or has no lease.
struct change_in_force
{
    std::uint64_t revision = 0;
    // Time since the revision was committed or, for a revision from before the
    // election of this leader, since the election.
    duration elapsed{};

    friend bool operator==(change_in_force const&,
                           change_in_force const&) = default;
};

enum class promotion_reason : std::uint8_t
{
    first_primary,
    // The primary has reported another role, or was removed from the group.
    no_primary,
    primary_down,
    primary_leaving,
    // The primary's data centre is out of service.
    data_centre_stopped,
    // As many planned changes of primary as allowed are in progress.
    waiting_for_turn,
    // A daemon that still holds a lease has not confirmed the end of the term.
    waiting_for_daemons,
    // The servers that answered do not yet prove that a candidate has all
    // acknowledged writes.
    waiting_for_majority,
    // A daemon acknowledged a write that no candidate that answered has.
    acknowledged_write_missing,
    // Every server that answered is down or leaving.
    no_candidate,
    highest_position,
    waiting_for_candidate,
    candidate_down,
    candidate_leaving,
    candidate_refused,
    candidate_accepted,
    // The group has a primary that needs no replacement.
    serving
};

// Returns the name of a reason for the decision log.
[[nodiscard]] char const* to_string(promotion_reason it);

// One line of the decision log. Written when the decision on a group changes.
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

// The daemons as the leader knows them.
struct lease_counts
{
    std::size_t registered = 0;
    // Leases that have not ended, with those of earlier incarnations.
    std::size_t leased = 0;
    // The lowest revision that the holder of a lease has confirmed. A daemon
    // without a lease is not waited for and may be below.
    std::uint64_t lowest_confirmed = 0;

    friend bool operator==(lease_counts const&, lease_counts const&) = default;
};

// Makes the decisions of the control host that is the leader: it grants leases,
// determines which revisions are in force and replaces primaries. It is created
// once the host has applied the first log entry of its own term, because the
// state then includes every entry that an earlier leader committed. It is
// destroyed when the host stops being the leader.
class leader
{
public:
    // The state must outlive the leader. The caller must apply each log entry
    // to the state before it passes on `committed`. elected_at is the time of
    // the election, from which on an earlier leader's leases are waited for.
    leader(control_state const& state,
           leader_settings settings,
           instant elected_at);

    // Stores an input for the next tick.
    void receive(leader_input it);

    // Handles the stored inputs and all deadlines that have passed.
    std::vector<leader_output> tick(instant now);

    // The time at which tick() must be called again: instant::min() when inputs
    // or changed groups wait for it.
    [[nodiscard]] instant next_deadline() const;

    // The greatest revision in force; all earlier ones are in force too.
    [[nodiscard]] std::uint64_t revision_in_force() const noexcept
    {
        return revision_in_force_;
    }

    [[nodiscard]] lease_counts leases() const;

    // Number of rows visited by all ticks so far; tests check the cost of a
    // tick with it.
    [[nodiscard]] std::uint64_t rows_visited() const noexcept
    {
        return rows_visited_;
    }

private:
    using handler = void (leader::*)(leader_input const&, instant);

    // The holder of a lease. Two processes with the same daemon name have
    // different incarnations and hold two leases. The incarnation is unknown
    // for a lease that an earlier leader granted.
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
        // The round of the position query in progress, and the answers to it.
        std::optional<std::uint64_t> round;
        std::map<server_name, log_position> positions;
        // The candidate's last answer and its term.
        std::optional<promotion_answered> answer;
        // The term of the last choice of a primary that was committed under
        // this leader.
        std::uint64_t chosen_term = 0;
        // The last output sent for the group, and when to send it again.
        std::optional<leader_output> sent;
        instant resend_at;
        std::optional<promotion_decision> last_decision;
    };

    static handler const handlers[];

    void on_renewal(leader_input const& it, instant now);
    void on_lease_returned(leader_input const& it, instant now);
    void on_committed(leader_input const& it, instant now);
    void on_position(leader_input const& it, instant now);
    void on_promotion_answer(leader_input const& it, instant now);

    void expire_leases(instant now);
    void examine_groups();
    void resume_planned_changes(instant now);
    void expire_planned_changes(instant now);
    void wake_waiting_changes(instant now);
    [[nodiscard]] bool can_start_waiting_change() const;
    // Whether the planned change of the group may run now. Otherwise it waits
    // for its turn.
    bool start_planned_change(group_name const& group, instant now);
    void end_planned_change(group_name const& group);
    void update_revision_in_force(instant now);
    void run_promotions(instant now);

    row_id insert_lease(lease_row row);
    // Returns the row of the holder's lease, or an empty id.
    row_id find_lease(holder const& who);
    void
    extend_lease(holder const& who, std::uint64_t confirmed, instant until);
    // The duration of the lease that a daemon with this confirmed revision may
    // be granted now; zero if none.
    [[nodiscard]] duration grantable_lease(std::uint64_t confirmed,
                                           instant now) const;
    void end_lease(row_id id, instant now);
    [[nodiscard]] bool has_lease(daemon_name const& daemon) const;
    void propose_registration(lease_renewal const& renewal, instant now);

    void run_promotion(group_name const& group, instant now);
    void run_serving(group_name const& group, instant now);
    [[nodiscard]] std::optional<promotion_reason>
    reason_to_replace(group_name const& group) const;
    [[nodiscard]] std::optional<promotion_reason>
    reason_to_replace_server_checked(group_entry const& group) const;
    void run_fencing(group_name const& group, instant now);
    void run_choosing(group_name const& group, instant now);
    void choose_candidate(group_name const& group, instant now);
    void propose_fencing(group_name const& group, instant now);
    // Whether the daemons must hold back commits before a primary is chosen.
    [[nodiscard]] bool needs_fencing(group_name const& group) const;
    // Returns how many servers must have answered a positions query without
    // being ahead of the candidate.
    [[nodiscard]] std::size_t required_answers(group_name const& group) const;
    [[nodiscard]] bool has_all_writes(group_name const& group,
                                      log_position candidate) const;
    void send(group_name const& group, leader_output it, instant now);
    void log_decision(group_name const& group,
                      std::optional<server_name> server,
                      promotion_reason reason);
    [[nodiscard]] bool is_eligible_primary(server_name const& server) const;
    [[nodiscard]] bool has_eligible_primary(group_name const& group) const;
    // Whether a chosen server may still become the primary.
    [[nodiscard]] bool is_valid_candidate(server_name const& server) const;

    control_state const& state_;
    leader_settings settings_;
    // Revision of the state at the election. A lease is granted only to a
    // daemon that has confirmed at least this revision.
    std::uint64_t initial_revision_;
    std::uint64_t revision_in_force_ = 0;
    std::uint64_t next_round_;

    table<lease_row> leases_;
    std::map<holder, row_id> lease_by_holder_;
    // Valid leases by confirmed revision. The lowest one determines the
    // revision in force.
    std::set<std::pair<std::uint64_t, row_id>> by_confirmed_;
    deadline_queue<row_id> lease_deadlines_;
    std::deque<change_row> changes_;
    // For each daemon to be registered, when to propose the registration again.
    std::map<daemon_name, instant> registrations_;
    // Removed daemons that forget_daemon must erase, by the time of the next
    // proposal; it is not proposed while they hold a lease.
    deadline_queue<daemon_name> removals_;

    std::map<group_name, promotion_row> promotions_;
    std::map<group_name, log_position> acknowledged_;
    std::set<group_name> changed_groups_;
    // Groups in the phase fencing, by the revision of begin_fencing that must
    // come into force first.
    std::set<std::pair<std::uint64_t, group_name>> fencing_groups_;
    deadline_queue<group_name> group_deadlines_;
    // The next group to examine after a data centre went out of service or
    // returned.
    std::optional<group_name> next_examined_;
    // Groups whose planned change of primary is in progress, by its timeout.
    std::set<group_name> planned_changes_;
    deadline_queue<group_name> planned_deadlines_;
    // Groups that wait for their planned change, by the time since which they
    // wait.
    deadline_queue<group_name> waiting_changes_;

    std::uint64_t rows_visited_ = 0;
    std::vector<leader_input> inbox_;
    std::vector<leader_output> out_;
};

} // namespace basilreach::control

#endif
