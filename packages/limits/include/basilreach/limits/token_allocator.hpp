#ifndef BASILREACH_LIMITS_TOKEN_ALLOCATOR_HPP
#define BASILREACH_LIMITS_TOKEN_ALLOCATOR_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/limits/contact_messages.hpp>
#include <basilreach/limits/token_messages.hpp>

namespace basilreach::limits
{

struct token_allocator_settings
{
    // Time from a request until the tokens granted for it expire.
    duration lifetime = std::chrono::milliseconds(800);
    // How long a holder's floor stays suspended after the last grant that it
    // received. Longer than the interval between two requests of an idle
    // holder.
    duration floor_suspension = std::chrono::milliseconds(900);
    // The same two times for a holder whose last two requests came within
    // busy_interval. They are shorter, so that its floor is used soon after a
    // loss of contact: its reserve covers the demand until then.
    duration busy_lifetime = std::chrono::milliseconds(550);
    duration busy_floor_suspension = std::chrono::milliseconds(600);
    duration busy_interval = std::chrono::milliseconds(150);
    // Minimum time between two grants to holders that wait for a refill.
    duration refill_interval = std::chrono::milliseconds(1);
    // Sum of the floors of all holders, in thousandths of the rate and of the
    // burst. A holder without contact does not learn of a lower rate: with a
    // high value, its floor may exceed a rate that was lowered meanwhile.
    std::int64_t floor_rate_per_mille = 200;
    std::int64_t floor_burst_per_mille = 200;

    friend auto operator<=>(token_allocator_settings const&,
                            token_allocator_settings const&) = default;
};

// Allocates the rate limit of each workspace to the holders: the daemons, at
// the leader, or the traffic threads, in a daemon. There is one token bucket
// for each workspace and one allocation for each workspace and holder. A grant
// moves tokens from the bucket's level to the allocation's outstanding tokens.
// Refill stops at level + outstanding = burst, so that at most
// burst + rate * t statements are admitted in any window of t seconds.
class token_allocator
{
public:
    // Starts the allocator of a leader's term, with a recovery of each bucket:
    // no tokens are refilled or granted until every holder has reported to this
    // term, or until the tokens that earlier leaders granted have expired.
    token_allocator(token_allocator_settings settings,
                    std::uint64_t term,
                    instant now);

    // States that no earlier leader granted anything, so that no recovery is
    // needed. Call it before the first call of configure.
    void assume_no_earlier_grants(instant now);

    // Sets rate (tokens a second) and burst (tokens) of a workspace. A new
    // leader must configure the limits of earlier rules first, oldest to
    // latest: a holder that cannot be reached may still have a floor that they
    // set.
    //
    // The floor is divided among `floor_holders`, and reserves are limited by
    // the holders that use the workspace. Without `floor_holders`, both depend
    // on all registered holders. A part of the floor moves to another holder
    // only after the former one has confirmed that it no longer has it.
    void configure(workspace_name const& workspace,
                   std::int64_t rate,
                   std::int64_t burst,
                   instant now,
                   std::optional<std::set<daemon_name>> floor_holders = {});

    // Adds or removes a registered holder.
    void register_holder(daemon_name const& holder, instant now);
    void remove_holder(daemon_name const& holder, instant now);

    // Records a holder's state and demand.
    void receive(token_request const& request, instant now);

    // Records that a holder is in contact.
    void receive(contact_report const& report, instant now);

    // Sets the time before which no other leader can exist. No tokens are
    // granted from then on.
    void set_leader_until(instant until);

    // Adds tokens that the daemon's rate_limiter has delegated, and sets the
    // time at which all unallocated tokens expire. Used for the threads of a
    // daemon, where buckets have no rate of their own.
    void add_tokens(workspace_name const& workspace,
                    std::int64_t tokens,
                    instant expiry,
                    instant now);

    // Sets when the daemon's leader is expected to have one more token, or that
    // this is not known. Used for the threads of a daemon.
    void set_next_token(workspace_name const& workspace,
                        std::optional<instant> next_token);

    // Removes up to this many unallocated tokens and returns how many.
    std::int64_t take_unallocated(workspace_name const& workspace,
                                  std::int64_t tokens,
                                  instant now);

