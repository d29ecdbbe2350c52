#ifndef BASILREACH_LIMITS_RATE_LEDGER_HPP
#define BASILREACH_LIMITS_RATE_LEDGER_HPP

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
#include <basilreach/limits/token_messages.hpp>

namespace basilreach::limits
{

struct rate_settings
{
    // How long granted tokens can be spent.
    duration lifetime = std::chrono::seconds(1);
    // How long the floor of a holder rests after its last contact. Longer than
    // the interval between two requests of an idle holder.
    duration contact = std::chrono::milliseconds(500);
    // Part of rate and burst that the floors of all holders share.
    std::int64_t floor_per_mille = 200;

    friend auto operator<=>(rate_settings const&,
                            rate_settings const&) = default;
};

// Granting side of the rate escrow: one bucket for each workspace and one
// account for each workspace and holder. Tokens move from the bucket's level to
// an account's outstanding tokens; refill stops at burst = level + outstanding,
// which bounds the statements of any window of t seconds by burst + rate * t.
class rate_ledger
{
public:
    // Starts as the leader of a term. Until every holder has reported to this
    // term, or a lifetime has passed, all tokens count as outstanding.
    rate_ledger(rate_settings settings, std::uint64_t term, instant now);

    // Sets rate (tokens a second) and burst (tokens) of a workspace. A new
    // workspace starts as described above for a new leader.
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
    void set_authority(instant until);

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

    // Returns the tokens that holders wait for and cannot be given now.
    [[nodiscard]] std::int64_t waiting(workspace_name const& workspace) const;

    // Runs the systems and returns the grants to send.
    std::vector<token_grant> tick(instant now);

    // Returns when tick has something to do next.
    [[nodiscard]] instant next_deadline() const;
};

} // namespace basilreach::limits

#endif
