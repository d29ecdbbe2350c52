#ifndef BASILREACH_BASE_NAME_HPP
#define BASILREACH_BASE_NAME_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace basilreach
{

// A string that names one kind of object. Names with different tags do not
// convert to each other, so that a group name cannot be passed as a server
// name.
template <class Tag>
class name
{
public:
    name() = default;

    explicit name(std::string value) : value_(std::move(value))
    {
    }

    explicit name(std::string_view value) : value_(value)
    {
    }

    explicit name(char const* value) : value_(value)
    {
    }

    [[nodiscard]] std::string const& str() const noexcept
    {
        return value_;
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return value_.empty();
    }

    friend auto operator<=>(name const&, name const&) = default;

    friend std::ostream& operator<<(std::ostream& os, name const& it)
    {
        return os << it.value_;
    }

private:
    std::string value_;
};

using server_name = name<struct server_tag>;
using group_name = name<struct group_tag>;
using workspace_name = name<struct workspace_tag>;
using route_name = name<struct route_tag>;
using daemon_name = name<struct daemon_tag>;
using data_centre_name = name<struct data_centre_tag>;
using session_name = name<struct session_tag>;

} // namespace basilreach

template <class Tag>
struct std::hash<basilreach::name<Tag>>
{
    std::size_t operator()(basilreach::name<Tag> const& it) const noexcept
    {
        return std::hash<std::string>{}(it.str());
    }
};

#endif
