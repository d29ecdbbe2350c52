#ifndef BASILREACH_LIMITS_SHARE_ALLOCATOR_HPP
#define BASILREACH_LIMITS_SHARE_ALLOCATOR_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/limits/share_messages.hpp>

namespace basilreach::limits
{

// Who enforces a server's connection limit.
enum class limit_check : std::uint8_t
{
    // The leader alone: a connection of a share counts until it is certain to
    // be closed.
    leader,
    // The server, which refuses connections beyond its limit. Holders without
    // contact keep their shares, and the recovery of a new leader is short.
    server
};

struct share_allocator_settings
{
    // How long a share beyond the base is valid without renewal.
    duration lifetime = std::chrono::seconds(3);
    // Time after a lost holder's lease until the servers have closed its
    // connections.
    duration lost_host_hold = std::chrono::seconds(5);
    // Minimum time for which a holder keeps a connection that it does not use.
    duration reclaim_after = std::chrono::milliseconds(200);
    // Recovery of a new leader for servers that check their limit, in which
    // holders report. Granting sooner would allocate connections that they
    // have.
    duration server_checked_recovery_time = std::chrono::milliseconds(300);
    // Connections that are not allocated to holders, of a server that checks
    // its limit. The leader needs one to query the server's log position before
    // a promotion. When holders used all of them, a group stayed without a
    // primary.
    std::uint32_t reserved_for_leader = 2;

    friend auto operator<=>(share_allocator_settings const&,
                            share_allocator_settings const&) = default;
};

// Allocates the connection limit of each server to the holders, in shares. The
// sum over holders of the largest number of connections that each may still
// have never exceeds the server's limit, unless the server itself checks it.
class share_allocator
{
public:
    // Starts the allocator of a leader's term, with a recovery of each server:
    // no share grows until every holder has reported to this term, or until the
    // lifetime of earlier grants and lost_host_hold have passed.
    share_allocator(share_allocator_settings settings,
                    std::uint64_t term,
                    instant now);

    // States that no earlier leader granted anything, so that no recovery is
    // needed. Call it before the first call of configure.
    void assume_no_earlier_grants(instant now);

    // Adds a server or changes its limit. Shares beyond a lowered limit are
    // reclaimed.
    void configure(server_name const& server,
                   std::uint32_t limit,
                   instant now,
                   limit_check check = limit_check::leader);
    void remove_server(server_name const& server);

    // Adds or removes a registered holder.
    void register_holder(daemon_name const& holder, instant now);
    void remove_holder(daemon_name const& holder, instant now);

    // Sets the time before which no other leader can exist. No share is granted
    // from then on.
    void set_leader_until(instant until);

    // Records a holder's state and demand.
    void receive(share_request const& request, instant now);

    // Renews all shares of a holder.
    void receive(share_renewal const& renewal, instant now);

    // Returns the answers to the renewals since the last call.
    std::vector<share_renewal_grant> tick_renewals(instant now);

    // Processes what is due and returns the grants to send.
    std::vector<share_grant> tick(instant now);

    // Returns when tick has something to do next.
    [[nodiscard]] instant next_deadline() const;

private:
    struct server
    {
        server_name name;
        std::uint32_t limit = 0;
        limit_check check = limit_check::leader;
        // Sum of `counted` over the allocations.
        std::uint32_t counted = 0;
        // Sum of `share` over the allocations.
        std::uint32_t shares = 0;
        bool recovering = true;
        // Holders whose connections of earlier terms are known or closed.
        std::size_t settled = 0;
        // Allocations of the holders that have sent a request.
        std::map<daemon_name, row_id> allocations;
        // Allocations that want more than their share, by share and then in the
        // order in which they began to.
        std::set<std::tuple<std::uint32_t, std::uint64_t, row_id>> unsatisfied;
        // All allocations by share, to reclaim from the largest.
        std::set<std::pair<std::uint32_t, row_id>> by_share;
        // Allocations that want less than their share, by `idle_since`.
        std::set<std::pair<instant, row_id>> idle;
        // Allocations to which a grant must be sent.
        std::set<row_id> unanswered;
        // Allocations with a share, by `held_since`.
        std::set<std::pair<instant, row_id>> held;
        instant next_rebalance;
        instant next_rotation;
    };

    struct unacknowledged_share
    {
        std::uint64_t number;
        std::uint32_t share;
    };

    struct allocation
    {
        row_id server;
        daemon_name holder;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t number = 0;
        // A report that does not acknowledge this grant was sent before the
        // allocation expired or the holder restarted, and is ignored.
        std::uint64_t first_valid_grant = 0;
        instant echo;
        instant expiry;
        bool reported = false;
        // Whether the connections of earlier terms are known or closed.
        bool is_settled = false;
        // The last granted share. The acknowledged and unacknowledged earlier
        // ones may still be in force.
        std::uint32_t share = 0;
        std::uint32_t acknowledged_share = 0;
        std::deque<unacknowledged_share> unacknowledged;
        std::uint32_t open = 0;
        std::uint32_t wanted = 0;
        // The largest number of connections that the holder may still have,
        // with those of earlier incarnations.
        std::uint32_t counted = 0;
        // Connections of earlier incarnations that the server may still have.
        std::uint32_t abandoned = 0;
        instant idle_since = never;
        // Its place among the unsatisfied ones; 0 while it is satisfied.
        std::uint64_t order = 0;
        // When the share was last raised.
        instant held_since = never;
    };

    // The last renewal of all shares of a holder.
    struct renewal_row
    {
        std::uint64_t incarnation = 0;
        instant sent;
        // When the shares expire that were valid when it arrived.
        instant until;
    };

    [[nodiscard]] instant renewed_until(allocation const& it) const;
    row_id find_or_add_allocation(row_id id, daemon_name const& holder);
    void keep_earlier_bases(row_id id, instant now);
    void update_derived(server& it, row_id id, allocation& to, instant now);
    void update_order(server& it, row_id id, allocation& to);
    void set_share(server& it, row_id id, std::uint32_t share, instant now);
    void apply_report(server& it,
                      row_id id,
                      allocation& from,
                      share_request const& request,
                      instant now);
    [[nodiscard]] std::uint32_t grantable_limit(std::uint32_t limit,
                                                limit_check check) const;
    [[nodiscard]] std::uint32_t base_share(server const& it) const;
    void handle_restart(server& it, row_id id, allocation& from, instant now);
    void expire_allocations(instant now);
    void end_recoveries(instant now);
    void allocate(row_id id, instant now, std::vector<share_grant>& grants);
    void reclaim(row_id id, server& it, instant now);
    [[nodiscard]] static bool has_holder_without_share(server const& it);
    instant rotate(server& it, instant now);
    static void set_held_since(server& it, row_id id, allocation& to, instant);
    void add_grant(server& it,
                   row_id id,
                   instant now,
                   std::vector<share_grant>& grants);

    share_allocator_settings settings_;
    std::uint64_t term_;
    instant started_;
    instant recovery_end_;
    bool no_earlier_grants_ = false;
    instant leader_until_ = never;
    std::uint64_t last_order_ = 0;
    table<server> servers_;
    table<allocation> allocations_;
    std::map<server_name, row_id> by_name_;
    std::set<daemon_name> holders_;
    std::map<daemon_name, renewal_row> renewals_;
    std::set<daemon_name> unanswered_renewals_;
    std::set<row_id> changed_;
    deadline_queue<row_id> expiries_;
    deadline_queue<row_id> abandoned_expiries_;
    deadline_queue<row_id> recoveries_;
    deadline_queue<row_id> reclaims_;
};

} // namespace basilreach::limits

#endif
