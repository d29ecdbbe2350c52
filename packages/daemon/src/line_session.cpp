#include <basilreach/daemon/line_session.hpp>

#include <algorithm>

namespace basilreach::daemon
{

variable_changes find_changes(connection_variables const& connection,
                              std::map<std::string, std::string> const& values,
                              std::optional<prepared_shape> const& shape)
{
    variable_changes out;
    out.reset = std::any_of(connection.values.begin(), connection.values.end(),
                            [&values](auto const& it)
                            { return !values.contains(it.first); });
    for (auto const& [name, value] : values)
    {
        auto const known = connection.values.find(name);
        if (out.reset || known == connection.values.end() ||
            known->second != value)
            out.set.emplace_back(name, value);
    }
    if (shape && (out.reset || !connection.shapes.contains(*shape)))
        out.prepare = shape;
    return out;
}

connection_variables apply(connection_variables connection,
                           variable_changes const& changes)
{
    if (changes.reset)
        connection = {};
    for (auto const& [name, value] : changes.set)
        connection.values.insert_or_assign(name, value);
    if (changes.prepare)
        connection.shapes.insert(*changes.prepare);
    return connection;
}

} // namespace basilreach::daemon
