#ifndef BASILREACH_DAEMON_LINK_TABLE_HPP
#define BASILREACH_DAEMON_LINK_TABLE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/consensus/log_entry.hpp>
#include <basilreach/daemon/message_link.hpp>
#include <basilreach/daemon/traffic_thread.hpp>

namespace basilreach::daemon
{

// Identifies a link of the table; 0 stands for this daemon itself.
using link_id = std::uint64_t;

inline constexpr link_id local_link = 0;

// A control host's name in the agreement is "NAME=IP:PORT", so that a host that
// joins is reachable for every host that knows the membership.
[[nodiscard]] consensus::host_name
make_host_name(settings::control_host_settings const& it);
[[nodiscard]] std::string address_of(consensus::host_name const& it);

// The links of a daemon to control hosts and those that others opened.
class link_table
{
public:
    using receiver = std::function<void(link_id, messages::message)>;

    link_table(event_loop& loop, receiver received);

    // Accepts links at IP:PORT; returns whether that succeeded.
    [[nodiscard]] bool listen(std::string const& address);

    // Sends over the link to a control host, which opens when needed. A message
    // to a host that cannot be reached is dropped.
    void send(consensus::host_name const& to, messages::message const& it);

    // Sends over a link that received something.
    void send(link_id to, messages::message const& it);

    [[nodiscard]] bool is_open(link_id id) const;

    // Gives up the link to a control host that does not answer; the next
    // message opens another one.
    void disconnect(consensus::host_name const& to);

    // Destroys the links that have ended. Not called by a handler of a link.
    void remove_closed();

private:
    struct outgoing_row
    {
        link_id link = 0;
        instant next_attempt;
    };

    std::unique_ptr<message_link> make_link(link_id id);
    void accept(ACE_SOCK_Stream const& stream);

    event_loop& loop_;
    receiver received_;
    client_listener listener_;
    std::map<link_id, std::unique_ptr<message_link>> links_;
    std::map<consensus::host_name, outgoing_row> outgoing_;
    std::vector<link_id> closed_;
    link_id last_id_ = 0;
};

} // namespace basilreach::daemon

#endif
