#ifndef BASILREACH_DAEMON_LIBPQ_PROMOTION_CLIENT_HPP
#define BASILREACH_DAEMON_LIBPQ_PROMOTION_CLIENT_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/control/leader.hpp>
#include <basilreach/daemon/event_loop.hpp>
#include <basilreach/daemon/libpq_connection.hpp>
#include <basilreach/daemon/promotion_client.hpp>

namespace basilreach::daemon
{

// A promotion client over libpq. Each request opens a connection of its own, as
// changes of primary are rare.
class libpq_promotion_client : public promotion_client
{
public:
    libpq_promotion_client(event_loop& loop,
                           settings::daemon_settings const& settings,
                           settings::backend_credential const& credential,
                           std::function<void(control::leader_input)> on_input);

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
    using reply = std::function<void(libpq_answer const&)>;

    void
    send_query(std::string const& address, statement query, reply on_answer);
    void finish_request(std::uint64_t id);

    event_loop& loop_;
    settings::daemon_settings const& settings_;
    settings::backend_credential const& credential_;
    std::function<void(control::leader_input)> on_input_;
    std::map<std::uint64_t, std::unique_ptr<libpq_connection>> requests_;
    deadline_queue<std::uint64_t> deadlines_;
    std::vector<std::uint64_t> finished_;
    std::uint64_t last_id_ = 0;
};

} // namespace basilreach::daemon

#endif
