#ifndef BASILREACH_DISPATCH_DISPATCH_MODE_HPP
#define BASILREACH_DISPATCH_DISPATCH_MODE_HPP

#include <cstddef>
#include <cstdint>

namespace basilreach::dispatch
{

// Whether statements run at the daemon that received them or at a holder.
enum class dispatch_mode : std::uint8_t
{
    local,
    holders,
    // Each group decides by the connections that its servers accept.
    automatic
};

// Returns whether statements for a group run at holders. In mode automatic they
// do if each of its servers accepts fewer connections than there are members,
// so that not every member can keep one.
[[nodiscard]] constexpr bool has_holders(dispatch_mode mode,
                                         std::size_t members,
                                         std::uint32_t connections) noexcept
{
    if (mode == dispatch_mode::automatic)
        return connections < members;
    return mode == dispatch_mode::holders && members > 0;
}

} // namespace basilreach::dispatch

#endif
