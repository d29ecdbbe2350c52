#ifndef BASILREACH_LIMITS_SHARE_LEDGER_HPP
#define BASILREACH_LIMITS_SHARE_LEDGER_HPP

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/limits/share_messages.hpp>

namespace basilreach::limits
{

struct share_settings
{
    // How long a share beyond the base is valid without renewal.
    duration lifetime = std::chrono::seconds(3);
    // Time after a lost holder's lease until the servers have closed its
    // connections.
    duration lost_host_hold = std::chrono::seconds(5);
    // Least time that a connection is left with a holder that does not use it.
    duration reclaim_after = std::chrono::milliseconds(200);

    friend auto operator<=>(share_settings const&,
                            share_settings const&) = default;
};

// Granting side of the connection shares of each server. The sum over holders
// of the largest number of connections that each may still have never exceeds
// the server's limit.
class share_ledger
{
public:
    // Starts as the leader of a term. Until every holder has reported to this
    // term, or lease and hold have passed, no share grows.
    share_ledger(share_settings settings, std::uint64_t term, instant now);

    // Adds a server or changes its limit. Shares over a smaller limit are
    // reclaimed.
    void configure(server_name const& server, std::uint32_t limit, instant now);
    void remove_server(server_name const& server);

    // Adds or removes a registered holder.
    void register_holder(daemon_name const& holder, instant now);
    void remove_holder(daemon_name const& holder, instant now);

    // Sets the time until which no other leader can exist. No share is granted
    // from then on.
    void set_authority(instant until);

    // Takes a holder's state and its wishes.
    void receive(share_request const& request, instant now);

    // Runs the systems and returns the grants to send.
    std::vector<share_grant> tick(instant now);

    // Returns when tick has something to do next.
    [[nodiscard]] instant next_deadline() const;
};

} // namespace basilreach::limits

#endif
