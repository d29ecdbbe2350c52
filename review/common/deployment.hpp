#ifndef BASILREACH_REVIEW_COMMON_DEPLOYMENT_HPP
#define BASILREACH_REVIEW_COMMON_DEPLOYMENT_HPP

#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "record.hpp"

namespace review
{

using nlohmann::json;

// A machine that runs one process of the system.
struct machine
{
    std::string name;
    std::string role;
    std::string zone;
    std::string ip;
    // Whether the whole system starts for the first time.
    bool is_first_start = true;
    pid_t pid = 0;
};

// Three machines with the role control and some with the role entry, each with
// a loopback address of its own. The settings are rendered from the templates
// of the deploy file, and the processes are started by its commands.
class deployment
{
public:
    // The repository is the working directory. Processes write their logs and
    // their state to the work directory.
    deployment(std::string work_directory,
               std::size_t entry_machines,
               std::string provider_address,
               record& log);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    // Starts all machines. Returns whether every program could be started.
    bool start();

    // Sends the desired state until it is acknowledged; returns whether it was.
    // Then waits until every entry machine is ready.
    bool put(json const& desired_state);
    [[nodiscard]] bool wait_until_ready() const;

    // Sends SIGTERM to the process of a machine. After the grace period it is
    // killed.
    void terminate(std::string const& name);

    // Starts a further control machine with an empty disk, at a new address.
    bool add_control(std::string const& name, std::string const& zone);

    // Takes a control machine, whose process has ended, out of the list of
    // which seeds are made.
    void remove_control(std::string const& name);

    // Writes the settings files of all machines anew, with the control machines
    // of now as seeds, and sends SIGHUP to the processes if wanted.
    void rewrite_settings(bool sends_signal);

    // Returns the name of the control machine that answers itself and does not
    // redirect the operator.
    [[nodiscard]] std::string find_leader() const;

    // Waits until the process has ended, and kills it after the time. Returns
    // whether it ended by itself.
    bool wait_for_end(std::string const& name, double timeout_ms);

    [[nodiscard]] std::string control_address(std::size_t n) const;
    [[nodiscard]] std::string front_address(std::size_t n) const;
    [[nodiscard]] std::string readiness_address(std::size_t n) const;
    [[nodiscard]] std::string const& block() const
    {
        return block_;
    }

    // The address block of this run, below which all its IP addresses are.
    static std::string choose_block();

private:
    bool start(machine& it);
    [[nodiscard]] json settings_of(machine const& it) const;
    void write_settings(machine const& it) const;
    [[nodiscard]] std::string settings_file(machine const& it) const;
    [[nodiscard]] machine* find(std::string const& name);

    std::string work_directory_;
    std::string block_;
    std::string provider_address_;
    record& log_;
    std::vector<machine> controls_;
    // Control machines that were replaced.
    std::vector<machine> removed_controls_;
    int last_control_ip_ = 0;
    std::vector<machine> entries_;
};

// The bounds of the small installations, in the names of the templates.
json default_bounds();

// Fills in a template: {{a.b}} is a value of the fields, {{a.b|json}} the same
// as JSON.
std::string render(std::string const& text, json const& fields);

} // namespace review

#endif
