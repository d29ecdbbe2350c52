#ifndef BASILREACH_LIMITS_TOKEN_ALLOCATOR_HPP
#define BASILREACH_LIMITS_TOKEN_ALLOCATOR_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/limits/token_messages.hpp>

namespace basilreach::limits
{

struct token_allocator_settings
{
    // How long granted tokens can be spent.
    duration lifetime = std::chrono::milliseconds(800);
    // How long the floor of a holder rests after its last contact. Longer than
    // the interval between two requests of an idle holder.
    duration contact = std::chrono::milliseconds(900);
    // The same for a holder that reports at least at busy_interval. Lost
    // contact is noticed sooner there, and its reserve covers the time until
    // then.
    duration busy_lifetime = std::chrono::milliseconds(550);
    duration busy_contact = std::chrono::milliseconds(600);
    duration busy_interval = std::chrono::milliseconds(150);
    // Least time between two grants to holders that wait for refill.
    duration refill_interval = std::chrono::milliseconds(1);
    // Part of the rate and of the burst that the floors of all holders share.
    // A holder out of contact does not learn of a smaller rate, so that a share
    // of 1 keeps it above a rate that has been lowered to less.
    std::int64_t floor_rate_per_mille = 200;
    std::int64_t floor_burst_per_mille = 200;

    friend auto operator<=>(token_allocator_settings const&,
                            token_allocator_settings const&) = default;
};

// Granting side of the rate escrow: one bucket for each workspace and one
// account for each workspace and holder. Tokens move from the bucket's level to
// an account's outstanding tokens; refill stops at burst = level + outstanding,
// which bounds the statements of any window of t seconds by burst + rate * t.
class token_allocator
{
public:
    // Starts as the leader of a term. Until every holder has reported to this
    // term, or a lifetime has passed, all tokens count as outstanding.
    token_allocator(token_allocator_settings settings,
                    std::uint64_t term,
                    instant now);

    // States, before anything is configured, that no other leader came before,
    // so that nothing is outstanding and no wait is needed.
    void assume_no_earlier_grants(instant now);

    // Sets rate (tokens a second) and burst (tokens) of a workspace. A new
    // leader sets the limits of earlier rules first, oldest to latest: a holder
    // that cannot be reached may still have a floor of theirs.
    void configure(workspace_name const& workspace,
                   std::int64_t rate,
                   std::int64_t burst,
                   instant now);

    // Adds or removes a registered holder.
    void register_holder(daemon_name const& holder, instant now);
    void remove_holder(daemon_name const& holder, instant now);

    // Takes a holder's state and its wishes.
    void receive(token_request const& request, instant now);

    // Sets the time until which no other leader can exist. No tokens are
    // granted from then on.
    void set_leader_until(instant until);

    // Adds tokens that a holder of the level above has lent, to be spent before
    // the expiry. Used on the second level, whose buckets have no rate.
    void fund(workspace_name const& workspace,
              std::int64_t tokens,
              instant expiry,
              instant now);

    // Takes back up to this many unallocated tokens, returns how many.
    std::int64_t
    withdraw(workspace_name const& workspace, std::int64_t tokens, instant now);

    // Returns level plus outstanding tokens, rounded up.
    [[nodiscard]] std::int64_t total(workspace_name const& workspace) const;

    // Returns the tokens that holders wait for and that they were not given.
    [[nodiscard]] std::int64_t waiting(workspace_name const& workspace) const;

    // Returns the further tokens that holders want for their demand.
    [[nodiscard]] std::int64_t reserve(workspace_name const& workspace) const;

    // Runs the systems and returns the grants to send.
    std::vector<token_grant> tick(instant now);

