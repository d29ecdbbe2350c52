#ifndef BASILREACH_LIMITS_REPLAY_RATE_REPLAY_HPP
#define BASILREACH_LIMITS_REPLAY_RATE_REPLAY_HPP

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/result.hpp>
#include <basilreach/limits/rate_limiter.hpp>
#include <basilreach/limits/token_allocator.hpp>

#include <simulation.hpp>

namespace basilreach::limits::replay
{

// Poisson arrivals at a range of hosts, together `rate` a second.
struct arrival_rule
{
    instant from;
    instant to;
    unsigned first_host = 0;
    unsigned last_host = 0;
    double rate = 0;
    // Time after which the arrivals move to the next host of the range; zero to
    // spread each arrival over the range.
    duration move{};
};

// What happens to the hosts of a range, or to the leader.
struct fault_rule
{
    enum class kind : std::uint8_t
    {
        // No messages pass between the hosts and the leader from `from` to
        // `to`.
        cut,
        // The hosts lose their tokens and start again at `from`.
        restart,
        // The hosts end at `from`.
        lose,
        // Another leader is elected at `from`.
        leader
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

struct rate_trace
{
    unsigned hosts = 9;
    // Traffic threads of each host; 0 to spend at the host's own holder.
    unsigned threads = 0;
    duration latency = std::chrono::microseconds(500);
    duration jitter{};
    // Part of the messages that are lost.
    double loss = 0;
    // Greatest relative error of a host's clock.
    double drift = 0;
    // How long a request may wait for a token.
    duration patience = std::chrono::milliseconds(20);
    duration length = std::chrono::seconds(10);
    std::vector<configure_rule> limits;
    std::vector<arrival_rule> arrivals;
    std::vector<fault_rule> faults;
    // Outcomes that the trace states: name and greatest value.
    std::map<std::string, double> expected;
};

struct trace_error
{
    unsigned line = 0;
    std::string word;
};

// Reads a trace: one statement a line, a word followed by pairs of a field and
// its value; `#` starts a comment.
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
    // Refused although one ideal bucket admits them.
    std::uint64_t refused_within_rate = 0;
    // The same with the rate and burst divided by the hosts.
    std::uint64_t divided_refused_within_rate = 0;
    // Statements run beyond the rate and burst.
    std::uint64_t over_rate = 0;
    std::uint64_t messages = 0;
    // Mean wait of the admitted requests, in milliseconds.
    double wait = 0;
};

// Counts the runs, ordered by time, that exceed burst + rate * t in some
// window. A smaller limit counts from `grace` after its change.
std::uint64_t count_over_rate(std::vector<instant> const& runs,
                              std::vector<configure_rule> const& limits,
                              duration grace,
                              double rate_error);

// Replays a trace under virtual time.
rate_outcome replay_rate(rate_trace const& trace,
                         std::uint64_t seed,
                         token_allocator_settings settings = {},
                         rate_limiter_settings holder_settings = {});

} // namespace basilreach::limits::replay

#endif
