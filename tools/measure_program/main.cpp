#include "subcommands.hpp"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

namespace
{

struct subcommand
{
    std::string_view name;
    int (*run)(std::uint64_t seed);
};

constexpr subcommand subcommands[] = {
    {"decisions", basilreach::measure::measure_decisions},
    {"dispatch", basilreach::measure::measure_dispatch},
    {"failover", basilreach::measure::measure_failover},
    {"fairness", basilreach::measure::measure_fairness},
    {"limits", basilreach::measure::measure_limits},
    {"overload", basilreach::measure::measure_overload},
    {"pool", basilreach::measure::measure_pool},
    {"reads", basilreach::measure::measure_reads},
};

} // namespace

int main(int argc, char** argv)
{
    std::string_view const subcommand_name = argc > 1 ? argv[1] : "";
    auto const seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    for (auto const& it : subcommands)
        if (it.name == subcommand_name)
            return it.run(seed);
    std::fprintf(stderr, "usage: basilreach_measure NAME [SEED]\nnames:");
    for (auto const& it : subcommands)
        std::fprintf(stderr, " %s", std::string(it.name).c_str());
    std::fprintf(stderr, "\n");
    return 2;
}
