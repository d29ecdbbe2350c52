#include <basilreach/daemon/forward_links.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <easylogging++.h>

#include <basilreach/messages/codec.hpp>
#include <basilreach/messages/frame.hpp>

#include "forwarded_connection.hpp"

namespace basilreach::daemon
{

namespace
{

using traffic::refusal_outcome;
using traffic::refusal_reason;

// Bytes that may be queued on a link to a holder when a statement is added. A
// larger statement is not forwarded.
constexpr std::size_t queue_limit = std::size_t{64} << 10U;

// The same for a statement of a transaction that is open at the holder: it
// cannot run anywhere else.
constexpr std::size_t transaction_queue_limit = std::size_t{4} << 20U;

// Bytes of answers that may be queued for one sender. Beyond this limit its
// link is closed.
constexpr std::size_t answer_queue_limit = std::size_t{8} << 20U;

// Time after which an idle link is closed by the daemon that opened it. The
// other one waits for longer: if it closed the link first, a statement could be
// on its way.
constexpr duration idle_limit = std::chrono::seconds(60);
constexpr duration incoming_idle_limit = std::chrono::seconds(120);

// Links that are accepted beyond the number of members, since a daemon can be
// restarted before its former link has ended.
constexpr std::size_t spare_links = 16;

// Longest wait, in a planned stop, for the other daemons to close their links.
constexpr duration stop_limit = std::chrono::seconds(1);

} // namespace

forward_links::forward_links(event_loop& loop, forward_owner owner)
    : loop_(loop), owner_(std::move(owner)),
      listener_(loop, [this](ACE_SOCK_Stream const& it) { accept(it); })
{
}

forward_links::~forward_links()
{
    close();
}

bool forward_links::listen(std::string const& address)
{
    return listener_.open(address);
}

void forward_links::set_member_count(std::size_t n)
{
    members_ = n;
}

std::unique_ptr<server_connection>
forward_links::make_connection(server_observer observer)
{
    return std::make_unique<forwarded_connection>(*this, std::move(observer));
}

template <class Link>
std::unique_ptr<message_link> forward_links::make_link(Link& owner)
{
    link_observer observer;
    observer.opened = [] {
    };
    observer.received = [this, &owner](messages::message it)
    {
        receive(owner, it);
    };
    observer.closed = [this, &owner]
    {
        end_link(owner);
    };
    return std::make_unique<message_link>(loop_, std::move(observer));
}

// ---- Links to holders ----

forward_links::outgoing_link*
forward_links::open_link(daemon_name const& holder, std::string const& address)
{
    auto const known = outgoing_.find(address);
    if (known != outgoing_.end() && !known->second->has_ended)
        return known->second.get();
    if (known != outgoing_.end())
        stopping_.push_back(std::move(known->second));
    auto& entry = outgoing_[address];
    entry = std::make_unique<outgoing_link>();
    auto* const raw = entry.get();
    raw->holder = holder;
    raw->link = make_link(*raw);
    raw->link->connect(address);
    return raw->has_ended ? nullptr : raw;
}

bool forward_links::send(forwarded_connection& from,
                         messages::forward_statement const& it)
{
    bool const is_bound = from.link_ != nullptr;
    auto* link = is_bound ? from.link_ : open_link(from.holder_, from.address_);
    if (link == nullptr)
        return false;
    auto const frame = messages::encode_frame(it);
    auto const limit = is_bound ? transaction_queue_limit : queue_limit;
    if (link->link->counts().bytes_queued + frame.size() > limit)
        return false;
    link->last_used = read_clock();
    link->link->send_frame(frame);
    auto const counts = link->link->counts();
    from.end_offset_ = counts.bytes_sent + counts.bytes_queued;
    from.link_ = link;
    link->connections.insert_or_assign(it.session, &from);
    return true;
}

void forward_links::release(forwarded_connection& it, bool ends_at_holder)
{
    auto* const link = std::exchange(it.link_, nullptr);
    if (link == nullptr)
        return;
    auto const found = link->connections.find(it.session_);
    if (found != link->connections.end() && found->second == &it)
        link->connections.erase(found);
    link->last_used = read_clock();
    if (ends_at_holder)
        link->link->send(messages::forward_end{it.session_});
}

void forward_links::probe(daemon_name const& holder)
{
    for (auto const& [address, it] : outgoing_)
        if (it->holder == holder && !it->has_ended)
            it->link->send(messages::forward_probe{++last_probe_});
}

// Bytes that were not handed to the connection cannot have been received. As
// long as one byte of a message is missing, the holder cannot have decoded it.
void forward_links::end_link(outgoing_link& it)
{
    it.has_ended = true;
    auto const sent = it.link->counts().bytes_sent;
    for (auto const& [session, connection] : std::exchange(it.connections, {}))
    {
        connection->link_ = nullptr;
        connection->end(connection->end_offset_ > sent);
    }
    if (!it.is_stopping)
        owner_.push(traffic::holder_failed{it.holder});
}

void forward_links::receive(outgoing_link& from, messages::message& it)
{
    if (std::holds_alternative<messages::forward_answer>(it))
        on_answer(from, it);
    else if (std::holds_alternative<messages::forward_refusal>(it))
        on_refusal(from, it);
    else if (std::holds_alternative<messages::forward_lost>(it))
        on_lost(from, it);
    else if (std::holds_alternative<messages::forward_probe_answer>(it))
        on_probe_answer(from, it);
}

void forward_links::on_answer(outgoing_link& from, messages::message& it)
{
    auto const& answer = std::get<messages::forward_answer>(it);
    auto const found = from.connections.find(answer.session);
    if (found != from.connections.end() &&
        found->second->request_ == answer.request)
        found->second->answer(answer);
}

void forward_links::on_refusal(outgoing_link& from, messages::message& it)
{
    auto const& refusal = std::get<messages::forward_refusal>(it);
    if (refusal.session == 0)
    {
        from.is_stopping = true;
        return owner_.push(traffic::holder_failed{from.holder, true});
    }
    auto const found = from.connections.find(refusal.session);
    if (found != from.connections.end() &&
        found->second->request_ == refusal.request)
        found->second->refuse(refusal);
}

void forward_links::on_lost(outgoing_link& from, messages::message& it)
{
    auto const found =
        from.connections.find(std::get<messages::forward_lost>(it).session);
    // A statement that was sent meanwhile is refused by the holder.
    if (found != from.connections.end() && found->second->request_ == 0)
        found->second->lose_transaction();
}

void forward_links::on_probe_answer(outgoing_link& from,
                                    messages::message& /*it*/)
{
    owner_.push(traffic::holder_answered{from.holder});
}

// ---- Links of other daemons ----

void forward_links::accept(ACE_SOCK_Stream const& stream)
{
    if (incoming_.size() >= members_ + spare_links)
    {
        LOG(WARNING) << "event=forward_link_refused links=" << incoming_.size();
        ACE_SOCK_Stream refused(stream);
        refused.close();
        return;
    }
    auto* const raw =
        incoming_.emplace_back(std::make_unique<incoming_link>()).get();
    raw->last_used = read_clock();
    raw->link = make_link(*raw);
    raw->link->accept(stream);
}

// The senders' clients are gone, or nothing more can be sent to them.
void forward_links::end_link(incoming_link& it)
{
    it.has_ended = true;
    for (auto const& [session, client] : std::exchange(it.clients, {}))
        client->abandon();
}

void forward_links::receive(incoming_link& from, messages::message& it)
{
    from.last_used = read_clock();
    if (std::holds_alternative<messages::forward_statement>(it))
        on_statement(from, it);
    else if (std::holds_alternative<messages::forward_end>(it))
        on_end(from, it);
    else if (std::holds_alternative<messages::forward_probe>(it))
        on_probe(from, it);
}

forwarded_client& forward_links::add_client(incoming_link& from,
                                            std::uint64_t session,
                                            forwarded_statement const& first)
{
    forwarded_client::callbacks calls;
    calls.reply = [this, &from](messages::message const& it)
    {
        reply(from, it);
    };
    calls.finished = [&from](forwarded_client const& it)
    {
        from.clients.erase(it.sender_session());
    };
    auto client =
        std::make_unique<forwarded_client>(session, first, std::move(calls));
    auto* const raw = client.get();
    from.clients.emplace(session, raw);
    owner_.opened(std::move(client));
    return *raw;
}

void forward_links::on_statement(incoming_link& from, messages::message& it)
{
    auto const& message = std::get<messages::forward_statement>(it);
    auto statement = read_statement(message);
    if (!statement)
        return reply(
            from, make_forward_refusal(
                      message.session, message.request,
                      {{}, refusal_outcome::not_run, refusal_reason::behind}));
    auto found = from.clients.find(message.session);
    // A sender ends what it has given up before it sends another statement of
    // the session.
    bool const is_continued =
        statement->opens == traffic::transaction_opening::opened;
    if (found != from.clients.end() &&
        (found->second->is_busy() || !is_continued))
    {
        found->second->abandon();
        found = from.clients.end();
    }
    auto& client = found != from.clients.end()
                       ? *found->second
                       : add_client(from, message.session, *statement);
    auto const submitted = *statement;
    client.begin(message.request, std::move(*statement));
    owner_.submitted(client, submitted);
}

void forward_links::on_end(incoming_link& from, messages::message& it)
{
    auto const found =
        from.clients.find(std::get<messages::forward_end>(it).session);
    if (found != from.clients.end())
        found->second->abandon();
}

void forward_links::on_probe(incoming_link& from, messages::message& it)
{
    reply(from, messages::forward_probe_answer{
                    std::get<messages::forward_probe>(it).number});
}

void forward_links::reply(incoming_link& to, messages::message const& it)
{
    if (to.has_ended)
        return;
    auto const content = messages::encode(it);
    if (content.size() > messages::frame_limit)
    {
        // Nothing larger can be sent; the statement has run.
        auto const& answer = std::get<messages::forward_answer>(it);
        return reply(to, make_forward_refusal(answer.session, answer.request,
                                              {{},
                                               refusal_outcome::unknown,
                                               refusal_reason::queue_full}));
    }
    std::string frame;
    messages::append_frame(frame, content);
    auto const queued = to.link->counts().bytes_queued;
    if (queued > 0 && queued + frame.size() > answer_queue_limit)
    {
        to.link->close();
        return end_link(to);
    }
    to.last_used = read_clock();
    to.link->send_frame(frame);
}

// ---- Stop and housekeeping ----

void forward_links::begin_stop(instant now)
{
    if (std::exchange(is_stopping_, true))
        return;
    stop_by_ = now + stop_limit;
    listener_.close();
    for (auto const& it : incoming_)
        reply(*it,
              make_forward_refusal(
                  0, 0,
                  {{}, refusal_outcome::not_run, refusal_reason::draining}));
}

bool forward_links::is_stopped(instant now) const
{
    return now >= stop_by_ ||
           std::all_of(incoming_.begin(), incoming_.end(),
                       [](auto const& it) { return it->has_ended; });
}

void forward_links::tick(instant now)
{
    for (auto it = outgoing_.begin(); it != outgoing_.end();)
    {
        if (it->second->is_stopping || it->second->has_ended)
        {
            stopping_.push_back(std::move(it->second));
            it = outgoing_.erase(it);
            continue;
        }
        auto& link = *it->second;
        link.link->flush();
        if (!link.has_ended && link.connections.empty() &&
            link.last_used + idle_limit <= now)
        {
            link.link->close();
            link.has_ended = true;
        }
        ++it;
    }
    for (auto const& it : stopping_)
    {
        if (it->has_ended)
            continue;
        it->link->flush();
        if (it->connections.empty() && it->link->counts().bytes_queued == 0)
        {
            it->link->close();
            it->has_ended = true;
        }
    }
    for (auto const& it : incoming_)
    {
        if (it->has_ended)
            continue;
        it->link->flush();
        if (!it->has_ended && it->clients.empty() &&
            it->last_used + incoming_idle_limit <= now)
        {
            it->link->close();
            it->has_ended = true;
        }
    }
    auto const has_ended = [](auto const& it)
    {
        return it->has_ended;
    };
    std::erase_if(stopping_, has_ended);
    std::erase_if(incoming_, has_ended);
}

void forward_links::close()
{
    listener_.close();
    for (auto const& [address, it] : outgoing_)
        it->link->close();
    for (auto const& it : stopping_)
        it->link->close();
    for (auto const& it : incoming_)
        it->link->close();
}

} // namespace basilreach::daemon
