#ifndef BASILREACH_DAEMON_VIEW_BUILDER_HPP
#define BASILREACH_DAEMON_VIEW_BUILDER_HPP

#include <set>

#include <basilreach/control/control_state.hpp>
#include <basilreach/traffic/control_view.hpp>

namespace basilreach::daemon
{

// Returns the part of the control state that traffic threads need, without the
// denied keys. These were withdrawn at this daemon's console; the withdrawal
// may not be committed yet.
[[nodiscard]] traffic::control_view_ptr
build_view(control::control_state const& state,
           std::set<control::key_digest> const& denied);

// Returns the parser of basilreach's own rules format.
[[nodiscard]] control::rules_parser make_rules_parser();

} // namespace basilreach::daemon

#endif
