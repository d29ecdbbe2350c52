#ifndef BASILREACH_CONTROL_TEST_SIMULATION_HPP
#define BASILREACH_CONTROL_TEST_SIMULATION_HPP

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <basilreach/control/leader.hpp>
#include <basilreach/control/lease_holder.hpp>

#include "checker.hpp"

namespace basilreach::control::test
{

using std::chrono::milliseconds;

// Stand-in for the parser of rules: each line is "key HEX-DIGIT", and "bad" is
// an error.
result<rules::rule_set, rules_errors> parse_rules(std::string_view text);

// The digest whose bytes all have this value.
key_digest digest_of(std::uint8_t byte);

// One group "g" of servers, daemons with clocks of different rates, and one
// control host at a time that leads, under virtual time in steps of 5 ms. Each
// message takes at most one step. Committed entries survive every crash.
class simulation
{
public:
    simulation();

    // Runs one line of a trace; the events are listed in docs/control.md.
    // Returns the empty string, or what differs from the stated outcome.
    std::string run(std::string const& line);

    // Runs all lines of a trace and returns what differs.
    std::vector<std::string> run_all(std::string const& text);

    void run_until(instant end);

    // Offset of the last write.
    [[nodiscard]] std::uint64_t last_write() const
    {
        return last_write_;
    }

    instant now{};
    checker watch;
    control_state host;
    std::optional<leader> lead;
    int elections = 0;
    std::vector<placement_decision> decisions;
    std::vector<std::pair<instant, change_in_force>> in_force;

private:
    struct sim_server
    {
        log_position position;
        bool is_cut = false;
        // Answers position queries and no promotions.
        bool is_mute = false;
    };

    struct sim_daemon
    {
        control_state applied;
        control_state served;
        lease_holder holder;
        // Relative error of the clock rate.
        int per_mille = 0;
        // Neither side hears the other; the daemon hears nothing; a traffic
        // thread hangs.
        bool is_cut = false;
        bool is_deaf = false;
        bool is_stuck = false;
        log_position acknowledged{};
    };

    // A simulated crash of the leader before or after an output takes effect.
    struct crash_point
    {
        bool is_after = false;
        std::string kind;
    };

    [[nodiscard]] static instant local(instant time, int per_mille);
    // Events of a trace.
    std::string elect(std::string const& per_mille);
    std::string start(std::string const& time);
    std::string plan_crash(bool is_after, std::string const& kind);
    std::string start_daemon(daemon_name const& name,
                             std::string const& per_mille);
    std::string stop_daemon(daemon_name const& name);
    std::string
    set_fault(std::string const& host_name, std::string const& fault, bool on);
    std::string set_position(server_name const& name, log_position position);
    std::string write_to(server_name const& name);
    void step();
    void commit(command const& it);
    void step_daemon(daemon_name const& name, sim_daemon& it);
    void adopt(sim_daemon& it);
    void deliver(leader_output const& it);
    void effect(leader_output const& it);
    std::string try_ack(sim_daemon& it, std::uint64_t offset);
    std::string submit(command const& it);
    std::string expect(std::vector<std::string> const& words);

    std::vector<command> log_;
    std::vector<command> pending_;
    std::vector<std::pair<instant, leader_input>> answers_;
    std::map<server_name, sim_server> servers_;
    std::map<daemon_name, sim_daemon> daemons_;
    int leader_per_mille_ = 0;
    std::uint64_t incarnations_ = 0;
    std::uint64_t last_write_ = 1000;
    std::optional<crash_point> crash_;
    std::optional<instant> election_;
};

} // namespace basilreach::control::test

#endif
