#ifndef BASILREACH_DAEMON_LINE_SESSION_HPP
#define BASILREACH_DAEMON_LINE_SESSION_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <basilreach/daemon/line_codec.hpp>

namespace basilreach::daemon
{

// The variables that a session has set, and its prepared statements by name.
struct session_variables
{
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_shape> statements;

    friend bool operator==(session_variables const&,
                           session_variables const&) = default;
};

// The variables and prepared statements that earlier statements, perhaps of
// other sessions, have left on a server connection.
struct connection_variables
{
    std::map<std::string, std::string> values;
    std::set<prepared_shape> shapes;

    friend bool operator==(connection_variables const&,
                           connection_variables const&) = default;
};

// What has to be sent before a statement, so that the server connection has
// exactly the session's variables, and the prepared statement that it runs.
struct variable_changes
{
    bool reset = false;
    std::vector<std::pair<std::string, std::string>> set;
    std::optional<prepared_shape> prepare;

    friend bool operator==(variable_changes const&,
                           variable_changes const&) = default;
};

// Compares a connection with what a session needs. The protocol cannot unset a
// single variable: one that the session has not set is removed by a reset,
// which also drops all others and the prepared statements.
[[nodiscard]] variable_changes
find_changes(connection_variables const& connection,
             std::map<std::string, std::string> const& values,
             std::optional<prepared_shape> const& shape);

// Returns the connection's variables and prepared statements after the changes.
[[nodiscard]] connection_variables apply(connection_variables connection,
                                         variable_changes const& changes);

} // namespace basilreach::daemon

#endif
