#ifndef BASILREACH_DAEMON_RELOAD_HPP
#define BASILREACH_DAEMON_RELOAD_HPP

#include <vector>

#include <basilreach/settings/daemon_settings.hpp>

namespace basilreach::daemon
{

// What a running daemon does about a changed settings file.
struct reload_plan
{
    // Control hosts that are not known yet.
    std::vector<settings::control_host_settings> new_hosts;
    // A field other than control_hosts and seeds differs. It takes effect at
    // the next start.
    bool needs_restart = false;

    friend bool operator==(reload_plan const&, reload_plan const&) = default;
};

// Compares the settings in use with those of the file.
[[nodiscard]] reload_plan plan_reload(settings::daemon_settings const& used,
                                      settings::daemon_settings changed);

} // namespace basilreach::daemon

#endif
