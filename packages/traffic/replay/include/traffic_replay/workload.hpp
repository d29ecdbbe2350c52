#ifndef BASILREACH_TRAFFIC_REPLAY_WORKLOAD_HPP
#define BASILREACH_TRAFFIC_REPLAY_WORKLOAD_HPP

#include <vector>

#include <traffic_replay/simulated_deployment.hpp>

namespace basilreach::traffic::replay
{

struct workload_settings
{
    unsigned clients = 8;
    // Mean pause between a statement's end and the client's next one.
    duration pause = std::chrono::milliseconds(20);
    // Fractions of the statements outside transactions that are writes or open
    // a transaction; the others are reads.
    double write_fraction = 0.1;
    double transaction_fraction = 0;
    // Fraction of statements before which the client moves to a random host.
    double move_fraction = 0;
    // Fraction of statements before which the client moves to a random host and
    // starts there without its session token.
    double new_session_fraction = 0;
    // Rate at which clients of the first workspace issue statements, as a
    // multiple of the rate of the others.
    double first_workspace_rate = 1;

    friend bool operator==(workload_settings const&,
                           workload_settings const&) = default;
};

// One statement as observed by its client.
struct observation
{
    statement_kind what = statement_kind::read;
    unsigned client = 0;
    instant began;
    instant ended;
    statement_outcome end = statement_outcome::answered;

    friend bool operator==(observation const&, observation const&) = default;
};

// Clients that each issue statements one after another until the simulation is
// finished.
class workload
{
public:
    workload(simulated_deployment& deployment,
             simulated_deployment_settings const& s,
             workload_settings settings);
    workload(workload const&) = delete;
    workload& operator=(workload const&) = delete;

    [[nodiscard]] std::vector<observation> const& observations() const
    {
        return observations_;
    }

    // Returns the p-quantile of the durations of statements, in milliseconds.
    [[nodiscard]] double quantile(double p, statement_kind what) const;

private:
    void schedule_next(unsigned client);
    void issue_next(unsigned client);
    [[nodiscard]] statement_kind choose_statement(unsigned client);

    simulated_deployment& deployment_;
    unsigned host_count_;
    unsigned workspace_count_;
    workload_settings settings_;
    std::vector<observation> current_;
    std::vector<observation> observations_;
};

// Runs random faults over a random workload and returns the violations.
[[nodiscard]] std::vector<violation>
run_random(std::uint64_t seed, simulated_deployment_settings settings);

} // namespace basilreach::traffic::replay

#endif
