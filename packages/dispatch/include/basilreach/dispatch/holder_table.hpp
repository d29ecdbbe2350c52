#ifndef BASILREACH_DISPATCH_HOLDER_TABLE_HPP
#define BASILREACH_DISPATCH_HOLDER_TABLE_HPP

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/dispatch/placement.hpp>

namespace basilreach::dispatch
{

// What holder_table::tick() found.
struct holder_events
{
    // Daemons to which a probe is to be sent now.
    std::vector<daemon_name> probes;
    // Daemons that have become silent. They are unusable already; the caller
    // closes the link and ends what is outstanding there.
    std::vector<daemon_name> silent;

    friend bool operator==(holder_events const&,
                           holder_events const&) = default;
};

// Chooses the daemon that runs a statement, and observes which daemons answer.
//
// The caller reports each statement that it sends with record_sent() and, when
// it is answered or given up for any reason, once with record_settled().
class holder_table
{
public:
    explicit holder_table(daemon_name self);

    // Replaces the members. A daemon whose address has changed is usable.
    void set_members(member_map members, instant now);

    // Returns the daemon that runs a statement of the key in a data centre:
    // another one, or nothing if this daemon runs it itself. After a failure,
    // the statement that is first given the daemon again is a trial; until its
    // outcome is known, others go elsewhere.
    [[nodiscard]] std::optional<daemon_name>
    choose(placement_key const& key,
           data_centre_name const& data_centre,
           instant now);

    // A statement was sent to the daemon and is outstanding.
    void record_sent(daemon_name const& daemon, instant now);
    // Anything was received from the daemon, including the answer to a probe.
    void record_received(daemon_name const& daemon, instant now);
    // A statement that was sent to the daemon is no longer outstanding.
    void record_settled(daemon_name const& daemon);
    // The link to the daemon ended or could not be opened. Further failures
    // while the daemon is unusable are of the same cause and do not count.
    void record_failure(daemon_name const& daemon, instant now);

    // Processes what is due.
    [[nodiscard]] holder_events tick(instant now);

    // Returns when tick has something to do next.
    [[nodiscard]] instant next_deadline() const;

private:
    struct row
    {
        daemon_name name;
        bool is_member = true;
        std::uint32_t outstanding = 0;
        // Whether the daemon has a deadline in due_, and whether it is that of
        // a probe's answer.
        bool is_watched = false;
        bool is_probed = false;
        // Failures without a message in between.
        std::uint32_t failures = 0;
        // Unusable until then, by a failure or by a trial in progress.
        instant usable_at;
        bool is_on_trial = false;
    };

    struct cache_key
    {
        data_centre_name data_centre;
        placement_key key;

        friend auto operator<=>(cache_key const&, cache_key const&) = default;
    };

    row* find(daemon_name const& daemon);
    [[nodiscard]] bool has_same_places(member_map const& members) const;
    void add_member(daemon_name const& name, member const& it);
    void erase_if_unused(row_id id);
    void watch(row& it, instant now);
    void stop_watching(row& it);
    void fail(row& it, instant now);
    std::vector<daemon_name> const& ranks(placement_key const& key,
                                          data_centre_name const& data_centre);

    daemon_name self_;
    member_map members_;
    std::map<data_centre_name, std::vector<daemon_name>> candidates_;
    // The first ranks of the keys in use.
    std::map<cache_key, std::vector<daemon_name>> ranks_;
    table<row> rows_;
    std::map<daemon_name, row_id> by_name_;
    // When a daemon with outstanding statements is probed or becomes silent.
    deadline_queue<row_id> due_;
};

} // namespace basilreach::dispatch

#endif
