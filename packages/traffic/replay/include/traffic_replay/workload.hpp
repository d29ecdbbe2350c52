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
    double write_share = 0.1;
    double transaction_share = 0;
    // Share of statements after which the client moves to another host.
    double move_share = 0;
    // Share of statements after which the client begins without a token.
    double fresh_share = 0;
    // Clients of the first workspace issue this many times as often.
    double first_workspace = 1;

    friend bool operator==(workload_settings const&,
                           workload_settings const&) = default;
};

// One statement as its client saw it.
struct observation
{
    statement_kind what = statement_kind::read;
    unsigned client = 0;
    instant began;
    instant ended;
    statement_outcome end = statement_outcome::answered;

    friend bool operator==(observation const&, observation const&) = default;
};

// Clients that issue statements one after another until the world is finished.
class workload
{
public:
    workload(simulated_deployment& w,
             simulated_deployment_settings const& s,
             workload_settings settings);
    workload(workload const&) = delete;
    workload& operator=(workload const&) = delete;

    [[nodiscard]] std::vector<observation> const& observations() const
    {
        return observations_;
    }

    // The p-quantile of the statements' times, in milliseconds.
    [[nodiscard]] double quantile(double p, statement_kind what) const;

private:
    void pause(unsigned client);
    void next(unsigned client);
    [[nodiscard]] statement_kind choose(unsigned client);

    simulated_deployment& world_;
    unsigned hosts_;
    unsigned workspaces_;
    workload_settings settings_;
    std::vector<observation> current_;
    std::vector<observation> observations_;
};

// Runs random faults over a random workload and returns the violations.
[[nodiscard]] std::vector<violation>
run_random(std::uint64_t seed, simulated_deployment_settings settings);

} // namespace basilreach::traffic::replay

#endif
