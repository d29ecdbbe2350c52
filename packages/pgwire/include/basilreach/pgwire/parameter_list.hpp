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
    // Prepares for a number of values with a total size in bytes.
    void reserve(std::size_t count, std::size_t bytes);

    // Adds a value, or null.
    void push_back(std::optional<std::string_view> value);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return starts_.size();
    }

    // Returns a value, absent for null. A zero byte follows its last byte, so
    // data() can be given to libpq as a text parameter.
    [[nodiscard]] std::optional<std::string_view>
    operator[](std::size_t index) const;

    friend bool operator==(parameter_list const&,
                           parameter_list const&) = default;

private:
    static constexpr std::uint32_t null_bit = 0x80000000U;

    std::string bytes_;
    // Offset of each value; null values carry null_bit.
    std::vector<std::uint32_t> starts_;
};

} // namespace basilreach::pgwire

#endif
