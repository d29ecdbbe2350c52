#include <basilreach/limits/token_transfer.hpp>

#include <algorithm>

namespace basilreach::limits
{

token_allocator_settings thread_level_settings()
{
    token_allocator_settings settings;
    settings.floor_rate_per_mille = 0;
    settings.floor_burst_per_mille = 0;
    return settings;
}

void transfer_tokens(rate_limiter& upper,
                     token_allocator& lower,
                     workspace_name const& workspace,
                     instant now)
{
    auto const waiting = lower.waiting(workspace);
    auto const wanted = waiting + lower.reserve(workspace);
    // All unallocated tokens come back, so that the holder's report and its
    // surplus cover them.
    auto const taken = lower.withdraw(workspace, thread_level_burst, now);
    upper.settle(workspace, taken, lower.total(workspace), now);
    auto const lent = upper.lend(workspace, wanted, now);
    lower.fund(workspace, lent, upper.expiry(workspace), now);
    upper.set_waiting(workspace, std::max<std::int64_t>(waiting - lent, 0),
                      now);
}

} // namespace basilreach::limits
