#ifndef BASILREACH_MEASURE_FIGURE_HPP
#define BASILREACH_MEASURE_FIGURE_HPP

#include <cstdint>
#include <string>

namespace basilreach::measure
{

// Prints one figure with its baseline and its seed.
void print_figure(std::string const& name,
                  double value,
                  std::string const& unit,
                  double baseline,
                  std::uint64_t seed);

} // namespace basilreach::measure

#endif
