#ifndef BASILREACH_DAEMON_CONTROL_API_SERVER_HPP
#define BASILREACH_DAEMON_CONTROL_API_SERVER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/daemon/control_api_codec.hpp>
#include <basilreach/daemon/http_server.hpp>

namespace basilreach::daemon
{

// The HTTP servers of the control API and of the load balancer's readiness
// check. Calls run and are answered in tick(), never in a reactor's handler: an
// answer can arrive while the control host is processing a consensus step.
class control_api_server
{
public:
    // Runs a call. Its answer is passed to answer().
    using runner = std::function<void(std::uint64_t, control_call const&)>;

    control_api_server(event_loop& loop,
                       control_api_codec const& calls,
                       runner run,
                       std::function<bool()> is_ready);

    // Listens for calls and for readiness checks, each unless its address is
    // empty. Returns whether that succeeded.
    [[nodiscard]] bool listen(std::string const& calls,
                              std::string const& readiness);

    // Stores the answer to a call for the next tick.
    void answer(std::uint64_t id, call_answer it);

    void tick(instant now);

    [[nodiscard]] instant next_deadline() const;

private:
    struct pending_call
    {
        exchange_id exchange = 0;
        http_request request;
        control_call call;
    };

    void receive(exchange_id exchange, http_request it);
    void check_readiness(exchange_id exchange, http_request const& it);
    void respond(std::uint64_t id, call_answer const& it);

    control_api_codec const& calls_;
    runner run_;
    std::function<bool()> is_ready_;
    http_server call_server_;
    http_server readiness_server_;
    std::vector<std::pair<exchange_id, http_request>> received_requests_;
    std::map<std::uint64_t, pending_call> pending_calls_;
    std::vector<std::pair<std::uint64_t, call_answer>> answers_;
    deadline_queue<std::uint64_t> deadlines_;
    std::uint64_t last_id_ = 0;
};

} // namespace basilreach::daemon

#endif
