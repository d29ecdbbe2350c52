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

// SHA-256 of a client's key. The key itself is never stored.
using key_digest = std::array<std::uint8_t, 32>;

// Whether a statement on a route is a read or a write when neither the
// statement, its transaction nor its session declares it.
enum class route_class : std::uint8_t
{
    write,
    read
};

// Which writes a read on a route must see, in server-checked groups. There,
// reads on a route without max_age run at the primary.
enum class read_guarantee : std::uint8_t
{
    // The session's own writes, and every write acknowledged more than max_age
    // before the read.
    session,
    // Every write acknowledged more than max_age before the read.
    bounded_age,
    // Every acknowledged write; such reads run at the primary.
    latest
};

// Which component checks that a server may run a statement.
enum class position_check : std::uint8_t
{
    // The proxy, by control leases and by the positions that it has observed.
    proxy,
    // The server: it rejects a read while it has not reached the position that
    // the read requires, and any work as a primary after its term has ended.
    server
};

// A class of statements in an overload; 0 is the highest.
using priority = std::uint8_t;

inline constexpr priority lowest_priority = 9;

// The class of a statement for which neither the route nor the workspace states
// one, in rules that state some. A rule can put others before and behind it.
inline constexpr priority default_priority = 1;

struct workspace_rule
{
    // Statements per second.
    std::uint64_t rate = 0;
    // Statements.
    std::uint64_t burst = 0;
    std::optional<rules::priority> priority{};

    friend bool operator==(workspace_rule const&,
                           workspace_rule const&) = default;
};

struct route_rule
{
    group_name group;
    route_class kind = route_class::write;
    // Workspaces that may use the route; empty if all may.
    std::set<workspace_name> workspaces;
    // Set if clients may use the route without a key: the workspace whose rate
    // limit applies to their statements.
    std::optional<workspace_name> open;
    // Maximum age of the data that reads on this route accept.
    std::optional<duration> max_age;
    read_guarantee reads = read_guarantee::session;
    // Longest time from a statement's arrival to its answer; the daemon's
    // request_timeout if absent.
    std::optional<duration> timeout{};
    std::optional<rules::priority> priority{};
    // Time from a statement's arrival to its answer that its clients expect.
    // A later answer is still of use until the timeout.
    std::optional<duration> target{};

    friend bool operator==(route_rule const&, route_rule const&) = default;
};

struct server_limit_rule
{
    // Connections that each server of the group accepts.
    std::uint32_t connections = 25;
    // Statements that each server of the group runs at the same time.
    std::uint32_t slots = 3;
    position_check checked_by = position_check::proxy;
    // Replicas that must have received a commit before the primary acknowledges
    // it, in a server-checked group. With 0, a promotion may lose acknowledged
    // commits.
    std::uint32_t sync_replicas = 0;

    friend bool operator==(server_limit_rule const&,
                           server_limit_rule const&) = default;
};

// The content of a rules file.
struct rule_set
{
    std::map<workspace_name, workspace_rule> workspaces;
    std::map<key_digest, workspace_name> keys;
    std::map<route_name, route_rule> routes;
    std::map<group_name, server_limit_rule> server_limits;
    // Who asked for each rule and why ("NAME: why"), by rule kind and name
    // ("workspace sales"). The canonical text includes it, because a rule
    // without a requester is an error.
    std::map<std::string, std::string> requesters;

    friend bool operator==(rule_set const&, rule_set const&) = default;
};

} // namespace basilreach::rules

#endif
