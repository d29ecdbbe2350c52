#ifndef BASILREACH_LIMITS_CONNECTION_LIMITER_HPP
#define BASILREACH_LIMITS_CONNECTION_LIMITER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/limits/share_messages.hpp>

namespace basilreach::limits
{

struct connection_limiter_settings
{
    // Minimum time between two requests for a server.
    duration request_interval = std::chrono::milliseconds(1);
    // Time after which an unanswered request is sent again for the first time.
    // It doubles with each further request up to the maximum: on a link that is
    // full, each request would delay the answer to the others.
    duration retry_interval = std::chrono::milliseconds(20);
    duration max_retry_interval = std::chrono::seconds(1);
    // Time between two requests for a server without urgent changes.
    duration idle_interval = std::chrono::milliseconds(1000);
    // A request that is due within this time goes with others that are sent
    // now. A daemon has shares of many servers, and a message for each of them
    // would cost the leader more than its content.
    duration batch_window = std::chrono::milliseconds(150);
    // Time after which a holder without a share states that it wants none any
    // more. The allocator would take a connection from another holder for it.
    duration withdrawal_interval = std::chrono::milliseconds(50);
    // Whether shares without a change are renewed by one message for all of
    // them. The holder then has to call tick_renewal().
    bool renews_together = false;

    friend auto operator<=>(connection_limiter_settings const&,
                            connection_limiter_settings const&) = default;
};

// A daemon's part in enforcing the connection limit of each server, together
// with the share_allocator: states how many connections to a server the daemon
// may have now, and reports how many it has and wants.
class connection_limiter
{
public:
    connection_limiter(connection_limiter_settings settings,
                       daemon_name holder,
                       std::uint64_t incarnation);

    // Adds or removes a server. Its first request is sent at the given time, or
    // as soon as a statement waits.
    void add_server(server_name const& server,
                    instant now,
                    instant first_report_at = {});
    void remove_server(server_name const& server);

    // Records the number of connections that are open, opening or not confirmed
    // as closed, and the number that could be used now.
    void report_use(server_name const& server,
                    std::uint32_t open,
                    std::uint32_t wanted,
                    instant now);

    // Applies a grant; a stale one is ignored.
    void receive(share_grant const& grant, instant now);
    void receive(share_renewal_grant const& grant, instant now);

    // States that requests now go to another allocator, or over another
    // connection. Unanswered ones are sent again soon.
    void change_allocator(instant now);

    // Returns the number of connections that the holder may have now. If more
    // are open, the caller closes the surplus: at once if the share has
    // expired, otherwise as connections become idle.
    [[nodiscard]] std::uint32_t share(server_name const& server,
                                      instant now) const;

    // Returns when all of the share but the base expires.
    [[nodiscard]] instant expiry(server_name const& server) const;

    // Processes what is due and returns the requests to send. If there are any,
    // or if a message is sent anyway, requests that will soon be due go with
    // them.
    std::vector<share_request> tick(instant now, bool is_sent_anyway = false);

    // Returns the renewal to send, if one is due. To be called after tick, and
    // to be sent with its requests.
    [[nodiscard]] std::optional<share_renewal> tick_renewal(instant now);

    // Returns when tick has something to do next.
    [[nodiscard]] instant next_deadline() const;

    // Requests since the start that were sent before the last one for the same
    // server had been answered.
    [[nodiscard]] std::uint32_t repeats() const noexcept
    {
        return repeats_;
    }

private:
    struct row
    {
        server_name server;
        instant started;
        std::uint32_t share = 0;
        std::uint32_t base = 0;
        std::uint32_t open = 0;
        std::uint32_t wanted = 0;
        // What the last request stated.
        std::uint32_t reported_open = 0;
        std::uint32_t reported_wanted = 0;
        instant expiry;
        // Lifetime of the last grant.
        duration lifetime{};
        grant_id last_grant;
        std::uint64_t sequence = 0;
        instant first_report_at;
        instant sent;
        // Time after which the request is sent again.
        duration retry{};
        // Whether a grant has answered the last request.
        bool answered = true;
        // Whether the next request is due after request_interval already.
        bool request_urgent = true;
    };

    void schedule(row_id id, row const& it);
    share_request make_request(row& it, instant now);
    void add_report(std::vector<share_request>& requests, row& it, instant now);
    void add_requests_due_soon(std::vector<share_request>& requests,
                               instant now);
    [[nodiscard]] static bool has_nothing_to_report(row const& it);
    [[nodiscard]] bool is_renewable(row const& it, instant now) const;
    [[nodiscard]] instant send_time(row const& it) const;

    connection_limiter_settings settings_;
    daemon_name holder_;
    std::uint64_t incarnation_;
    table<row> rows_;
    std::map<server_name, row_id> by_name_;
    deadline_queue<row_id> due_;
    std::uint32_t repeats_ = 0;
    // The term of the last grant of the present allocator, or 0.
    std::uint64_t renewal_term_ = 0;
    bool is_renewal_due_ = false;
};

} // namespace basilreach::limits

#endif
