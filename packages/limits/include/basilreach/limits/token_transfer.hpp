#ifndef BASILREACH_LIMITS_TOKEN_TRANSFER_HPP
#define BASILREACH_LIMITS_TOKEN_TRANSFER_HPP

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/limits/rate_limiter.hpp>
#include <basilreach/limits/token_allocator.hpp>

namespace basilreach::limits
{

// Returns the settings of the allocator that grants a daemon's tokens to its
// threads. Threads never lose contact to it and need no floor.
token_allocator_settings thread_level_settings();

// Burst of a workspace, in tokens, in that allocator. It is so high that only
// the tokens of the daemon limit the threads.
inline constexpr std::int64_t thread_level_burst = 1'000'000'000;

// Moves tokens of a workspace between a daemon's limiter and the allocator of
// its threads: delegates tokens that the threads lack and takes back those that
// they do not need. Call it before the ticks of both.
void transfer_tokens(rate_limiter& daemon_limiter,
                     token_allocator& thread_allocator,
                     workspace_name const& workspace,
                     instant now);

} // namespace basilreach::limits

#endif
