#ifndef BASILREACH_DAEMON_PROMOTION_CLIENT_HPP
#define BASILREACH_DAEMON_PROMOTION_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <string>

#include <basilreach/control/leader.hpp>

namespace basilreach::daemon
{

// How the leading control host asks backend servers for their positions and
// orders promotions. Answers arrive as inputs of the leader; a question that
// fails is not answered, and the leader asks again.
class promotion_client
{
public:
    using input_handler = std::function<void(control::leader_input)>;

    virtual ~promotion_client() = default;

    virtual void query_position(server_name const& server,
                                control::server_entry const& entry,
                                std::uint64_t round) = 0;

    virtual void promote(control::promote const& order,
                         control::server_entry const& entry) = 0;

    // Ends questions that are due and destroys those that have ended.
    virtual void tick(instant now) = 0;

    [[nodiscard]] virtual instant next_deadline() const = 0;
};

} // namespace basilreach::daemon

#endif
