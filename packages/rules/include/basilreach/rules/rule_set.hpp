#ifndef BASILREACH_RULES_RULE_SET_HPP
#define BASILREACH_RULES_RULE_SET_HPP

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>

namespace basilreach::rules
{

// SHA-256 of a caller's key. The key itself is never stored.
using key_digest = std::array<std::uint8_t, 32>;

// Whether statements of a route are reads or writes where neither the session
// nor the transaction declares it.
enum class route_class : std::uint8_t
{
    write,
    read
};

// Which data a read of a route must see, in groups whose servers check
// positions themselves.
enum class read_guarantee : std::uint8_t
{
    // The session's own writes, and everything older than the greatest age.
    session,
    // Everything older than the greatest age.
    bounded_age,
    // Every acknowledged write; such reads run at the primary.
    latest
};

// Who makes sure that a statement meets a server that is fit for it.
enum class position_check : std::uint8_t
{
    // The proxy, by leases and by the positions that it has observed.
    proxy,
    // The server: it refuses a read behind a stated position, and any work of
    // a primary after it has lost its term.
    server
};

struct workspace_rule
{
    // Statements a second.
    std::uint64_t rate = 0;
    // Statements.
    std::uint64_t burst = 0;

    friend bool operator==(workspace_rule const&,
                           workspace_rule const&) = default;
};

struct route_rule
{
    group_name group;
    route_class kind = route_class::write;
    // Workspaces that may use the route; empty for all.
    std::set<workspace_name> workspaces;
    // The workspace that pays on a route open to all.
    std::optional<workspace_name> open;
    // Greatest age of the data that reads of this route accept.
    std::optional<duration> max_age;
    read_guarantee reads = read_guarantee::session;
    // Time from a statement's arrival to its answer; the daemon's setting
    // holds where it is absent.
    std::optional<duration> timeout{};

    friend bool operator==(route_rule const&, route_rule const&) = default;
};

struct server_limit_rule
{
    // Connections that each server of the group accepts.
    std::uint32_t connections = 25;
    // Statements that each server of the group runs at the same time.
    std::uint32_t slots = 3;
    position_check checked_by = position_check::proxy;

    friend bool operator==(server_limit_rule const&,
                           server_limit_rule const&) = default;
};

// Everything that a rules file says.
struct rule_set
{
    std::map<workspace_name, workspace_rule> workspaces;
    std::map<key_digest, workspace_name> keys;
    std::map<route_name, route_rule> routes;
    std::map<group_name, server_limit_rule> server_limits;
    // Who asked for each rule and why ("NAME: why"), by rule kind and name
    // ("workspace sales"). Canonical text needs it to be a valid rules file.
    std::map<std::string, std::string> requesters;

    friend bool operator==(rule_set const&, rule_set const&) = default;
};

} // namespace basilreach::rules

#endif
