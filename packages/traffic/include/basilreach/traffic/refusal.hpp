#ifndef BASILREACH_TRAFFIC_REFUSAL_HPP
#define BASILREACH_TRAFFIC_REFUSAL_HPP

#include <cstdint>

namespace basilreach::traffic
{

// What is known about the effect of a statement that is refused.
enum class refusal_outcome : std::uint8_t
{
    // The statement certainly had no effect.
    not_run,
    // The statement may or may not have had its effect.
    unknown
};

enum class refusal_reason : std::uint8_t
{
    unknown_route,
    key_withdrawn,
    workspace_not_allowed,
    session_state_unsupported,
    rate_exceeded,
    queue_full,
    deadline,
    no_lease,
    connection_lost,
    transaction_lost,
    superseded,
    not_replicated,
    draining,
    // The only server that may run the statement is silent.
    server_silent,
    // The group has no primary, and is not expected to have one in time.
    no_primary,
    // The holder's control view is older than the sender's.
    behind,
    // The data centres of the servers that may run the statement are out of
    // service.
    out_of_service
};

} // namespace basilreach::traffic

#endif
