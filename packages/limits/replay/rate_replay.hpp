#ifndef BASILREACH_LIMITS_REPLAY_RATE_REPLAY_HPP
#define BASILREACH_LIMITS_REPLAY_RATE_REPLAY_HPP

#include <cstdint>
#include <istream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/result.hpp>
#include <basilreach/limits/rate_limiter.hpp>
#include <basilreach/limits/token_allocator.hpp>

#include <simulation.hpp>

namespace basilreach::limits::replay
{

// Poisson arrivals at a range of hosts, `rate` a second in sum.
struct arrival_rule
{
    instant from;
    instant to;
    unsigned first_host = 0;
    unsigned last_host = 0;
    double rate = 0;
    // Time after which the arrivals move to the next host of the range. If it
    // is zero, each arrival goes to a random host of the range.
    duration move{};
};

// A fault of the hosts of a range, or of the leader.
struct fault_rule
{
    enum class kind : std::uint8_t
    {
        // No messages are delivered between the hosts and the leader from
        // `from` to `to`.
        cut,
        // The hosts lose their state and restart at `from`.
        restart,
        // The hosts stop at `from`.
        lose,
        // The leader is lost at `from` and another one is elected.
        leader,
        // The hosts do nothing from `from` to `to` and then go on.
        freeze,
        // The hosts start and are registered at `from`.
        add,
        // The hosts stop at `from` and are no longer registered.
        remove
    };

    kind what = kind::cut;
    instant from;
    instant to;
    unsigned first_host = 0;
    unsigned last_host = 0;
};

struct configure_rule
{
    instant at;
    std::int64_t rate = 0;
    std::int64_t burst = 0;
};

// Hosts among which the floor is divided from `at` on; all if there are none.
struct placement_rule
{
    instant at;
    std::set<unsigned> holders;
};

struct rate_trace
{
    // Each host runs one daemon.
    unsigned hosts = 9;
    // Traffic threads of each host, each with a rate limiter of its own; 0 to
    // consume tokens of the host's only limiter.
    unsigned threads = 0;
    duration latency = std::chrono::microseconds(500);
    duration jitter{};
    // Fraction of the messages that are lost.
    double loss = 0;
    // Maximum relative error of the rate of a clock.
    double drift = 0;
    // How long a request may wait for a token.
    duration max_wait = std::chrono::milliseconds(20);
    duration length = std::chrono::seconds(10);
    std::vector<configure_rule> limits;
    std::vector<placement_rule> placements;
    std::vector<arrival_rule> arrivals;
    std::vector<fault_rule> faults;
    // Expected outcomes: name and maximum value.
    std::map<std::string, double> expected;
};

struct trace_error
{
    unsigned line = 0;
    std::string word;
};

// Reads a trace. Each line is a statement: a keyword, followed by pairs of a
// field and its value. `#` starts a comment.
result<rate_trace, trace_error> read_rate_trace(std::istream& in);

struct arrival
{
    instant at;
    unsigned host = 0;

    friend auto operator<=>(arrival const&, arrival const&) = default;
};

// Returns the arrivals of a trace in order of time.
std::vector<arrival> make_arrivals(rate_trace const& trace,
                                   random_source& random);

struct rate_outcome
{
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    // Refused although a single exact bucket admits them.
    std::uint64_t refused_within_rate = 0;
    // The same if each host has an equal fraction of rate and burst, without a
    // leader.
    std::uint64_t divided_refused_within_rate = 0;
    // Statements admitted beyond rate and burst.
    std::uint64_t over_rate = 0;
    std::uint64_t messages = 0;
    // Mean wait of the admitted statements, in milliseconds.
    double wait = 0;
};

// Counts the admissions, in order of time, that exceed burst + rate * t in some
// window. A lowered limit applies from `grace` after its change.
std::uint64_t count_over_rate(std::vector<instant> const& admission_times,
                              std::vector<configure_rule> const& limits,
                              duration grace,
                              double rate_error);

// Simulates a trace in virtual time.
rate_outcome replay_rate(rate_trace const& trace,
                         std::uint64_t seed,
                         token_allocator_settings settings = {},
                         rate_limiter_settings limiter_settings = {});

} // namespace basilreach::limits::replay

#endif
