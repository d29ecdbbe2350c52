#ifndef BASILREACH_CONTROL_LEASE_HPP
#define BASILREACH_CONTROL_LEASE_HPP

#include <cstdint>
#include <map>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/log_position.hpp>
#include <basilreach/base/name.hpp>

namespace basilreach::control
{

// Times that must be equal on control hosts and daemons.
struct lease_settings
{
    // Longer than an election, which takes at most 2 s, so that leases outlast
    // it.
    duration lease = std::chrono::seconds{3};
    duration renewal = std::chrono::milliseconds{500};
    // Interval of the renewals of a daemon without a valid lease, and to a
    // control host that has not answered yet.
    duration retry = std::chrono::milliseconds{100};
    // Least time between two renewals. Two control hosts that each take the
    // other for the leader would otherwise send a daemon back and forth without
    // a pause.
    duration min_interval = std::chrono::milliseconds{20};

    friend bool operator==(lease_settings const&,
                           lease_settings const&) = default;
};

// A daemon requests or renews its lease. Sent at once when the confirmed
// revision increases, otherwise at the renewal interval.
struct lease_renewal
{
    daemon_name daemon;
    data_centre_name data_centre;
    // Different for each start of the daemon.
    std::uint64_t incarnation = 0;
    // Send time by the daemon's clock. The grant returns it unchanged.
    instant sent_at;
    // The greatest revision that all traffic threads have adopted.
    std::uint64_t confirmed_revision = 0;
    // The highest position of a write that the daemon acknowledged, for each
    // group whose primary is being replaced.
    std::map<group_name, log_position> acknowledged;
    // IP address and port for statements from other daemons; empty if the
    // daemon runs none for them.
    std::string address{};

    friend bool operator==(lease_renewal const&,
                           lease_renewal const&) = default;
};

// A daemon that stops releases its lease. It relays nothing afterwards.
struct lease_returned
{
    daemon_name daemon;
    std::uint64_t incarnation = 0;

    friend bool operator==(lease_returned const&,
                           lease_returned const&) = default;
};

// The leader's answer to a renewal.
struct grant_lease
{
    daemon_name daemon;
    std::uint64_t incarnation = 0;
    // The send time of the renewal.
    instant echo;
    // Duration of the lease, from the echo on by the daemon's clock. Zero if no
    // lease is granted: the daemon must first adopt a newer state, or is not
    // registered or has been removed.
    duration lease{};
    // The revision of the leader's state.
    std::uint64_t revision = 0;

    friend bool operator==(grant_lease const&, grant_lease const&) = default;
};

} // namespace basilreach::control

#endif
