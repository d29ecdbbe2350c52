#ifndef BASILREACH_DAEMON_LINE_PROMOTION_CLIENT_HPP
#define BASILREACH_DAEMON_LINE_PROMOTION_CLIENT_HPP

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/daemon/deployment_adapter.hpp>
#include <basilreach/daemon/http_client.hpp>
#include <basilreach/daemon/line_server_connection.hpp>
#include <basilreach/daemon/promotion_client.hpp>
#include <basilreach/settings/daemon_settings.hpp>

namespace basilreach::daemon
{

// Queries positions in a line protocol, and requests promotions from the
// promotion service over HTTP.
class line_promotion_client : public promotion_client
{
public:
    line_promotion_client(event_loop& loop,
                          settings::daemon_settings const& settings,
                          deployment_adapter const& adapter,
                          input_handler on_input);

    void query_position(server_name const& server,
                        control::server_entry const& entry,
                        std::uint64_t round) override;

    void promote(control::promote const& promotion,
                 control::server_entry const& entry) override;

    void tick(instant now) override;

    [[nodiscard]] instant next_deadline() const override
    {
        return deadlines_.next();
    }

private:
    struct pending_request
    {
        std::unique_ptr<line_server_connection> position;
        std::unique_ptr<http_client> promotion;
    };

    pending_request& add_request();
    void finish_request(std::uint64_t id);
    void finish_unanswered(std::uint64_t id,
                           server_name const& server,
                           char const* cause);

    event_loop& loop_;
    settings::daemon_settings const& settings_;
    deployment_adapter const& adapter_;
    input_handler on_input_;
    std::map<std::uint64_t, pending_request> requests_;
    deadline_queue<std::uint64_t> deadlines_;
    std::vector<std::uint64_t> finished_;
    std::uint64_t last_id_ = 0;
};

} // namespace basilreach::daemon

#endif
