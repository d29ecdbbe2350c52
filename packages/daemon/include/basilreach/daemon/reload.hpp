#ifndef BASILREACH_DAEMON_RELOAD_HPP
#define BASILREACH_DAEMON_RELOAD_HPP

#include <vector>

#include <basilreach/settings/daemon_settings.hpp>

namespace basilreach::daemon
{

// What a changed settings file means for a daemon that runs.
struct reload_plan
{
    // Control hosts that are not known yet.
    std::vector<settings::control_host_settings> new_hosts;
    // Another field than those of the control hosts differs; it counts from the
    // next start on.
    bool needs_restart = false;

    friend bool operator==(reload_plan const&, reload_plan const&) = default;
};

// Compares the settings in use with those of the file.
[[nodiscard]] reload_plan plan_reload(settings::daemon_settings const& used,
                                      settings::daemon_settings changed);

} // namespace basilreach::daemon

#endif