    // Returns level plus outstanding tokens, rounded up.
    [[nodiscard]] std::int64_t total(workspace_name const& workspace) const;

    // Returns the tokens that holders wait for and that were not granted yet.
    [[nodiscard]] std::int64_t waiting(workspace_name const& workspace) const;

    // Returns the further tokens that holders want for expected statements and
    // that were not granted yet.
    [[nodiscard]] std::int64_t reserve(workspace_name const& workspace) const;

    // Returns the number of pairs of workspace and holder that are tracked.
    [[nodiscard]] std::size_t allocations() const
    {
        return allocations_.size();
    }

    // Processes what is due and returns the grants to send.
    std::vector<token_grant> tick(instant now);

    // Returns the answers to contact reports.
    [[nodiscard]] std::vector<contact_grant> tick_contacts(instant now);

    // Returns when tick has something to do next.
    [[nodiscard]] instant next_deadline() const;

private:
    // Amounts without another unit are in nanotokens, so that a refill, tokens
    // a second times nanoseconds, needs no rounding.
    struct bucket
    {
        workspace_name workspace;
        // Tokens a second.
        std::int64_t rate = 0;
        std::int64_t burst = 0;
        std::int64_t level = 0;
        std::int64_t outstanding = 0;
        // Sum of the floors that are not suspended.
        rate_floor active_floors;
        // Sum of the floors that holders confirmed or were granted, whichever
        // is greater for each holder.
        rate_floor assigned_floors;
        // Greatest sum of all floors under earlier limits, as long as some
        // holders have not reported.
        rate_floor earlier_floors;
        instant updated;
        instant recovery_end;
        // When the level expires; set for the threads of a daemon only.
        instant level_expiry = never;
        // When the leader is expected to have one more token; for the threads
        // of a daemon only.
        std::optional<instant> next_token;
        // Holders that have reported to this term.
        std::size_t reported = 0;
        // Allocations of holders that have not reported to this term and may
        // have tokens or a floor of an earlier one.
        std::size_t unknown_allocations = 0;
        // Allocations of holders that use the workspace.
        std::size_t users = 0;
        // Holders among which the floor is divided, if not among all.
        std::optional<std::set<daemon_name>> floor_holders;
        // Allocations of the holders that have sent a request.
        std::map<daemon_name, row_id> allocations;
        // Allocations that wait for tokens, in order of service.
        std::set<std::pair<std::uint64_t, row_id>> queue;
        // Allocations with a request that no grant has answered yet.
        std::set<row_id> unanswered;
        // Sums over the allocations, in tokens.
        std::int64_t waiting = 0;
        std::int64_t reserve = 0;
        bool recovering = true;
    };

    struct unacknowledged_grant
    {
        std::uint64_t number;
        std::int64_t tokens;
    };

    struct allocation
    {
        row_id bucket;
        daemon_name holder;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t number = 0;
        instant echo;
        bool reported = false;
        // When the first report of this term arrived.
        instant reported_at;
        // Grants of tokens that no request has acknowledged yet.
        std::deque<unacknowledged_grant> unacknowledged;
        std::int64_t outstanding = 0;
        instant expiry;
        // Tokens.
        std::int64_t returned = 0;
        std::int64_t waiting = 0;
        std::int64_t reserve = 0;
        std::uint64_t order = 0;
        rate_floor confirmed_floor;
        rate_floor granted_floor;
        // From this time on the allocator counts the floor as in use.
        instant floor_suspended_until;
        // How long grants from `suspension_number` on suspend the floor, and
        // the shortest suspension of an earlier grant that may be the last one
        // received.
        duration suspension{};
        duration earlier_suspension{};
        std::uint64_t suspension_number = 0;
        std::uint64_t acknowledged_number = 0;
        instant received_at;
        bool is_busy = false;
        bool floor_suspended = false;
        // Whether the holder may have tokens or a floor of an earlier term that
        // it has not reported.
        bool is_unknown = false;
        // Whether the holder's last requests stated demand or tokens. A holder
        // returns its reserve when it has not used the workspace for
        // rate_limiter_settings::recent_time (10 s).
        bool is_user = false;
    };

    // What a holder has heard of the contact grants of this term.
    struct contact
    {
        std::uint64_t incarnation = 0;
        // When the first of the reports arrived that each came before the
        // suspension by the one before had ended.
        instant since;
        // Sending time of the last contact grant that the holder acknowledged.
        instant heard;
    };

