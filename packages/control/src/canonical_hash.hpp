#ifndef BASILREACH_CONTROL_SRC_CANONICAL_HASH_HPP
#define BASILREACH_CONTROL_SRC_CANONICAL_HASH_HPP

#include <array>
#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <type_traits>

#include <xxhash.h>

#include <basilreach/base/name.hpp>

namespace basilreach::control::detail
{

// Hashes values in the order in which they are added. A string is preceded by
// its length, and an integer is hashed as eight bytes in little-endian order,
// so that the hash depends on the values alone and not on the machine.
class canonical_hash
{
public:
    canonical_hash()
    {
        XXH3_64bits_reset(state_.get());
    }

    template <class Integer>
    requires std::integral<Integer> || std::is_enum_v<Integer> canonical_hash&
    add(Integer value)
    {
        auto const number = static_cast<std::uint64_t>(value);
        std::array<unsigned char, 8> bytes{};
        for (std::size_t n = 0; n != bytes.size(); ++n)
            bytes[n] = static_cast<unsigned char>(number >> (8 * n));
        XXH3_64bits_update(state_.get(), bytes.data(), bytes.size());
        return *this;
    }

    canonical_hash& add(std::string const& value)
    {
        add(value.size());
        XXH3_64bits_update(state_.get(), value.data(), value.size());
        return *this;
    }

    template <class Tag>
    canonical_hash& add(name<Tag> const& value)
    {
        return add(value.str());
    }

    canonical_hash& add(std::array<std::uint8_t, 32> const& value)
    {
        XXH3_64bits_update(state_.get(), value.data(), value.size());
        return *this;
    }

    [[nodiscard]] std::uint64_t value() const
    {
        return XXH3_64bits_digest(state_.get());
    }

private:
    struct release
    {
        void operator()(XXH3_state_t* it) const
        {
            XXH3_freeState(it);
        }
    };

    std::unique_ptr<XXH3_state_t, release> state_{XXH3_createState()};
};

} // namespace basilreach::control::detail

#endif
