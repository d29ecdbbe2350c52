#ifndef BASILREACH_DAEMON_FORWARDED_CONNECTION_HPP
#define BASILREACH_DAEMON_FORWARDED_CONNECTION_HPP

#include <cstdint>
#include <string>

#include <basilreach/daemon/forward_links.hpp>
#include <basilreach/daemon/server_connection.hpp>

namespace basilreach::daemon
{

// One statement or transaction at a holder, as a connection to a server.
class forwarded_connection : public server_connection
{
public:
    forwarded_connection(forward_links& links, server_observer observer);

    // Only stores the target: the statement follows at once.
    void open(traffic::open_connection const& target) override;
    void send(client_connection const& client,
              send_options const& options) override;
    // Never called: holders have no positions of their own.
    void query_position(bool verify_primary) override;
    void close() override;

private:
    friend class forward_links;

    void answer(messages::forward_answer const& it);
    void refuse(messages::forward_refusal const& it);
    void lose_transaction();
    // The link has ended.
    void end(bool is_undelivered);
    void report_undelivered();

    forward_links& links_;
    server_observer observer_;
    daemon_name holder_;
    std::string address_;
    forward_links::outgoing_link* link_ = nullptr;
    std::uint64_t session_ = 0;
    // The statement in progress, or 0.
    std::uint64_t request_ = 0;
    bool has_transaction_ = false;
    // The position of the end of the statement in the link's output.
    std::uint64_t end_offset_ = 0;
};

} // namespace basilreach::daemon

#endif
