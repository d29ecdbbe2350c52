#ifndef BASILREACH_PROCESS_DEPLOYMENT_DEPLOYMENT_HPP
#define BASILREACH_PROCESS_DEPLOYMENT_DEPLOYMENT_HPP

#include "process.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <basilreach/settings/daemon_settings.hpp>

namespace basilreach::measure
{

inline constexpr char operator_key[] = "measure-operator";
inline constexpr char client_key[] = "measure-caller";
inline constexpr char backend_password[] = "measure-database";

// How the daemons of a deployment differ from the default.
struct host_options
{
    // Members of the settings document, each followed by a comma.
    std::string settings;
    // Maximum number of open descriptors of a daemon; 0: that of this process.
    std::size_t descriptors = 0;
};

// Runs daemons with the control role as processes on loopback, and on demand a
// daemon with the entry role and groups of simulated servers.
class deployment
{
public:
    // Starts `n` control hosts; the roles are a JSON list.
    deployment(std::size_t n,
               std::string roles,
               std::string const& rules,
               host_options options = {});

    [[nodiscard]] std::size_t size() const
    {
        return hosts_.size();
    }

    [[nodiscard]] child_process& host(std::size_t n)
    {
        return *hosts_[n];
    }

    [[nodiscard]] std::uint16_t client_port(std::size_t n) const
    {
        return client_ports_[n];
    }

    [[nodiscard]] std::vector<std::uint16_t> const& control_ports() const
    {
        return control_ports_;
    }

    [[nodiscard]] std::string const& directory() const
    {
        return directory_.path();
    }

    // Starts a control host, or restarts it after it was killed.
    void start(std::size_t n);

    // Starts a daemon with the entry role only.
    [[nodiscard]] std::unique_ptr<child_process> start_entry();

    [[nodiscard]] std::string log(std::size_t n) const;

    // Returns the index of the leader that SHOW STATUS names, or nothing when
    // no host answers. An answer needs a confirmed read, so a majority follows
    // that leader.
    [[nodiscard]] std::optional<std::size_t> find_leader() const;

    // Waits until there is a leader; returns its index, or 0 after 15 s.
    [[nodiscard]] std::size_t wait_for_leader() const;

    // Returns the settings of a daemon with the entry role only.
    [[nodiscard]] settings::daemon_settings
    entry_settings(std::string const& name) const;

    // Starts a group of three simulated servers; returns their ports.
    std::vector<std::uint16_t> start_group(std::string const& name);

private:
    void write_settings(std::string const& name,
                        std::string const& roles,
                        std::uint16_t client_port,
                        std::uint16_t control_port) const;

    temporary_directory directory_;
    std::string roles_;
    host_options options_;
    std::vector<std::uint16_t> client_ports_;
    std::vector<std::uint16_t> control_ports_;
    std::vector<std::unique_ptr<child_process>> hosts_;
    std::vector<std::unique_ptr<child_process>> groups_;
};

// Returns the elapsed times of the event=change_in_force lines of a log, in
// milliseconds.
[[nodiscard]] std::vector<double> changes_in_force_ms(std::string const& log);

} // namespace basilreach::measure

#endif
