#ifndef BASILREACH_LIMITS_SHARE_MESSAGES_HPP
#define BASILREACH_LIMITS_SHARE_MESSAGES_HPP

#include <compare>
#include <cstdint>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/limits/grant_id.hpp>

namespace basilreach::limits
{

// From a holder to the allocator: the holder's complete state for one server.
struct share_request
{
    server_name server;
    daemon_name holder;
    // Another after each restart of the holder. To the allocator, the later of
    // two processes has the greater one.
    std::uint64_t incarnation = 0;
    // Greater in each request of an incarnation.
    std::uint64_t sequence = 0;
    // When it was sent, by the holder's clock.
    instant sent;
    // When this incarnation began to use the server, by the holder's clock.
    instant started;
    // The last grant that the holder accepted.
    grant_id last_grant;
    // The holder's present share: what it was granted, or the base once that
    // has expired.
    std::uint32_t share = 0;
    // Connections that are open, opening or not confirmed as closed.
    std::uint32_t open = 0;
    // Connections that the holder could use now.
    std::uint32_t wanted = 0;

    friend auto operator<=>(share_request const&,
                            share_request const&) = default;
};

// From the allocator to a holder: its share, the number of connections that it
// may have until echo + lifetime by its clock. It replaces the earlier share; a
// holder with more connections opens none and closes them as they become idle.
// A grant without lifetime neither raises the share nor renews it.
struct share_grant
{
    server_name server;
    daemon_name holder;
    std::uint64_t incarnation = 0;
    grant_id id;
    // `sent` of the request that it answers.
    instant echo;
    duration lifetime{};
    std::uint32_t share = 0;
    // Connections that the holder may keep after the lifetime has passed.
    std::uint32_t base = 0;

    friend auto operator<=>(share_grant const&, share_grant const&) = default;
};

// From a holder to the allocator: the shares that were granted in this term,
// and that no request of the same time mentions, are unchanged. It stands for a
// request for each of them.
struct share_renewal
{
    daemon_name holder;
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    // When it was sent, by the holder's clock.
    instant sent;

    friend auto operator<=>(share_renewal const&,
                            share_renewal const&) = default;
};

// The answer to a share_renewal. The shares of the term that have not expired
// when it arrives expire at echo + lifetime by the holder's clock, or later.
struct share_renewal_grant
{
    daemon_name holder;
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    // `sent` of the renewal.
    instant echo;
    duration lifetime{};

    friend auto operator<=>(share_renewal_grant const&,
                            share_renewal_grant const&) = default;
};

} // namespace basilreach::limits

#endif
