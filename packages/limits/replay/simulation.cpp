#include "simulation.hpp"

#include <cmath>

namespace basilreach::limits::replay
{

duration random_source::exponential(double rate)
{
    auto const seconds = -std::log(1 - unit()) / rate;
    return duration(static_cast<duration::rep>(seconds * 1e9));
}

} // namespace basilreach::limits::replay
