#ifndef BASILREACH_DISPATCH_SRC_RANKING_HPP
#define BASILREACH_DISPATCH_SRC_RANKING_HPP

#include <cstddef>
#include <vector>

#include <basilreach/base/name.hpp>
#include <basilreach/dispatch/placement.hpp>

namespace basilreach::dispatch::detail
{

// Returns the first `n` candidates, or all if there are fewer, in the order in
// which they hold the key.
[[nodiscard]] std::vector<daemon_name>
first_ranks(std::vector<daemon_name> const& candidates,
            placement_key const& key,
            std::size_t n);

} // namespace basilreach::dispatch::detail

#endif
