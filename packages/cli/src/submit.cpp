#include <basilreach/cli/submit.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

namespace basilreach::cli
{

namespace
{

constexpr std::string_view not_run_state = "57P03";

// Errors that are raised before a command runs and that other daemons would
// repeat at once. Any other error leaves open whether the command ran.
constexpr auto final_errors = std::to_array<std::string_view>(
    {"08P01", "0A000", "28P01", "3D000", "42601", "55000"});

// What a try tells, from least to most.
enum class evidence : std::uint8_t
{
    unreachable,
    not_run,
    may_have_run,
    final
};

evidence weigh(answered const& /*it*/)
{
    return evidence::final;
}

evidence weigh(rejected const& it)
{
    if (it.sqlstate == not_run_state)
        return evidence::not_run;
    auto const is_final = std::find(final_errors.begin(), final_errors.end(),
                                    it.sqlstate) != final_errors.end();
    return is_final ? evidence::final : evidence::may_have_run;
}

evidence weigh(unreachable const& /*it*/)
{
    return evidence::unreachable;
}

evidence weigh(lost const& /*it*/)
{
    return evidence::may_have_run;
}

} // namespace

submission submit(submit_options const& options,
                  admin::admin_command const& command,
                  transport const& send)
{
    auto const text = admin::print_command(command);
    auto const is_single = std::holds_alternative<admin::stop>(command);
    auto const rounds = is_single ? 1U : options.rounds;
    auto const daemons = is_single
                             ? std::min<std::size_t>(1, options.daemons.size())
                             : options.daemons.size();
    submission best;
    auto best_evidence = evidence::unreachable;
    for (std::uint32_t round = 0; round != rounds; ++round)
    {
        if (round != 0 && options.pause)
            options.pause();
        for (std::size_t n = 0; n != daemons; ++n)
        {
            auto outcome = send(options.daemons[n], text);
            auto const found =
                std::visit([](auto const& it) { return weigh(it); }, outcome);
            if (found >= best_evidence)
            {
                best.outcome = std::move(outcome);
                best_evidence = found;
            }
            if (found == evidence::final)
                return best;
            best.may_have_run =
                best.may_have_run || found == evidence::may_have_run;
        }
    }
    return best;
}

} // namespace basilreach::cli
