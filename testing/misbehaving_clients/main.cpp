#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "process.hpp"

namespace
{

// No test case takes as long. Ends the daemons if one of them hangs.
constexpr unsigned time_limit_s = 290;

} // namespace

int main(int argc, char* argv[])
{
    basilreach::measure::kill_children_on_signals(time_limit_s);
    doctest::Context context(argc, argv);
    return context.run();
}
