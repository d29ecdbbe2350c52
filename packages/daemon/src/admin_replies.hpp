#ifndef BASILREACH_DAEMON_SRC_ADMIN_REPLIES_HPP
#define BASILREACH_DAEMON_SRC_ADMIN_REPLIES_HPP

#include <optional>
#include <string>
#include <vector>

#include <basilreach/cli/admin_answer.hpp>
#include <basilreach/cli/admin_command.hpp>
#include <basilreach/control/command.hpp>
#include <basilreach/control/command_answer.hpp>
#include <basilreach/control/control_state.hpp>
#include <basilreach/messages/message.hpp>

namespace basilreach::daemon
{

// Converts a command of the admin console to a command of the control state.
// Returns nullopt if it does not change the control state.
[[nodiscard]] std::optional<control::command>
to_control_command(admin::admin_command const& it);

[[nodiscard]] messages::admin_reply make_reply(control::command const& it,
                                               control::command_answer const&);

[[nodiscard]] messages::admin_reply make_reply(admin::result_table table);

[[nodiscard]] messages::admin_reply make_error(char const* sqlstate,
                                               std::string message);

[[nodiscard]] std::vector<admin::rules_row>
show_rules(control::control_state const& state);

[[nodiscard]] std::vector<admin::history_row>
show_history(control::control_state const& state);

[[nodiscard]] std::vector<admin::status_row>
show_status(control::control_state const& state);

} // namespace basilreach::daemon

#endif