    // Returns when tick has something to do next.
    [[nodiscard]] instant next_deadline() const;

private:
    // Amounts without another unit are in nanotokens: tokens a second times
    // nanoseconds, so that refill needs no rounding.
    struct bucket
    {
        workspace_name workspace;
        std::int64_t rate = 0;
        std::int64_t burst = 0;
        std::int64_t level = 0;
        std::int64_t outstanding = 0;
        // Floors of the holders out of contact.
        rate_floor reserved;
        // Sum of all floors in force or told.
        rate_floor assigned;
        // Sum of all floors under the greatest earlier limits.
        rate_floor earlier;
        instant updated;
        instant settled;
        instant funded_until = never;
        std::set<daemon_name> unreported;
        std::map<daemon_name, row_id> accounts;
        // Accounts that wait for tokens, in order of service.
        std::set<std::pair<std::uint64_t, row_id>> queue;
        // Accounts with a request to answer.
        std::set<row_id> unanswered;
        std::int64_t waiting = 0;
        std::int64_t reserve = 0;
        bool settling = true;
    };

    struct unheard_grant
    {
        std::uint64_t number;
        std::int64_t tokens;
    };

    struct account
    {
        row_id bucket;
        daemon_name holder;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t number = 0;
        instant echo;
        bool reported = false;
        std::deque<unheard_grant> unheard;
        std::int64_t outstanding = 0;
        instant expiry;
        // Tokens.
        std::int64_t returned = 0;
        std::int64_t waiting = 0;
        std::int64_t reserve = 0;
        std::uint64_t order = 0;
        rate_floor confirmed;
        rate_floor told;
        // The floor rests until then; from then on it is reserved.
        instant rest_until;
        // How long the floor rests after a grant from `rest_number` on, and the
        // least that earlier grants said which may be the last one heard.
        duration rest{};
        duration earlier_rest{};
        std::uint64_t rest_number = 0;
        std::uint64_t heard_number = 0;
        instant received_at;
        bool is_busy = false;
        bool resting = false;
    };

    bucket* find(workspace_name const& workspace);
    [[nodiscard]] bucket const* find(workspace_name const& workspace) const;
    void add_account(row_id id, daemon_name const& holder, instant now);
    void drop_account(row_id id);
    void refill(bucket& it, instant now) const;
    void clamp(bucket& it) const;
    [[nodiscard]] rate_floor floors(bucket const& it) const;
    [[nodiscard]] rate_floor reserved(bucket const& it) const;
    [[nodiscard]] std::int64_t grantable(bucket const& it) const;
    void set_outstanding(bucket& it, account& to, std::int64_t value) const;
    void set_wishes(bucket& it,
                    row_id id,
                    account& to,
                    std::int64_t waiting,
                    std::int64_t reserve);
    void set_floor(bucket& it,
                   account& to,
                   rate_floor confirmed,
                   rate_floor told,
                   bool resting) const;
    void report(bucket& it,
                account& from,
                token_request const& request,
                instant now);
    [[nodiscard]] rate_floor next_floor(bucket const& it,
                                        account const& to) const;

    [[nodiscard]] static duration heard_rest(account const& it);
    duration tell_rest(bucket const& it, account& to) const;
    void advance(instant now);
    void expire_accounts(instant now);
    void wake_floors(instant now);
    void settle_buckets(instant now);
    void allocate(row_id id, instant now, std::vector<token_grant>& grants);
    void answer(bucket& it,
                row_id id,
                std::int64_t tokens,
                instant now,
                std::vector<token_grant>& grants);

    token_allocator_settings settings_;
    std::uint64_t term_;
    instant settled_;
    instant authority_ = never;
    std::uint64_t order_ = 0;
    table<bucket> buckets_;
    table<account> accounts_;
    std::map<workspace_name, row_id> by_name_;
    std::set<daemon_name> holders_;
    std::set<row_id> changed_;
    deadline_queue<row_id> expiries_;
    deadline_queue<row_id> rests_;
    deadline_queue<row_id> settling_;
    deadline_queue<row_id> refills_;
};

} // namespace basilreach::limits

#endif
