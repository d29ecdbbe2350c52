#ifndef BASILREACH_CONTROL_TEST_SIMULATION_HPP
#define BASILREACH_CONTROL_TEST_SIMULATION_HPP

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <basilreach/control/leader.hpp>
#include <basilreach/control/lease_holder.hpp>

#include "checker.hpp"

namespace basilreach::control::test
{

using std::chrono::milliseconds;

// Replaces the rules parser: "key N" grants the key digest_of(N), and "bad" is
// an error.
result<rules::rule_set, rules_errors> parse_rules(std::string_view text);

// Returns the digest whose bytes all have this value.
key_digest digest_of(std::uint8_t byte);

// Simulates one group "g" of servers, daemons with different clock rates and
// one control leader at a time, in virtual time with steps of 5 ms. A message
// takes at most one step. Committed log entries survive every crash.
class simulation
{
public:
    simulation();

    // Runs one line of a trace; the events are listed in docs/control.md.
    // Returns an empty string, or the difference to the expected outcome.
    std::string run(std::string const& line);

    // Runs all lines of a trace. Returns the differences to the expected
    // outcomes and the violated invariants.
    std::vector<std::string> run_all(std::string const& text);

    void run_until(instant end);

    // The events of a trace. The words of the line are the arguments.
    void elect(int per_mille);
    void start();
    void plan_crash(bool is_after, std::string const& kind);
    void start_daemon(daemon_name const& name, int per_mille);
    void stop_daemon(daemon_name const& name);
    void
    set_fault(std::string const& target, std::string const& fault, bool on);
    void set_position(server_name const& name,
                      std::uint64_t term,
                      std::uint64_t offset);
    // A server executes the write if it is the primary of the term that it
    // knows. The reachable replicas that know no later term get the write too,
    // except one that lags.
    void write_to(server_name const& name);
    std::string acknowledge(daemon_name const& name,
                            std::uint64_t offset,
                            std::string const& expected);
    std::string announce(server_name const& name,
                         std::uint64_t sequence,
                         std::string const& expected);
    std::string submit(command const& it, std::string const& expected);

    // Offset of the last write.
    [[nodiscard]] std::uint64_t last_write() const
    {
        return last_write_;
    }

    instant now{};
    checker invariants;
    control_state leader_state;
    std::optional<leader> current_leader;
    int elections = 0;
    std::vector<promotion_decision> decisions;

private:
    struct sim_daemon
    {
        control_state applied;
        control_state served;
        lease_holder holder;
        // Relative error of the clock rate.
        int per_mille = 0;
        log_position acknowledged{};
    };

    [[nodiscard]] static instant local_time(instant time, int per_mille);

    template <class Name>
    [[nodiscard]] bool has_fault(Name const& it, char const* fault) const
    {
        return faults_.contains({it.str(), fault});
    }

    void step();
    command_answer commit(command const& it);
    void step_daemon(daemon_name const& name, sim_daemon& it);
    static void adopt(sim_daemon& it);
    void deliver(leader_output const& it);
    void apply_output(leader_output const& it);
    std::string try_acknowledge(sim_daemon& it, std::uint64_t offset);
    std::string expect(std::vector<std::string> const& words);

    std::vector<command> log_;
    std::vector<command> pending_;
    std::vector<leader_input> answers_;
    std::map<server_name, log_position> servers_;
    std::map<daemon_name, sim_daemon> daemons_;
    int leader_per_mille_ = 0;
    std::uint64_t incarnations_ = 0;
    std::uint64_t last_write_ = 1000;
    // Pairs of a daemon or server and a fault: cut (receives and sends
    // nothing), deaf (receives nothing), stuck (a traffic thread hangs), mute
    // (ignores promotion orders).
    std::set<std::pair<std::string, std::string>> faults_;
    // The leader crashes before or after its next output of this kind takes
    // effect. The first value is true for after.
    std::optional<std::pair<bool, std::string>> crash_;
    std::optional<instant> election_;
};

} // namespace basilreach::control::test

#endif
