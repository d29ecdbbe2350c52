#ifndef BASILREACH_DAEMON_VIEW_BUILDER_HPP
#define BASILREACH_DAEMON_VIEW_BUILDER_HPP

#include <set>

#include <basilreach/control/control_state.hpp>
#include <basilreach/traffic/control_view.hpp>

namespace basilreach::daemon
{

// Returns the part of the control state that traffic threads need. The denied
// keys are left out: withdrawals that this daemon has heard of and that may not
// have been committed.
[[nodiscard]] traffic::control_view_ptr
build_view(control::control_state const& state,
           std::set<control::key_digest> const& denied);

// Parses rules for the control state.
[[nodiscard]] control::rules_parser make_rules_parser();

} // namespace basilreach::daemon

#endif
