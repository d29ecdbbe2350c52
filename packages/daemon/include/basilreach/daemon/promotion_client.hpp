#ifndef BASILREACH_DAEMON_PROMOTION_CLIENT_HPP
#define BASILREACH_DAEMON_PROMOTION_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <string>

#include <basilreach/control/leader.hpp>

namespace basilreach::daemon
{

// Queries backend servers for their positions and orders promotions, for the
// leading control host. Answers are passed on as inputs of control::leader,
// which sends queries and orders again when no answer arrives.
class promotion_client
{
public:
    using input_handler = std::function<void(control::leader_input)>;

    virtual ~promotion_client() = default;

    virtual void query_position(server_name const& server,
                                control::server_entry const& entry,
                                std::uint64_t round) = 0;

    virtual void promote(control::promote const& promotion,
                         control::server_entry const& entry) = 0;

    // Drops requests that have timed out and destroys those that have finished.
    virtual void tick(instant now) = 0;

    [[nodiscard]] virtual instant next_deadline() const = 0;
};

} // namespace basilreach::daemon

#endif
