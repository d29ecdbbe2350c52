#ifndef BASILREACH_TRAFFIC_SESSION_TOKEN_HPP
#define BASILREACH_TRAFFIC_SESSION_TOKEN_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <basilreach/base/log_position.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/result.hpp>

namespace basilreach::traffic
{

// The position that a session has reached in each group. The client can present
// it at another entry host to continue the session there.
struct session_token
{
    group_positions positions;

    friend bool operator==(session_token const&,
                           session_token const&) = default;
};

enum class session_token_error : std::uint8_t
{
    unknown_version,
    bad_checksum,
    malformed
};

// Returns "1:GROUP@TERM/OFFSET,...:CHECKSUM". The checksum detects truncated
// and mistyped tokens; a forged one only harms the session that presents it.
[[nodiscard]] std::string print_session_token(session_token const& it);

[[nodiscard]] result<session_token, session_token_error>
parse_session_token(std::string_view text);

} // namespace basilreach::traffic

#endif
