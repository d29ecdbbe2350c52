#ifndef BASILREACH_DAEMON_FORWARD_LINKS_HPP
#define BASILREACH_DAEMON_FORWARD_LINKS_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <basilreach/daemon/client_listener.hpp>
#include <basilreach/daemon/forward_codec.hpp>
#include <basilreach/daemon/forwarded_client.hpp>
#include <basilreach/daemon/message_link.hpp>
#include <basilreach/daemon/server_connection.hpp>
#include <basilreach/traffic/event.hpp>

namespace basilreach::daemon
{

class forwarded_connection;

// What the traffic thread does for its forward_links.
struct forward_owner
{
    // Takes over the client of a forwarded session and opens its session.
    std::function<void(std::unique_ptr<forwarded_client>)> opened;
    // Submits a statement of the client.
    std::function<void(forwarded_client&, forwarded_statement const&)>
        submitted;
    // Passes an event to the engine.
    std::function<void(traffic::event)> push;
};

// The links over which a traffic thread forwards statements to holders, and
// those over which other daemons forward statements to this one. Links to
// holders are opened on demand.
class forward_links
{
public:
    forward_links(event_loop& loop, forward_owner owner);
    ~forward_links();
    forward_links(forward_links const&) = delete;
    forward_links& operator=(forward_links const&) = delete;

    // Listens on IP:PORT. Returns whether that succeeded.
    [[nodiscard]] bool listen(std::string const& address);

    // Sets how many daemons may have a link to this one.
    void set_member_count(std::size_t n);

    [[nodiscard]] std::unique_ptr<server_connection>
    make_connection(server_observer observer);

    // Asks a holder whether it still answers.
    void probe(daemon_name const& holder);

    // Begins a planned stop: no more links are accepted, and the other daemons
    // are told to send no more statements.
    void begin_stop(instant now);

    // Whether the other daemons have closed their links after begin_stop(), or
    // have not done so in time. Until then, a statement could be on its way.
    [[nodiscard]] bool is_stopped(instant now) const;

    // Writes queued messages, closes idle links, and destroys ended ones. Must
    // not be called from a link's handler.
    void tick(instant now);

    // Closes all links without a reply.
    void close();

private:
    friend class forwarded_connection;

    // A link to a holder.
    struct outgoing_link
    {
        daemon_name holder;
        std::unique_ptr<message_link> link;
        // Connections by session, while they have a statement or transaction at
        // the holder.
        std::map<std::uint64_t, forwarded_connection*> connections;
        instant last_used;
        // The holder takes no more statements.
        bool is_stopping = false;
        bool has_ended = false;
    };

    // A link from a daemon that forwards statements to this one.
    struct incoming_link
    {
        std::unique_ptr<message_link> link;
        // Clients by the sender's number of the session.
        std::map<std::uint64_t, forwarded_client*> clients;
        instant last_used;
        bool has_ended = false;
    };

    using holder_handler = void (forward_links::*)(outgoing_link&,
                                                   messages::message&);
    using sender_handler = void (forward_links::*)(incoming_link&,
                                                   messages::message&);

    void on_answer(outgoing_link& from, messages::message& it);
    void on_refusal(outgoing_link& from, messages::message& it);
    void on_lost(outgoing_link& from, messages::message& it);
    void on_probe_answer(outgoing_link& from, messages::message& it);
    void on_statement(incoming_link& from, messages::message& it);
    void on_end(incoming_link& from, messages::message& it);
    void on_probe(incoming_link& from, messages::message& it);

    void receive(outgoing_link& from, messages::message& it);
    void receive(incoming_link& from, messages::message& it);
    void accept(ACE_SOCK_Stream const& stream);
    forwarded_client& add_client(incoming_link& from,
                                 std::uint64_t session,
                                 forwarded_statement const& first);
    void reply(incoming_link& to, messages::message const& it);
    // Returns a link whose messages and end are passed on together with the
    // entry that owns it.
    template <class Link>
    std::unique_ptr<message_link> make_link(Link& owner);
    void end_link(outgoing_link& it);
    void end_link(incoming_link& it);
    outgoing_link* open_link(daemon_name const& holder,
                             std::string const& address);

    // Sends the statement of a connection. Returns whether it was queued.
    bool send(forwarded_connection& from,
              messages::forward_statement const& it);
    // Removes a connection from its link. The holder is told, if it has to end
    // something.
    void release(forwarded_connection& it, bool ends_at_holder);

    event_loop& loop_;
    forward_owner owner_;
    client_listener listener_;
    // Links for new statements, by address, and those of stopping holders.
    std::map<std::string, std::unique_ptr<outgoing_link>> outgoing_;
    std::vector<std::unique_ptr<outgoing_link>> stopping_;
    std::vector<std::unique_ptr<incoming_link>> incoming_;
    std::size_t members_ = 0;
    std::uint64_t last_probe_ = 0;
    bool is_stopping_ = false;
    instant stop_by_;
};

} // namespace basilreach::daemon

#endif
