#ifndef BASILREACH_DAEMON_LINE_CLIENT_HPP
#define BASILREACH_DAEMON_LINE_CLIENT_HPP

#include <variant>
#include <vector>

#include <basilreach/daemon/client_connection.hpp>
#include <basilreach/daemon/line_codec.hpp>
#include <basilreach/daemon/line_session.hpp>

namespace basilreach::daemon
{

// The answer to one statement in a line protocol.
struct line_answer : answer_payload
{
    std::vector<row_message> rows;
    std::variant<complete_message, error_message> outcome;
    ready_message ready;
};

// A client of a line protocol as server connections see it: connected to this
// daemon, or to another one that has forwarded its statement.
class line_client : public client_connection
{
public:
    // The statement in progress.
    [[nodiscard]] virtual client_command const& current() const = 0;

    // The session's variables, and at least the prepared statement that the
    // statement in progress executes.
    [[nodiscard]] virtual session_variables const& variables() const = 0;
};

} // namespace basilreach::daemon

#endif
