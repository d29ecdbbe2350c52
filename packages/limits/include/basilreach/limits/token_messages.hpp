#ifndef BASILREACH_LIMITS_TOKEN_MESSAGES_HPP
#define BASILREACH_LIMITS_TOKEN_MESSAGES_HPP

#include <compare>
#include <cstdint>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/limits/grant_id.hpp>

namespace basilreach::limits
{

// The token bucket that a holder uses without contact to the allocator.
struct rate_floor
{
    // Microtokens a second.
    std::int64_t rate = 0;
    // Microtokens.
    std::int64_t burst = 0;

    friend auto operator<=>(rate_floor const&, rate_floor const&) = default;
};

// From a holder to the allocator: the holder's complete state for one
// workspace. If a request is lost, the next one replaces it; a late request is
// ignored.
struct token_request
{
    workspace_name workspace;
    daemon_name holder;
    // Another after each restart of the holder. To the allocator, the later of
    // two processes has the greater one.
    std::uint64_t incarnation = 0;
    // Greater in each request of an incarnation.
    std::uint64_t sequence = 0;
    // When it was sent, by the holder's clock.
    instant sent;
    // The last grant that the holder accepted, and when the allocator sent it,
    // by the allocator's clock. A recent grant suspends the holder's floor.
    grant_id last_grant;
    instant last_grant_sent;
    // Unconsumed tokens, rounded up.
    std::int64_t left = 0;
    // Tokens returned since the holder started.
    std::int64_t returned = 0;
    // Tokens that statements wait for now.
    std::int64_t waiting = 0;
    // Further tokens wanted for expected statements.
    std::int64_t reserve = 0;
    // The floor that the holder has.
    rate_floor floor;

    friend auto operator<=>(token_request const&,
                            token_request const&) = default;
};

// From the allocator to a holder. A grant of no tokens renews the expiry of
// those that the holder has.
struct token_grant
{
    workspace_name workspace;
    daemon_name holder;
    std::uint64_t incarnation = 0;
    grant_id id;
    // When it was sent, by the allocator's clock.
    instant sent;
    // `sent` of the request that it answers. All tokens of the holder expire at
    // echo + lifetime by the holder's clock.
    instant echo;
    duration lifetime{};
    std::int64_t tokens = 0;
    // The holder's floor, and how long it is suspended after this grant
    // arrives.
    rate_floor floor;
    duration floor_suspension{};
    // Whether the rate is used up, and the time until the refill is expected
    // to have a token for one more statement.
    bool is_used_up = false;
    duration next_token{};

    friend auto operator<=>(token_grant const&, token_grant const&) = default;
};

} // namespace basilreach::limits

#endif
