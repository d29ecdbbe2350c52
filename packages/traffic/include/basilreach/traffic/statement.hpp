#ifndef BASILREACH_TRAFFIC_STATEMENT_HPP
#define BASILREACH_TRAFFIC_STATEMENT_HPP

#include <cstdint>
#include <string_view>

namespace basilreach::traffic
{

// What the first keywords of a statement say. This is no parser: everything
// that is not recognised is `other`, which is a write unless the route or the
// transaction declares reads.
enum class statement_verb : std::uint8_t
{
    other,
    begin_read_write,
    begin_read_only,
    commit,
    rollback,
    // Changes the state of a database session, which connections shared by
    // many callers cannot keep.
    session_state,
    // SET or SHOW of a basilreach.* variable, answered by the proxy.
    proxy_variable,
    empty,
    // What the protocol itself says of a statement; no text is classified so.
    read,
    write
};

// How a transaction is opened for its first statement.
enum class transaction_opening : std::uint8_t
{
    none,
    read_write,
    read_only
};

// Classifies a statement by its first keywords.
[[nodiscard]] statement_verb classify(std::string_view text);

} // namespace basilreach::traffic

#endif
