#include <basilreach/daemon/traffic_thread.hpp>

#include <array>
#include <chrono>
#include <utility>

#include <ace/INET_Addr.h>
#include <ace/OS_NS_sys_socket.h>
#include <netinet/tcp.h>

#include <basilreach/daemon/limit_client.hpp>
#include <basilreach/daemon/view_builder.hpp>
#include <basilreach/rules/digest.hpp>
#include <basilreach/rules/name_syntax.hpp>
#include <basilreach/settings/endpoint.hpp>

#include "refusal_text.hpp"

namespace basilreach::daemon
{

namespace
{

constexpr duration publication_interval = std::chrono::seconds(1);

// Shifts the thread's index above the session numbers, so that each traffic
// thread has a range of its own.
constexpr unsigned session_index_shift = 48;

traffic::engine_settings engine_settings_of(settings::daemon_settings const& it,
                                            std::size_t index)
{
    traffic::engine_settings out;
    out.holder = token_holder_name(index);
    out.data_centre = it.data_centre;
    // No server connections until the control thread has assigned the thread's
    // number for each server.
    out.initial_connections = 0;
    out.request_timeout = it.durations.request_timeout;
    out.read_try_timeout = it.durations.read_try_timeout;
    out.replica_wait = it.durations.replica_wait;
    out.token_wait = it.durations.token_wait;
    out.probe_after = it.durations.probe_after;
    out.queue_limit = it.limits.queue_per_workspace;
    out.serves_without_lease = it.serve_without_lease;
    out.uses_priorities = it.overload_control;
    if (!it.overload_control)
        out.suspicion_limit = out.silence_limit;
    out.dispatch = it.dispatch.mode;
    out.self = it.name;
    return out;
}

// Indexed by traffic::decision_kind.
constexpr std::array decision_names = {"route", "wait", "hold", "relay",
                                       "refuse"};

// Indexed by traffic::decision_reason.
constexpr std::array reason_names = {"pinned_transaction",
                                     "primary_for_write",
                                     "primary_without_position",
                                     "primary_no_replica_qualifies",
                                     "least_loaded_replica",
                                     "no_primary",
                                     "no_server",
                                     "position_not_reached",
                                     "tokens_missing",
                                     "lease_missing",
                                     "majority_reached",
                                     "read_answer",
                                     "workspace_holder",
                                     "refused"};

static_assert(decision_names.size() ==
              static_cast<std::size_t>(traffic::decision_kind::refuse) + 1);
static_assert(reason_names.size() ==
              static_cast<std::size_t>(traffic::decision_reason::refused) + 1);

} // namespace

void choose_protocol(daemon_context& context)
{
    auto const& adapter = context.adapter;
    context.rules = adapter.rules ? adapter.rules : make_rules_parser();
    context.protocol =
        adapter.codec
            ? make_line_protocol(*adapter.codec)
            : make_postgresql_protocol(context.settings, context.credential);
}

client_listener::client_listener(
    event_loop& loop, std::function<void(ACE_SOCK_Stream const&)> accepted)
    : loop_(loop), accepted_(std::move(accepted))
{
}

client_listener::~client_listener()
{
    close();
}

bool client_listener::open(std::string const& address)
{
    auto const endpoint = settings::parse_endpoint(address);
    if (!endpoint)
        return false;
    ACE_INET_Addr const local(endpoint->port, endpoint->ip.c_str());
    // Without address reuse a restart would have to wait until the connections
    // of the previous process have left TIME_WAIT.
    constexpr int reuse_address = 1;
    constexpr int backlog = 4096;
    if (acceptor_.open(local, reuse_address, PF_UNSPEC, backlog) != 0)
        return false;
    acceptor_.enable(ACE_NONBLOCK);
    is_open_ = true;
    return loop_.reactor().register_handler(
               this, ACE_Event_Handler::ACCEPT_MASK) == 0;
}

void client_listener::close()
{
    if (!std::exchange(is_open_, false))
        return;
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    acceptor_.close();
}

void client_listener::pause(bool paused)
{
    if (!is_open_ || std::exchange(is_paused_, paused) == paused)
        return;
    if (paused)
        loop_.reactor().cancel_wakeup(this, ACE_Event_Handler::ACCEPT_MASK);
    else
        loop_.reactor().schedule_wakeup(this, ACE_Event_Handler::ACCEPT_MASK);
}

ACE_HANDLE client_listener::get_handle() const
{
    return acceptor_.get_handle();
}

int client_listener::handle_input(ACE_HANDLE /*handle*/)
{
    ACE_SOCK_Stream stream;
    if (acceptor_.accept(stream) == 0)
    {
        stream.enable(ACE_NONBLOCK);
        int const on = 1;
        stream.set_option(IPPROTO_TCP, TCP_NODELAY, const_cast<int*>(&on),
                          sizeof(on));
        accepted_(stream);
    }
    // Without a free descriptor the connection stays in the queue, and the
    // reactor would report it again at once.
    else if (errno == EMFILE || errno == ENFILE)
        pause(true);
    return 0;
}

// Indexed by the alternatives of traffic_message.
traffic_thread::message_handler const traffic_thread::message_handlers[] = {
    &traffic_thread::on_event, &traffic_thread::on_client,
    &traffic_thread::on_console_reply, &traffic_thread::on_drain,
    &traffic_thread::on_stop};

traffic_thread::traffic_thread(std::size_t index, daemon_context const& context)
    : index_(index), context_(context), inbox_(loop_),
      listener_(loop_, [this](ACE_SOCK_Stream const& it) { accept(it); }),
      forward_links_(loop_, make_forward_owner()),
      resources_(context.settings, *context.client_connections),
      engine_(engine_settings_of(context.settings, index)),
      view_(std::make_shared<traffic::control_view const>()),
      next_session_(std::uint64_t{index + 1} << session_index_shift)
{
    set_callbacks();
}

traffic_thread::~traffic_thread()
{
    join();
}

void traffic_thread::set_callbacks()
{
    owner_.loop = &loop_;
    owner_.authenticate = [this](auto database, auto key)
    {
        return authenticate(database, key);
    };
    owner_.denial_reason = [this](auto database)
    {
        return denial_reason(database);
    };
    owner_.is_known = [this](std::string_view database)
    {
        return is_known(database);
    };
    owner_.refused = [this](auto database, auto reason)
    {
        log_refused_connection(database, reason);
    };
    // The caller is a member function of the client, so the client is handed
    // over at the end of the tick. Handed over at once, it would be used by two
    // threads, which led to crashes.
    owner_.authenticated = [this](client_connection& it)
    {
        authenticated_.push_back(&it);
    };
    owner_.submit = [this](client_connection& it, traffic::statement_verb verb,
                           traffic::transaction_opening opens)
    {
        engine_.push(traffic::statement_received{
            traffic::session_id{it.session()}, verb, opens});
    };
    owner_.session_token_presented =
        [this](client_connection& it, group_positions const& positions)
    {
        engine_.push(traffic::session_token_presented{
            traffic::session_id{it.session()}, positions});
    };
    owner_.submit_console_request =
        [this](client_connection& it, std::string text)
    {
        context_.control->push(
            console_request{index_, it.session(), std::move(text)});
    };
    owner_.buffered = [this](client_connection& it)
    {
        resources_.record(it);
        if (resources_.is_over_limit())
            resources_.tick(read_clock());
    };
    owner_.closed = [this](client_connection& it)
    {
        remove_client(it);
    };
}

forward_owner traffic_thread::make_forward_owner()
{
    forward_owner it;
    it.opened = [this](std::unique_ptr<forwarded_client> client)
    {
        add_forwarded_client(std::move(client));
    };
    it.submitted =
        [this](forwarded_client& client, forwarded_statement const& statement)
    {
        engine_.push(traffic::statement_received{
            traffic::session_id{client.session()}, statement.verb,
            statement.opens, statement.origin});
    };
    it.push = [this](traffic::event event)
    {
        engine_.push(std::move(event));
    };
    return it;
}

void traffic_thread::add_forwarded_client(
    std::unique_ptr<forwarded_client> client)
{
    auto* const raw = client.get();
    auto const session = ++next_session_;
    raw->attach(owner_);
    clients_.emplace(session, std::move(client));
    raw->start_session(session);
    open_session(*raw);
}

bool traffic_thread::listen(std::string const& address)
{
    auto const& dispatch = context_.settings.dispatch;
    if (dispatch.mode != dispatch::dispatch_mode::local && dispatch.listen &&
        !forward_links_.listen(*dispatch.listen))
        return false;
    return listener_.open(address);
}

void traffic_thread::start()
{
    thread_ = std::thread([this] { run(); });
}

void traffic_thread::join()
{
    if (thread_.joinable())
        thread_.join();
}

void traffic_thread::post(traffic_message it)
{
    inbox_.push(std::move(it));
}

void traffic_thread::run()
{
    while (!is_stopping_)
    {
        for (auto& it : inbox_.take())
            (this->*message_handlers[it.index()])(it);
        tick();
        loop_.run_once(std::min({engine_.next_deadline(), next_publication_,
                                 resources_.next_deadline()}));
    }
    listener_.close();
    forward_links_.close();
    clients_.clear();
    pending_clients_.clear();
    server_connections_.clear();
}

void traffic_thread::tick()
{
    auto const now = read_clock();
    for (auto const& it : engine_.tick(now))
        std::visit([this](auto const& action) { perform(action); }, it);
    context_.decisions->write(decisions_);
    for (auto* client : std::exchange(authenticated_, {}))
        hand_over(client);
    resources_.tick(now);
    retired_clients_.clear();
    retired_server_connections_.clear();
    forward_links_.tick(now);
    resources_.release_memory();
    publish_metrics(now);
    if (is_draining_ && !is_drained_ && clients_.empty() &&
        forward_links_.is_stopped(now))
    {
        is_drained_ = true;
        context_.control->push(thread_drained{index_});
    }
}

void traffic_thread::publish_metrics(instant now)
{
    if (now < next_publication_)
        return;
    next_publication_ = now + publication_interval;
    listener_.pause(resources_.is_full());
    context_.control->push(metrics_published{
        index_,
        {engine_.counts(), clients_.size() + pending_clients_.size(), reads_,
         writes_, forwarded_, resources_.counts()}});
}

void traffic_thread::on_event(traffic_message& it)
{
    auto& event = std::get<traffic::event>(it);
    if (auto const* change = std::get_if<traffic::control_changed>(&event))
    {
        view_ = change->view;
        forward_links_.set_member_count(view_->members.size());
    }
    if (auto const* lease = std::get_if<traffic::lease_changed>(&event))
        lease_until_ = lease->valid_until;
    engine_.push(std::move(event));
}

void traffic_thread::on_client(traffic_message& it)
{
    auto client = std::move(std::get<client_handed_over>(it).client);
    auto* const raw = client.get();
    auto const session = ++next_session_;
    raw->attach(owner_);
    clients_.emplace(session, std::move(client));
    resources_.add_session(*raw);
    raw->start_session(session);
    open_session(*raw);
    resources_.record(*raw);
    // The client arrived after the drain had begun in this thread.
    if (is_draining_)
        raw->end(traffic::refusal_reason::draining);
}

void traffic_thread::on_console_reply(traffic_message& it)
{
    auto const& answer = std::get<console_reply>(it);
    if (auto* client = find_client(answer.session))
    {
        client->send_console_reply(answer.reply);
        resources_.record(*client);
    }
}

void traffic_thread::on_drain(traffic_message& it)
{
    engine_.push(traffic::drain_advanced{std::get<drain_requested>(it).stage});
    if (std::exchange(is_draining_, true))
        return;
    listener_.close();
    forward_links_.begin_stop(read_clock());
    std::vector<client_connection*> consoles;
    for (auto const& [session, client] : clients_)
        if (client->identity().is_admin)
            consoles.push_back(client.get());
    for (auto* console : consoles)
        console->end(traffic::refusal_reason::draining);
    for (auto const& [client, owned] : pending_clients_)
        resources_.remove(*client);
    pending_clients_.clear();
}

void traffic_thread::on_stop(traffic_message& /*it*/)
{
    is_stopping_ = true;
}

void traffic_thread::accept(ACE_SOCK_Stream const& stream)
{
    auto client = context_.protocol->make_client_connection(stream);
    auto* const raw = client.get();
    pending_clients_.emplace(raw, std::move(client));
    resources_.add_startup(*raw, read_clock());
    raw->attach(owner_);
    if (resources_.is_full())
        listener_.pause(true);
}

std::optional<client_identity>
traffic_thread::authenticate(std::string_view database,
                             std::optional<std::string_view> key) const
{
    client_identity identity;
    if (database == rules::admin_console_name)
    {
        identity.is_admin = true;
        if (!key || !rules::equal_digests(rules::digest_of_key(*key),
                                          context_.settings.operator_key))
            return std::nullopt;
        return identity;
    }
    auto const route = view_->routes.find(route_name(database));
    if (route == view_->routes.end())
        return std::nullopt;
    identity.route = route->first;
    identity.group = route->second.group;
    if (route->second.open)
    {
        identity.workspace = *route->second.open;
        return identity;
    }
    if (!key)
        return std::nullopt;
    auto const digest = rules::digest_of_key(*key);
    // All digests are compared, so that the time taken reveals nothing about
    // them.
    for (auto const& [known, workspace] : view_->keys)
        if (rules::equal_digests(known, digest))
        {
            identity.key = digest;
            identity.workspace = workspace;
        }
    auto const& allowed = route->second.workspaces;
    if (!identity.key ||
        (!allowed.empty() && !allowed.contains(identity.workspace)))
        return std::nullopt;
    return identity;
}

bool traffic_thread::is_known(std::string_view database) const
{
    return database == rules::admin_console_name ||
           view_->routes.contains(route_name(database));
}

traffic::refusal_reason
traffic_thread::denial_reason(std::string_view database) const
{
    // Every change in force is known to a daemon that holds a lease. Without
    // one, a route or a key that is unknown here may have been added.
    bool const has_current_rules =
        view_->has_rules && read_clock() < lease_until_;
    if (!has_current_rules && database != rules::admin_console_name)
        return traffic::refusal_reason::no_lease;
    return is_known(database) ? traffic::refusal_reason::key_withdrawn
                              : traffic::refusal_reason::unknown_route;
}

void traffic_thread::log_refused_connection(std::string_view database,
                                            traffic::refusal_reason reason)
{
    telemetry::decision_record record;
    record.decision = decision_names[static_cast<std::size_t>(
        traffic::decision_kind::refuse)];
    record.outcome = "not_run";
    record.cause = name_of(reason);
    record.revision = view_->revision;
    // A name that is no route is any text that the client sent.
    if (route_name const name(database); view_->routes.contains(name))
        record.route = name;
    decisions_.push_back(std::move(record));
}

std::size_t traffic_thread::thread_of(group_name const& group) const
{
    return std::hash<group_name>{}(group) % context_.threads.size();
}

void traffic_thread::hand_over(client_connection* key)
{
    auto const found = pending_clients_.find(key);
    // The client may have disconnected since its authentication.
    if (found == pending_clients_.end())
        return;
    auto owned = std::move(found->second);
    pending_clients_.erase(found);
    auto& client = *owned;
    resources_.remove(client);
    client.detach();
    auto const target = client.identity().is_admin
                            ? index_
                            : thread_of(client.identity().group);
    context_.threads[target]->post(client_handed_over{std::move(owned)});
}

void traffic_thread::open_session(client_connection& client)
{
    auto const& identity = client.identity();
    if (identity.is_admin)
        return;
    traffic::session_opened event;
    event.session = traffic::session_id{client.session()};
    event.name = client.session_label();
    event.route = identity.route;
    event.workspace = identity.workspace;
    event.key = identity.key;
    event.positions = client.presented_positions();
    event.read_only = client.is_read_only();
    event.is_forwarded = identity.is_forwarded;
    engine_.push(event);
}

void traffic_thread::remove_client(client_connection& client)
{
    resources_.remove(client);
    auto const pending = pending_clients_.find(&client);
    if (pending != pending_clients_.end())
    {
        retired_clients_.push_back(std::move(pending->second));
        pending_clients_.erase(pending);
        return;
    }
    auto const found = clients_.find(client.session());
    if (found == clients_.end())
        return;
    if (!client.identity().is_admin)
        engine_.push(
            traffic::session_closed{traffic::session_id{client.session()}});
    retired_clients_.push_back(std::move(found->second));
    clients_.erase(found);
}

client_connection* traffic_thread::find_client(std::uint64_t session)
{
    auto const it = clients_.find(session);
    return it == clients_.end() ? nullptr : it->second.get();
}

server_observer traffic_thread::make_observer(traffic::connection_id id)
{
    server_observer it;
    it.opened = [this, id]
    {
        engine_.push(traffic::connection_opened{id});
    };
    it.lost = [this, id]
    {
        engine_.push(traffic::connection_failed{id});
    };
    it.refused = [this, id](traffic::forward_refused refusal)
    {
        refusal.connection = id;
        engine_.push(refusal);
    };
    it.position_read = [this, id](position_answer answer)
    {
        if (answer.position)
            engine_.push(traffic::position_observed{id, *answer.position,
                                                    answer.is_from_primary});
        else
            engine_.push(traffic::connection_failed{id});
    };
    it.answered = [this, id](server_answer answer)
    {
        auto const entry = server_connections_.find(id);
        if (entry == server_connections_.end())
            return;
        if (auto* client = find_client(entry->second.session))
            client->store_answer(std::move(answer.payload));
        entry->second.session = 0;
        if (auto const sent_at = entry->second.forwarded_at)
            forwarded_.record(read_clock() - *sent_at);
        answer.summary.connection = id;
        engine_.push(answer.summary);
    };
    return it;
}

void traffic_thread::perform(traffic::open_connection const& it)
{
    auto connection =
        it.holder ? forward_links_.make_connection(make_observer(it.connection))
                  : context_.protocol->make_server_connection(
                        loop_, make_observer(it.connection));
    auto* const raw = connection.get();
    server_connections_.emplace(
        it.connection, connection_entry{it.connection, std::move(connection), 0,
                                        it.read_only, std::nullopt});
    raw->open(it);
}

void traffic_thread::perform(traffic::close_connection const& it)
{
    auto const found = server_connections_.find(it.connection);
    if (found == server_connections_.end())
        return;
    found->second.connection->close();
    retired_server_connections_.push_back(std::move(found->second.connection));
    server_connections_.erase(found);
}

void traffic_thread::perform(traffic::send_statement const& it)
{
    auto const entry = server_connections_.find(it.connection);
    auto* client = find_client(static_cast<std::uint64_t>(it.session));
    if (entry == server_connections_.end() || client == nullptr)
        return;
    entry->second.session = client->session();
    auto const route = view_->routes.find(client->identity().route);
    send_options options;
    options.wrapping = it.wrapping;
    options.after = it.after;
    options.forwarding = it.forwarding;
    if (it.forwarding)
        entry->second.forwarded_at = read_clock();
    options.on_read_only_connection = entry->second.read_only;
    options.on_read_route = route != view_->routes.end() &&
                            route->second.kind == rules::route_class::read;
    entry->second.connection->send(*client, options);
}

void traffic_thread::perform(traffic::query_position const& it)
{
    auto const entry = server_connections_.find(it.connection);
    if (entry != server_connections_.end())
        entry->second.connection->query_position(it.verify_primary);
}

void traffic_thread::perform(traffic::relay_answer const& it)
{
    auto* client = find_client(static_cast<std::uint64_t>(it.session));
    if (client == nullptr)
        return;
    // The time of a forwarded statement is recorded where its client is.
    auto& histogram = it.is_read ? reads_ : writes_;
    if (!client->identity().is_forwarded)
        histogram.record(read_clock() - client->submitted_at());
    client->relay(it.position);
    resources_.record(*client);
}

void traffic_thread::perform(traffic::refuse const& it)
{
    if (auto* client = find_client(static_cast<std::uint64_t>(it.session)))
    {
        client->refuse(it);
        resources_.record(*client);
    }
}

void traffic_thread::perform(traffic::end_session const& it)
{
    if (auto* client = find_client(static_cast<std::uint64_t>(it.session)))
        client->end(it.reason);
}

void traffic_thread::perform(limits::token_request const& it)
{
    context_.control->push(it);
}

void traffic_thread::perform(traffic::connections_used const& it)
{
    context_.control->push(it);
}

void traffic_thread::perform(traffic::server_reachability const& it)
{
    context_.control->push(it);
}

void traffic_thread::perform(traffic::term_ended const& it)
{
    context_.control->push(it);
}

void traffic_thread::perform(traffic::control_view_adopted const& it)
{
    context_.control->push(view_adopted{index_, it.revision});
}

void traffic_thread::perform(traffic::abort_transaction const& it)
{
    if (auto* client = find_client(static_cast<std::uint64_t>(it.session)))
        client->abort_transaction();
}

void traffic_thread::perform(traffic::probe_holder const& it)
{
    forward_links_.probe(it.holder);
}

void traffic_thread::perform(traffic::log_decision const& it)
{
    telemetry::decision_record record;
    record.decision = decision_names[static_cast<std::size_t>(it.kind)];
    record.reason = reason_names[static_cast<std::size_t>(it.reason)];
    record.request = it.request;
    record.session = static_cast<std::uint64_t>(it.session);
    if (it.server)
        record.server = *it.server;
    record.priority = it.priority;
    if (it.refusal)
    {
        record.retry_after =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                it.refusal->retry_after);
        record.cause = name_of(it.refusal->reason);
        record.outcome =
            it.refusal->outcome == traffic::refusal_outcome::unknown
                ? "unknown"
                : "not_run";
    }
    if (auto const* client = find_client(record.session))
    {
        record.session_label = client->session_label();
        record.request_label = client->request_label();
        record.workspace = client->identity().workspace;
        record.route = client->identity().route;
        record.group = client->identity().group;
    }
    decisions_.push_back(std::move(record));
}

} // namespace basilreach::daemon
