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

// What a server says of itself at regular intervals.
struct server_report
{
    server_name server;
    group_name group;
    data_centre_name data_centre;
    // IP number and port.
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
    // Time without a report after which a server is taken for down. Two
    // reports may be lost on the way.
    duration report_timeout = std::chrono::milliseconds{3000};
    // The same where most daemons have had no answer from the server either.
    // One report may be late.
    duration unreachable_report_timeout = std::chrono::milliseconds{1600};
    // How long a daemon's report that it reaches no server counts.
    duration reach_report_lifetime = std::chrono::milliseconds{700};
    // Interval at which a verdict that is not yet committed is proposed again.
    duration retry = std::chrono::milliseconds{300};

    friend bool operator==(monitor_settings const&,
                           monitor_settings const&) = default;
};

// Turns the reports of servers into commands, at the leading control host. A
// report that says nothing new costs no entry of the log. Verdicts are formed
// for groups whose servers report by themselves; nobody else judges those.
class server_monitor
{
public:
    // The state must outlive the monitor. Reports may have gone to another
    // host until now, so that silence counts from `started`.
    server_monitor(control_state const& state,
                   monitor_settings settings,
                   instant started);

    // Returns what must be committed before the report is acknowledged, if
    // anything. A report that is older than an earlier one changes nothing.
    std::optional<command_body> receive(server_report const& it, instant now);

    // Takes what a daemon says of its own connections to a server. A server
    // that is only slow answers some daemons, so that it takes most of them.
    // Returns whether the daemon had said something else before.
    bool receive(reach_report const& it, instant now);

    // Returns the command that takes a server out of its group, if it is in.
    [[nodiscard]] std::optional<command_body>
    remove(server_name const& it) const;

    // Returns the verdicts that are due.
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
        // When a verdict that was proposed may be proposed again.
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
    // When daemons last said that they have no answer from a server.
    std::map<server_name, std::map<daemon_name, instant>> unreachable_since_;
    deadline_queue<server_name> deadlines_;
};

} // namespace basilreach::control

#endif
