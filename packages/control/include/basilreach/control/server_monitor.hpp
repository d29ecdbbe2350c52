#ifndef BASILREACH_CONTROL_SERVER_MONITOR_HPP
#define BASILREACH_CONTROL_SERVER_MONITOR_HPP

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/control/control_state.hpp>
#include <basilreach/control/reach_report.hpp>

namespace basilreach::control
{

// The report that a server sends about itself at regular intervals.
struct server_report
{
    server_name server;
    group_name group;
    data_centre_name data_centre;
    // IP address and port.
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    server_role role = server_role::unknown;
    bool is_leaving = false;

    friend bool operator==(server_report const&,
                           server_report const&) = default;
};

struct monitor_settings
{
    // Time without a report after which a server is considered down. Two
    // consecutive reports may be lost.
    duration report_timeout = std::chrono::milliseconds{3000};
    // The same for a server that is unreachable from most daemons. One report
    // may be late.
    duration report_timeout_if_unreachable = std::chrono::milliseconds{1600};
    // Time for which a daemon's report that a server is unreachable is valid.
    duration reach_report_lifetime = std::chrono::milliseconds{700};
    // Interval at which an uncommitted verdict is proposed again.
    duration retry = std::chrono::milliseconds{300};

    friend bool operator==(monitor_settings const&,
                           monitor_settings const&) = default;
};

// Converts the reports of servers into commands, on the control leader. A
// report without a change adds no log entry. For server-checked groups, which
// have no external health check, it also produces the health verdicts.
class server_monitor
{
public:
    // The state must outlive the monitor. Reports may have been sent to another
    // host before `started`, so the timeouts begin then.
    server_monitor(control_state const& state,
                   monitor_settings settings,
                   instant started);

    // Returns the command that must be committed before the report is
    // acknowledged, if any. A report older than an earlier one is ignored.
    std::optional<command_body> receive(server_report const& it, instant now);

    // Records whether a daemon can reach a server over its own connections. A
    // slow server still answers some daemons, so the shorter timeout applies
    // only if most daemons cannot reach it. Returns whether this changes what
    // was recorded for the daemon.
    bool receive(reach_report const& it, instant now);

    // Returns the command that removes a server from its group, if it is in
    // one.
    [[nodiscard]] std::optional<command_body>
    remove(server_name const& it) const;

    // Returns the commands for the verdicts that are due.
    std::vector<command_body> tick(instant now);

    [[nodiscard]] instant next_deadline() const
    {
        return deadlines_.next();
    }

private:
    struct row
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        instant last_report;
        // When the verdict may be proposed again.
        instant next_proposal{};
    };

    [[nodiscard]] bool is_monitored(server_name const& it) const;
    [[nodiscard]] instant last_report_time(server_name const& it) const;
    [[nodiscard]] bool is_unreachable_from_most_daemons(server_name const& it,
                                                        instant now) const;
    std::optional<command_body> check_health(server_name const& it,
                                             instant now);

    control_state const& state_;
    monitor_settings settings_;
    instant started_;
    std::map<server_name, row> rows_;
    // For each server, when each daemon last reported it as unreachable.
    std::map<server_name, std::map<daemon_name, instant>> unreachable_reports_;
    deadline_queue<server_name> deadlines_;
};

} // namespace basilreach::control

#endif
