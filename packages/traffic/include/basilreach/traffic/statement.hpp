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
    empty
};

// Classifies a statement by its first keywords.
[[nodiscard]] statement_verb classify(std::string_view text);

} // namespace basilreach::traffic

#endif
