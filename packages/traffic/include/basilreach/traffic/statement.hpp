#ifndef BASILREACH_TRAFFIC_STATEMENT_HPP
#define BASILREACH_TRAFFIC_STATEMENT_HPP

#include <cstdint>
#include <string_view>

namespace basilreach::traffic
{

// Class of a statement by its first keywords. Statements are not parsed: all
// that are not recognised are `other`, which is a write unless the session, the
// route or the transaction is declared read-only.
enum class statement_verb : std::uint8_t
{
    other,
    begin_read_write,
    begin_read_only,
    commit,
    rollback,
    // Changes the state of a database session, which connections shared by many
    // clients cannot preserve.
    session_state,
    // SET or SHOW of a basilreach.* variable, answered by the proxy.
    proxy_variable,
    empty,
    // Set by a protocol that marks its statements; never found in a text.
    read,
    write
};

// Whether and how a transaction is opened for a statement.
enum class transaction_opening : std::uint8_t
{
    none,
    read_write,
    read_only,
    // An earlier statement has opened the transaction at a server.
    opened
};

// Classifies a statement by its first keywords.
[[nodiscard]] statement_verb classify(std::string_view text);

} // namespace basilreach::traffic

#endif
