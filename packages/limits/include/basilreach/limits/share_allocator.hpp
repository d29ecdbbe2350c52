#ifndef BASILREACH_LIMITS_SHARE_ALLOCATOR_HPP
#define BASILREACH_LIMITS_SHARE_ALLOCATOR_HPP

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
#include <basilreach/limits/share_messages.hpp>

namespace basilreach::limits
{

// Who keeps a server's connections within its limit.
enum class limit_check : std::uint8_t
{
    // The granting side alone: a share counts until it is certain that its
    // connections are gone.
    leader,
    // The server refuses connections beyond its limit. Holders without contact
    // keep their shares, and a new leader grants at once.
    server
};

struct share_allocator_settings
{
    // How long a share beyond the base is valid without renewal.
    duration lifetime = std::chrono::seconds(3);
    // Time after a lost holder's lease until the servers have closed its
    // connections.
    duration lost_host_hold = std::chrono::seconds(5);
    // Least time that a connection is left with a holder that does not use it.
    duration reclaim_after = std::chrono::milliseconds(200);
    // Time in which holders report to a new leader where servers check the
    // limit. Granting sooner would give away what they have.
    duration report_time = std::chrono::milliseconds(300);
    // Connections of a server that checks its limit which no holder receives.
    // The leader needs one to ask for the position before a promotion; with
    // all in use, a group stayed without a primary.
    std::uint32_t reserved = 2;

    friend auto operator<=>(share_allocator_settings const&,
                            share_allocator_settings const&) = default;
};

// Granting side of the connection shares of each server. The sum over holders
// of the largest number of connections that each may still have never exceeds
// the server's limit, unless the server itself checks it.
class share_allocator
{
public:
    // Starts as the leader of a term. Until every holder has reported to this
    // term, or lease and hold have passed, no share grows.
    share_allocator(share_allocator_settings settings,
                    std::uint64_t term,
                    instant now);

    // States, before anything is configured, that no other leader came before,
    // so that nothing is open and no wait is needed.
    void assume_no_earlier_grants(instant now);

    // Adds a server or changes its limit. Shares over a smaller limit are
    // reclaimed.
    void configure(server_name const& server,
                   std::uint32_t limit,
                   instant now,
                   limit_check check = limit_check::leader);
    void remove_server(server_name const& server);

    // Adds or removes a registered holder.
    void register_holder(daemon_name const& holder, instant now);
    void remove_holder(daemon_name const& holder, instant now);

    // Sets the time until which no other leader can exist. No share is granted
    // from then on.
    void set_leader_until(instant until);

    // Takes a holder's state and its wishes.
    void receive(share_request const& request, instant now);

    // Runs the systems and returns the grants to send.
    std::vector<share_grant> tick(instant now);

    // Returns when tick has something to do next.
    [[nodiscard]] instant next_deadline() const;

private:
    struct server
    {
        server_name name;
        std::uint32_t limit = 0;
        limit_check check = limit_check::leader;
        // Sum of `counted` over the accounts.
        std::uint32_t counted = 0;
        // Sum of `share` over the accounts.
        std::uint32_t shares = 0;
        bool settling = true;
        std::set<daemon_name> unreported;
        std::map<daemon_name, row_id> accounts;
        // Accounts that want more than their share, fewest connections first.
        std::set<std::pair<std::uint32_t, row_id>> wishing;
        // Accounts by their share, for the one that can spare most.
        std::set<std::pair<std::uint32_t, row_id>> by_share;
        // Accounts with more than they want, by the time since when.
        std::set<std::pair<instant, row_id>> idle;
        std::set<row_id> unanswered;
        instant balance_at;
    };

    struct unheard_share
    {
        std::uint64_t number;
        std::uint32_t share;
    };

    struct account
    {
        row_id server;
        daemon_name holder;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t number = 0;
        // Reports that have not heard this grant are of before an expiry.
        std::uint64_t first_valid = 0;
        instant echo;
        instant expiry;
        bool reported = false;
        // The share last told; `heard` and `unheard` are those that may still
        // be in force.
        std::uint32_t share = 0;
        std::uint32_t heard = 0;
        std::deque<unheard_share> unheard;
        std::uint32_t open = 0;
        std::uint32_t wanted = 0;
        // The most connections that the holder may have.
        std::uint32_t counted = 0;
        // Connections of earlier incarnations that the server may still have.
        std::uint32_t abandoned = 0;
        instant idle_since = never;
    };

    void add_account(row_id id, daemon_name const& holder);
    void update(server& it, row_id id, account& to, instant now);
    void set_share(server& it, row_id id, std::uint32_t share, instant now);
    void report(server& it,
                row_id id,
                account& from,
                share_request const& request,
                instant now);
    [[nodiscard]] std::uint32_t grantable(std::uint32_t limit,
                                          limit_check check) const;
    [[nodiscard]] std::uint32_t base(server const& it) const;
    void restart(server& it, row_id id, account& from, instant now);
    void expire_accounts(instant now);
    void settle_servers(instant now);
    void allocate(row_id id, instant now, std::vector<share_grant>& grants);
    void reclaim(row_id id, server& it, instant now);
    void answer(server& it,
                row_id id,
                instant now,
                std::vector<share_grant>& grants);

    share_allocator_settings settings_;
    std::uint64_t term_;
    instant started_;
    instant settled_;
    bool first_ = false;
    instant authority_ = never;
    table<server> servers_;
    table<account> accounts_;
    std::map<server_name, row_id> by_name_;
    std::set<daemon_name> holders_;
    std::set<row_id> changed_;
    deadline_queue<row_id> expiries_;
    deadline_queue<row_id> abandonments_;
    deadline_queue<row_id> settling_;
    deadline_queue<row_id> reclaims_;
};

} // namespace basilreach::limits

#endif
