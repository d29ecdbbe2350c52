#ifndef BASILREACH_CONTROL_LEASE_HOLDER_HPP
#define BASILREACH_CONTROL_LEASE_HOLDER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <basilreach/control/lease.hpp>

namespace basilreach::control
{

// The daemon has received a state of this revision, from any source.
struct state_offered
{
    std::uint64_t revision = 0;

    friend bool operator==(state_offered const&,
                           state_offered const&) = default;
};

// A traffic thread now uses the state of this revision.
struct state_adopted
{
    std::size_t thread = 0;
    std::uint64_t revision = 0;

    friend bool operator==(state_adopted const&,
                           state_adopted const&) = default;
};

// Writes of a group that is being fenced were acknowledged up to this position.
// Must be received before the thread's state_adopted for the fencing, so that
// the renewal that confirms the revision carries the position.
struct write_acknowledged
{
    group_name group;
    log_position position;

    friend bool operator==(write_acknowledged const&,
                           write_acknowledged const&) = default;
};

// The group has a primary again: its acknowledged position is no longer
// reported.
struct group_serving
{
    group_name group;

    friend bool operator==(group_serving const&,
                           group_serving const&) = default;
};

// The daemon stops: its lease ends now and is released.
struct stop_requested
{
    friend bool operator==(stop_requested const&,
                           stop_requested const&) = default;
};

// Renewals now go to another control host.
struct leader_changed
{
    friend bool operator==(leader_changed const&,
                           leader_changed const&) = default;
};

using holder_input = std::variant<grant_lease,
                                  state_offered,
                                  state_adopted,
                                  write_acknowledged,
                                  group_serving,
                                  leader_changed,
                                  stop_requested>;

// The traffic threads must adopt the state of this revision.
struct adopt_state
{
    std::uint64_t revision = 0;

    friend bool operator==(adopt_state const&, adopt_state const&) = default;
};

// The offered state is older than the one already passed to the traffic
// threads, and is not used.
struct state_refused
{
    std::uint64_t revision = 0;
    // The revision passed to the traffic threads.
    std::uint64_t served = 0;

    friend bool operator==(state_refused const&,
                           state_refused const&) = default;
};

// Requests that need a lease may run until this time.
struct lease_updated
{
    instant valid_until;

    friend bool operator==(lease_updated const&,
                           lease_updated const&) = default;
};

using holder_output = std::variant<lease_renewal,
                                   lease_returned,
                                   adopt_state,
                                   state_refused,
                                   lease_updated>;

// The part of the control lease that runs in a daemon: it sends renewals, keeps
// the end of the lease and tracks which state the traffic threads have adopted.
class lease_holder
{
public:
    // There must be at least one traffic thread. The address is empty if the
    // daemon runs no statements for other daemons.
    lease_holder(daemon_name daemon,
                 data_centre_name data_centre,
                 std::uint64_t incarnation,
                 std::size_t threads,
                 lease_settings settings,
                 instant now,
                 std::string address = {});

    // Stores an input for the next tick.
    void receive(holder_input it);

    // Handles the stored inputs and sends a renewal if one is due.
    std::vector<holder_output> tick(instant now);

    // The time at which tick() must be called again; instant::min() when inputs
    // wait for it.
    [[nodiscard]] instant next_deadline() const;

    // The lease is valid before this time.
    [[nodiscard]] instant valid_until() const noexcept
    {
        return valid_until_;
    }

    // The greatest revision that all traffic threads have adopted.
    [[nodiscard]] std::uint64_t confirmed_revision() const noexcept
    {
        return confirmed_revision_;
    }

private:
    using handler = void (lease_holder::*)(holder_input const&);

    static handler const handlers[];

    void on_grant(holder_input const& it);
    void on_offer(holder_input const& it);
    void on_adopted(holder_input const& it);
    void on_acknowledged(holder_input const& it);
    void on_serving(holder_input const& it);
    void on_leader_changed(holder_input const& it);
    void on_stop(holder_input const& it);
    void send_due_renewal(instant now);

    daemon_name daemon_;
    data_centre_name data_centre_;
    std::string address_;
    std::uint64_t incarnation_;
    lease_settings settings_;
    // The revision that each traffic thread has adopted.
    std::vector<std::uint64_t> adopted_by_thread_;
    // The greatest revision that was passed to the traffic threads.
    std::uint64_t published_revision_ = 0;
    std::uint64_t confirmed_revision_ = 0;
    // Send times of unanswered renewals whose lease would not yet have ended.
    std::set<instant> sent_renewals_;
    instant next_renewal_;
    instant last_renewal_ = instant::min();
    // Whether the presumed leader has answered a renewal.
    bool is_answered_ = false;
    instant valid_until_ = instant::min();
    std::map<group_name, log_position> acknowledged_;
    bool stopped_ = false;
    std::vector<holder_input> inbox_;
    std::vector<holder_output> out_;
};

} // namespace basilreach::control

#endif
