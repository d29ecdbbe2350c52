#ifndef BASILREACH_PGWIRE_PARAMETER_LIST_HPP
#define BASILREACH_PGWIRE_PARAMETER_LIST_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilreach::pgwire
{

// The parameter values of a Bind message. All values share one buffer, because
// 65,535 separate strings would occupy ten times the size of the message.
class parameter_list
{
public:
    // Reserves memory for a number of values with a total size in bytes.
    void reserve(std::size_t count, std::size_t bytes);

    // Adds a value, or null if it is absent.
    void push_back(std::optional<std::string_view> value);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return offsets_.size();
    }

    // Returns a value, or nothing for null. A zero byte follows its last byte,
    // so data() can be passed to libpq as a text parameter.
    [[nodiscard]] std::optional<std::string_view>
    operator[](std::size_t index) const;

    // Returns the bytes of memory that the values take.
    [[nodiscard]] std::size_t size_bytes() const noexcept
    {
        return bytes_.capacity() + offsets_.capacity() * sizeof(std::uint32_t);
    }

    friend bool operator==(parameter_list const&,
                           parameter_list const&) = default;

private:
    static constexpr std::uint32_t null_bit = 0x80000000U;

    std::string bytes_;
    // The offset of each value in bytes_. For a null value, null_bit is set.
    std::vector<std::uint32_t> offsets_;
};

} // namespace basilreach::pgwire

#endif
