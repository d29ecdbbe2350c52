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

constexpr std::string_view not_run_sqlstate = "57P03";

// Errors that a daemon reports before it runs a command and that any other
// daemon would report too. After any error but these and not_run_sqlstate, the
// command may have run.
constexpr auto final_sqlstates = std::to_array<std::string_view>(
    {"08P01", "0A000", "28P01", "3D000", "42601", "55000"});

// How much an outcome says about the command, from least to most.
enum class outcome_rank : std::uint8_t
{
    unreachable,
    not_run,
    may_have_run,
    final
};

outcome_rank rank_of(answered const& /*it*/)
{
    return outcome_rank::final;
}

outcome_rank rank_of(rejected const& it)
{
    if (it.sqlstate == not_run_sqlstate)
        return outcome_rank::not_run;
    auto const is_final =
        std::find(final_sqlstates.begin(), final_sqlstates.end(),
                  it.sqlstate) != final_sqlstates.end();
    return is_final ? outcome_rank::final : outcome_rank::may_have_run;
}

outcome_rank rank_of(unreachable const& /*it*/)
{
    return outcome_rank::unreachable;
}

outcome_rank rank_of(unanswered const& /*it*/)
{
    return outcome_rank::may_have_run;
}

} // namespace

submit_result submit(submit_options const& options,
                     admin::admin_command const& command,
                     transport const& send)
{
    auto const text = admin::print_command(command);
    auto const is_single = std::holds_alternative<admin::stop>(command);
    auto const rounds = is_single ? 1U : options.rounds;
    auto const daemons = is_single
                             ? std::min<std::size_t>(1, options.daemons.size())
                             : options.daemons.size();
    submit_result best;
    auto best_rank = outcome_rank::unreachable;
    for (std::uint32_t round = 0; round != rounds; ++round)
    {
        if (round != 0 && options.pause)
            options.pause();
        for (std::size_t n = 0; n != daemons; ++n)
        {
            auto outcome = send(options.daemons[n], text);
            auto const rank =
                std::visit([](auto const& it) { return rank_of(it); }, outcome);
            if (rank >= best_rank)
            {
                best.outcome = std::move(outcome);
                best_rank = rank;
            }
            if (rank == outcome_rank::final)
                return best;
            best.may_have_run =
                best.may_have_run || rank == outcome_rank::may_have_run;
        }
    }
    return best;
}

} // namespace basilreach::cli
