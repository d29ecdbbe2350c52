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

void transfer_tokens(rate_limiter& daemon_limiter,
                     token_allocator& thread_allocator,
                     workspace_name const& workspace,
                     instant now)
{
    auto const waiting = thread_allocator.waiting(workspace);
    auto const wanted = waiting + thread_allocator.reserve(workspace);
    // All unallocated tokens go back first, so that the daemon's limiter
    // includes them in what it reports and in the surplus that it returns.
    auto const taken =
        thread_allocator.take_unallocated(workspace, thread_level_burst, now);
    daemon_limiter.reconcile(workspace, taken,
                             thread_allocator.total(workspace), now);
    auto const delegated = daemon_limiter.delegate(workspace, wanted, now);
    thread_allocator.add_tokens(workspace, delegated,
                                daemon_limiter.expiry(workspace), now);
    thread_allocator.set_next_token(workspace,
                                    daemon_limiter.next_token(workspace, now));
    daemon_limiter.set_waiting(
        workspace, std::max<std::int64_t>(waiting - delegated, 0), now);
}

} // namespace basilreach::limits
