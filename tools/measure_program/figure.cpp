#include "figure.hpp"

#include <cstdio>

namespace basilreach::measure
{

void print_figure(std::string const& name,
                  double value,
                  std::string const& unit,
                  double baseline,
                  std::uint64_t seed)
{
    std::printf("figure=%s value=%.3f unit=%s baseline=%.3f seed=%llu\n",
                name.c_str(), value, unit.c_str(), baseline,
                static_cast<unsigned long long>(seed));
}

} // namespace basilreach::measure
