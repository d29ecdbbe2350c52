#include <basilreach/daemon/link_table.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <basilreach/messages/codec.hpp>

namespace basilreach::daemon
{

namespace
{

// Least time between two attempts to connect to a control host.
constexpr duration reconnect_interval = std::chrono::milliseconds(100);

// Time in which a connection must open. An attempt to connect to a machine
// without power gets no answer and would otherwise hang for minutes.
constexpr duration connect_timeout = std::chrono::seconds(1);

} // namespace

consensus::host_name make_host_name(settings::control_host_settings const& it)
{
    return consensus::host_name(it.name.str() + '=' + it.address);
}

std::string address_of(consensus::host_name const& it)
{
    return it.str().substr(it.str().find('=') + 1);
}

link_table::link_table(event_loop& loop, receiver received, end_observer ended)
    : loop_(loop), received_(std::move(received)), ended_(std::move(ended)),
      listener_(loop, [this](ACE_SOCK_Stream const& it) { accept(it); })
{
}

bool link_table::listen(std::string const& address)
{
    return listener_.open(address);
}

std::unique_ptr<message_link> link_table::make_link(link_id id)
{
    link_observer it;
    it.opened = [] {
    };
    it.received = [this, id](messages::message m)
    {
        received_(id, std::move(m));
    };
    it.closed = [this, id]
    {
        closed_.push_back(id);
    };
    return std::make_unique<message_link>(loop_, std::move(it));
}

void link_table::accept(ACE_SOCK_Stream const& stream)
{
    auto const id = ++last_id_;
    auto const& link = links_.emplace(id, make_link(id)).first->second;
    link->accept(stream);
}

void link_table::send(consensus::host_name const& to,
                      messages::message const& it)
{
    auto& row = outgoing_[to];
    auto const now = read_clock();
    auto const link = links_.find(row.link);
    if (link != links_.end() && !link->second->is_open() &&
        row.next_attempt - reconnect_interval + connect_timeout < now)
        disconnect(to);
    else if (link != links_.end())
        return send_to(row.link, *link->second, messages::encode_frame(it));
    if (now < row.next_attempt)
        return;
    row.next_attempt = now + reconnect_interval;
    row.link = ++last_id_;
    auto const& opened =
        links_.emplace(row.link, make_link(row.link)).first->second;
    opened->connect(address_of(to));
    send_to(row.link, *opened, messages::encode_frame(it));
}

void link_table::disconnect(consensus::host_name const& to)
{
    auto const row = outgoing_.find(to);
    if (row == outgoing_.end())
        return;
    auto const link = links_.find(row->second.link);
    if (link == links_.end())
        return;
    link->second->close();
    closed_.push_back(row->second.link);
    row->second.link = 0;
}

void link_table::send(link_id to, messages::message const& it)
{
    auto const link = links_.find(to);
    if (link != links_.end())
        send_to(to, *link->second, messages::encode_frame(it));
}

void link_table::send(std::vector<link_id> const& to,
                      messages::message const& it)
{
    auto const frame = messages::encode_frame(it);
    for (auto const id : to)
    {
        auto const link = links_.find(id);
        if (link != links_.end())
            send_to(id, *link->second, frame);
    }
}

void link_table::send_to(link_id id, message_link& link, std::string_view frame)
{
    link.send_frame(frame);
    unflushed_.insert(id);
}

void link_table::flush()
{
    // A link that fails on writing is only marked as closed.
    for (auto const id : std::exchange(unflushed_, {}))
    {
        auto const link = links_.find(id);
        if (link != links_.end())
            link->second->flush();
    }
}

bool link_table::is_open(link_id id) const
{
    auto const link = links_.find(id);
    return link != links_.end() && link->second->is_open();
}

link_counts link_table::sum_counts() const
{
    link_counts sum;
    for (auto const& [id, link] : links_)
    {
        auto const it = link->counts();
        sum.bytes_sent += it.bytes_sent;
        sum.bytes_received += it.bytes_received;
        sum.messages_dropped += it.messages_dropped;
        sum.bytes_queued += it.bytes_queued;
        sum.backlog = std::max(sum.backlog, it.backlog);
    }
    return sum;
}

message_link const* link_table::find(consensus::host_name const& to) const
{
    auto const row = outgoing_.find(to);
    if (row == outgoing_.end())
        return nullptr;
    auto const link = links_.find(row->second.link);
    return link == links_.end() ? nullptr : link->second.get();
}

void link_table::prioritize(link_id it)
{
    prioritized_.insert(it);
}

void link_table::read_prioritized()
{
    // A message can mark another link.
    for (auto const id : std::set(prioritized_))
    {
        auto const link = links_.find(id);
        if (link != links_.end() && link->second->is_open())
            link->second->handle_input(link->second->get_handle());
    }
}

void link_table::remove_closed()
{
    for (auto const id : std::exchange(closed_, {}))
    {
        links_.erase(id);
        prioritized_.erase(id);
        ended_(id);
    }
}

} // namespace basilreach::daemon
