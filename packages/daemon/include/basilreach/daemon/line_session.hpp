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

// What a session has set and prepared.
struct session_variables
{
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_shape> statements;

    friend bool operator==(session_variables const&,
                           session_variables const&) = default;
};

// What a server connection holds of earlier statements.
struct connection_variables
{
    std::map<std::string, std::string> values;
    std::set<prepared_shape> shapes;

    friend bool operator==(connection_variables const&,
                           connection_variables const&) = default;
};

// What has to be sent before a statement, so that the server connection holds
// exactly the session's values and the statement's shape.
struct variable_changes
{
    bool reset = false;
    std::vector<std::pair<std::string, std::string>> set;
    std::optional<prepared_shape> prepare;

    friend bool operator==(variable_changes const&,
                           variable_changes const&) = default;
};

// Compares a connection with what a session needs. A value of another session
// can only be dropped together with everything else.
[[nodiscard]] variable_changes
find_changes(connection_variables const& held,
             std::map<std::string, std::string> const& values,
             std::optional<prepared_shape> const& needed);

// Returns what the connection holds once the changes have been made.
[[nodiscard]] connection_variables apply(connection_variables held,
                                         variable_changes const& changes);

} // namespace basilreach::daemon

#endif
