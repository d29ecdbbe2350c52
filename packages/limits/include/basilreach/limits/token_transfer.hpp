#ifndef BASILREACH_LIMITS_TOKEN_TRANSFER_HPP
#define BASILREACH_LIMITS_TOKEN_TRANSFER_HPP

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/limits/rate_limiter.hpp>
#include <basilreach/limits/token_allocator.hpp>

namespace basilreach::limits
{

// Returns the settings of a second-level ledger: its holders are threads of the
// same process, which need no floor.
token_allocator_settings thread_level_settings();

// Burst of a workspace at the second level, in tokens: no limit of its own.
inline constexpr std::int64_t thread_level_burst = 1'000'000'000;

// Passes tokens of a workspace between a daemon's holder and its second-level
// ledger: lends what the ledger's holders lack and takes back what they do not.
// Run it before the ticks of both.
void transfer_tokens(rate_limiter& upper,
                     token_allocator& lower,
                     workspace_name const& workspace,
                     instant now);

} // namespace basilreach::limits

#endif
