#ifndef BASILREACH_MEASURE_FIGURE_HPP
#define BASILREACH_MEASURE_FIGURE_HPP

#include <cstdint>
#include <string>

namespace basilreach::measure
{

// Prints one figure as a line. The baseline is the value to compare it with, or
// 0 when there is none.
void print_figure(std::string const& name,
                  double value,
                  std::string const& unit,
                  double baseline,
                  std::uint64_t seed);

} // namespace basilreach::measure

#endif
