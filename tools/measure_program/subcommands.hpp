#ifndef BASILREACH_MEASURE_SUBCOMMANDS_HPP
#define BASILREACH_MEASURE_SUBCOMMANDS_HPP

#include <cstdint>

namespace basilreach::measure
{

// Each function prints the figures of one subject and returns the exit status.
int measure_decisions(std::uint64_t seed);
int measure_dispatch(std::uint64_t seed);
int measure_failover(std::uint64_t seed);
int measure_fairness(std::uint64_t seed);
int measure_limits(std::uint64_t seed);
int measure_overload(std::uint64_t seed);
int measure_pool(std::uint64_t seed);
int measure_reads(std::uint64_t seed);

} // namespace basilreach::measure

#endif
