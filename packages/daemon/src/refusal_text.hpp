#ifndef BASILREACH_DAEMON_SRC_REFUSAL_TEXT_HPP
#define BASILREACH_DAEMON_SRC_REFUSAL_TEXT_HPP

#include <basilreach/pgwire/encoder.hpp>
#include <basilreach/traffic/action.hpp>

namespace basilreach::daemon
{

// Returns the error that a PostgreSQL client receives for a refusal. Its hint
// is "not run" or "outcome unknown".
[[nodiscard]] pgwire::error_fields
describe_refusal(traffic::refusal_reason reason,
                 traffic::refusal_outcome outcome);

// Returns the name of a reason in log lines and metrics.
[[nodiscard]] char const* name_of(traffic::refusal_reason reason);

} // namespace basilreach::daemon

#endif
