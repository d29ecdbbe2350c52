#ifndef BASILREACH_DAEMON_LINK_TABLE_HPP
#define BASILREACH_DAEMON_LINK_TABLE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/consensus/log_entry.hpp>
#include <basilreach/daemon/message_link.hpp>
#include <basilreach/daemon/traffic_thread.hpp>

namespace basilreach::daemon
{

// Identifies a link of the table.
using link_id = std::uint64_t;

// The id that messages of this daemon to itself carry.
inline constexpr link_id local_link = 0;

// Returns a control host's name in the consensus group, "NAME=IP:PORT". It has
// the address so that every host that knows the membership can reach a host
// that joins.
[[nodiscard]] consensus::host_name
make_host_name(settings::control_host_settings const& it);
[[nodiscard]] std::string address_of(consensus::host_name const& it);

// The links that a daemon opened to control hosts and those that it accepted.
class link_table
{
public:
    using receiver = std::function<void(link_id, messages::message)>;
    using end_observer = std::function<void(link_id)>;

    // `ended` is called by remove_closed() for each link that has ended.
    link_table(
        event_loop& loop,
        receiver received,
        end_observer ended = [](link_id) {});

    // Listens on IP:PORT. Returns whether that succeeded.
    [[nodiscard]] bool listen(std::string const& address);

    // Sends over the link to a control host, and opens the link if there is
    // none. A message to a host that cannot be reached is dropped. Messages are
    // queued until the next flush().
    void send(consensus::host_name const& to, messages::message const& it);

    // Sends over the link of a received message. Does nothing if it has ended.
    void send(link_id to, messages::message const& it);

    // Sends one message over several links and encodes it once.
    void send(std::vector<link_id> const& to, messages::message const& it);

    // Writes the messages that were queued since the last call. Messages to the
    // same host that are queued together take one write and one wake-up of the
    // host.
    void flush();

    [[nodiscard]] bool is_open(link_id id) const;

    // Sums the counts of the links that are in the table now. The backlog is
    // the longest one.
    [[nodiscard]] link_counts sum_counts() const;

    // Returns the link to a control host, or null if there is none.
    [[nodiscard]] message_link const*
    find(consensus::host_name const& to) const;

    // Marks a link whose messages must not wait behind those of many others.
    void prioritize(link_id it);

    // Reads what has arrived over the links that are marked. The reactor alone
    // serves all links in turn, and a round takes long while many daemons
    // start.
    void read_prioritized();

    // Closes the link to a control host that does not answer. The next message
    // to it opens another one.
    void disconnect(consensus::host_name const& to);

    // Destroys links that have ended. Must not be called from a link's handler.
    void remove_closed();

private:
    struct outgoing_link
    {
        link_id link = 0;
        instant next_attempt;
    };

    std::unique_ptr<message_link> make_link(link_id id);
    void send_to(link_id id, message_link& link, std::string_view frame);
    void accept(ACE_SOCK_Stream const& stream);

    event_loop& loop_;
    receiver received_;
    end_observer ended_;
    client_listener listener_;
    std::map<link_id, std::unique_ptr<message_link>> links_;
    std::map<consensus::host_name, outgoing_link> outgoing_;
    std::set<link_id> prioritized_;
    // Links with messages that flush() must write.
    std::set<link_id> unflushed_;
    std::vector<link_id> closed_;
    link_id last_id_ = 0;
};

} // namespace basilreach::daemon

#endif
