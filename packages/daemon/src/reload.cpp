#include <basilreach/daemon/reload.hpp>

#include <algorithm>
#include <utility>

namespace basilreach::daemon
{

reload_plan plan_reload(settings::daemon_settings const& used,
                        settings::daemon_settings changed)
{
    reload_plan out;
    for (auto const& it : changed.control_hosts)
    {
        bool const is_known = std::any_of(
            used.control_hosts.begin(), used.control_hosts.end(),
            [&it](auto const& host) { return host.address == it.address; });
        if (!is_known)
            out.new_hosts.push_back(it);
    }
    changed.control_hosts = used.control_hosts;
    changed.seeds = used.seeds;
    out.needs_restart = changed != used;
    return out;
}

} // namespace basilreach::daemon