    bucket* find(workspace_name const& workspace);
    [[nodiscard]] bucket const* find(workspace_name const& workspace) const;
    row_id
    find_or_add_allocation(row_id id, daemon_name const& holder, instant now);
    void drop_allocation(row_id id);
    void refill(bucket& it, instant now) const;
    void clamp(bucket& it) const;
    [[nodiscard]] bool has_unreported_holder(bucket const& it) const;
    [[nodiscard]] std::int64_t holder_count() const;
    [[nodiscard]] std::int64_t floor_parts(bucket const& it) const;
    [[nodiscard]] rate_floor floor_part(bucket const& it,
                                        daemon_name const& holder) const;
    void set_floor_holders(row_id id,
                           std::optional<std::set<daemon_name>> floor_holders);
    void set_unknown(bucket& it, allocation& to, bool is_unknown) const;
    void set_user(bucket& it, allocation& to, bool is_user) const;
    void settle(row_id id, instant now);
    void remove_unknown_holder(daemon_name const& holder, instant now);
    [[nodiscard]] rate_floor floor_total(bucket const& it) const;
    [[nodiscard]] rate_floor reserved_floors(bucket const& it) const;
    [[nodiscard]] std::int64_t grantable(bucket const& it) const;
    [[nodiscard]] std::int64_t max_outstanding(bucket const& it) const;
    [[nodiscard]] std::int64_t reservable(bucket const& it) const;
    void set_outstanding(bucket& it,
                         allocation& to,
                         std::int64_t new_outstanding) const;
    void set_demand(bucket& it,
                    row_id id,
                    allocation& to,
                    std::int64_t waiting,
                    std::int64_t reserve);
    void set_floor(bucket& it,
                   allocation& to,
                   rate_floor confirmed_floor,
                   rate_floor granted_floor,
                   bool floor_suspended) const;
    void apply_report(bucket& it,
                      allocation& from,
                      token_request const& request,
                      instant now);
    [[nodiscard]] rate_floor next_floor(bucket const& it,
                                        allocation const& to) const;

    [[nodiscard]] static duration acknowledged_suspension(allocation const& it);
    duration update_suspension(bucket const& it, allocation& to) const;
    void add_missing_floors(contact_grant& to);
    [[nodiscard]] bool has_no_part(bucket const& it,
                                   daemon_name const& holder) const;
    void add_missing_floor(contact_grant& to, bucket const& it) const;
    void advance(instant now);
    void expire_allocations(instant now);
    void resume_floors(instant now);
    [[nodiscard]] instant suspended_by_contact(allocation const& it) const;
    [[nodiscard]] bool is_in_contact(allocation const& it, instant now) const;
    void end_recoveries(instant now);
    void allocate(row_id id, instant now, std::vector<token_grant>& grants);
    [[nodiscard]] std::optional<duration> time_to_next_token(bucket const& it,
                                                             instant now) const;
    void add_grant(bucket& it,
                   row_id id,
                   std::int64_t tokens,
                   instant now,
                   std::vector<token_grant>& grants);

    token_allocator_settings settings_;
    std::uint64_t term_;
    instant recovery_end_;
    instant leader_until_ = never;
    std::uint64_t order_ = 0;
    table<bucket> buckets_;
    table<allocation> allocations_;
    std::map<workspace_name, row_id> by_name_;
    std::set<daemon_name> holders_;
    // Holders that may have tokens or floors of an earlier term in workspaces
    // of which they have sent no request to this term.
    std::set<daemon_name> unknown_holders_;
    bool has_earlier_grants_ = true;
    // Buckets of which the floor is divided among all holders.
    std::set<row_id> undivided_;
    // Other buckets of which the holder has, or is to have, a part of the
    // floor.
    std::map<daemon_name, std::set<row_id>> divided_;
    std::set<row_id> changed_;
    std::map<daemon_name, contact> contacts_;
    std::set<daemon_name> unanswered_contacts_;
    deadline_queue<row_id> expiries_;
    deadline_queue<row_id> floor_resumptions_;
    deadline_queue<row_id> recoveries_;
    deadline_queue<row_id> refills_;
};

} // namespace basilreach::limits

#endif
