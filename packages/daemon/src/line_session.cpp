#include <basilreach/daemon/line_session.hpp>

#include <algorithm>

namespace basilreach::daemon
{

variable_changes find_changes(connection_variables const& held,
                              std::map<std::string, std::string> const& values,
                              std::optional<prepared_shape> const& needed)
{
    variable_changes out;
    out.reset = std::any_of(held.values.begin(), held.values.end(),
                            [&values](auto const& it)
                            { return !values.contains(it.first); });
    for (auto const& [name, value] : values)
    {
        auto const known = held.values.find(name);
        if (out.reset || known == held.values.end() || known->second != value)
            out.set.emplace_back(name, value);
    }
    if (needed && (out.reset || !held.shapes.contains(*needed)))
        out.prepare = needed;
    return out;
}

connection_variables apply(connection_variables held,
                           variable_changes const& changes)
{
    if (changes.reset)
        held = {};
    for (auto const& [name, value] : changes.set)
        held.values.insert_or_assign(name, value);
    if (changes.prepare)
        held.shapes.insert(*changes.prepare);
    return held;
}

} // namespace basilreach::daemon
