#include <basilreach/daemon/control_thread.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <sstream>
#include <utility>

#include <easylogging++.h>

#include <basilreach/daemon/metrics_page.hpp>
#include <basilreach/daemon/reload.hpp>
#include <basilreach/daemon/view_builder.hpp>
#include <basilreach/settings/parse.hpp>

#include "admin_replies.hpp"

namespace basilreach::daemon
{

namespace
{

// Time within which the leader must answer a console's request before the
// console gets an error.
constexpr duration console_timeout = std::chrono::seconds(5);

// Interval at which an unanswered request of a console is sent again. A
// repeated command has no second effect; most carry an id or a sequence number.
constexpr duration console_resend_interval = std::chrono::milliseconds(300);

// Another control host is tried when a lease renewal has not been answered this
// long after it was due.
constexpr duration late_grant_timeout = std::chrono::milliseconds(400);

control::contact_settings
contact_settings_of(settings::daemon_settings const& it)
{
    control::contact_settings out;
    out.grant_timeout = it.durations.lease_renewal + late_grant_timeout;
    return out;
}

// Whether the leader answers a message of this kind.
bool expects_answer(messages::message const& it)
{
    return !std::holds_alternative<messages::subscribe>(it) &&
           !std::holds_alternative<control::reach_report>(it) &&
           !std::holds_alternative<control::lease_returned>(it);
}

// Interval at which messages of other control hosts are read first. Shorter
// than a heartbeat, so that a leader learns of its majority in time.
constexpr duration peer_read_interval = std::chrono::milliseconds(25);

// Least time between two lines on how far the daemons have the control state.
constexpr duration distribution_line_interval = std::chrono::seconds(1);

// The log line and the order to the traffic threads with which a phase of a
// stop begins.
struct stop_phase_row
{
    char const* event;
    traffic::drain_stage stage = traffic::drain_stage::none;
};

// Indexed by stop_phase.
constexpr std::array<stop_phase_row, 6> stop_phase_rows = {
    {{"none"},
     {"stop_announced"},
     {"drain_started", traffic::drain_stage::sessions},
     {"transactions_ended", traffic::drain_stage::transactions},
     {"statements_ended", traffic::drain_stage::statements},
     {"drained"}}};

// Least time between two lines on the messages that the leader has received.
constexpr duration load_line_interval = std::chrono::seconds(5);

// The kinds of message that daemons send to the leader, as alternatives of
// messages::message, and their names in the log.
constexpr std::array<std::pair<std::size_t, char const*>, 4> logged_kinds = {
    {{messages::kind_of<control::lease_renewal>, "lease_renewals"},
     {messages::kind_of<messages::subscribe>, "subscribes"},
     {messages::kind_of<messages::limit_requests>, "limit_requests"},
     {messages::kind_of<consensus::peer_message>, "peer_messages"}}};

std::string milliseconds(duration it)
{
    return std::to_string(
        std::chrono::duration<double, std::milli>(it).count());
}

} // namespace

// Indexed by the alternatives of control_message.
control_thread::control_message_handler const
    control_thread::control_message_handlers[] = {
        &control_thread::on_view_adopted,
        &control_thread::on_term_ended,
        &control_thread::on_token_request,
        &control_thread::on_connections_used,
        &control_thread::on_server_reachability,
        &control_thread::on_console_request,
        &control_thread::on_metrics_published,
        &control_thread::on_thread_drained,
        &control_thread::on_stop_requested,
        &control_thread::on_reload_requested};

// Indexed by the alternatives of messages::message.
control_thread::link_message_handler const
    control_thread::link_message_handlers[] = {
        &control_thread::forward_to_control_host,
        &control_thread::forward_to_control_host,
        &control_thread::on_lease_grant,
        &control_thread::forward_to_control_host,
        &control_thread::on_state_update, &control_thread::on_not_leader,
        &control_thread::forward_to_control_host,
        &control_thread::on_admin_reply,
        &control_thread::forward_to_control_host,
        &control_thread::on_limit_grants,
        &control_thread::forward_to_control_host,
        &control_thread::forward_to_control_host,
        &control_thread::forward_to_control_host,
        // Statements of other daemons arrive over links of the traffic thread.
        &control_thread::forward_to_control_host,
        &control_thread::forward_to_control_host,
        &control_thread::forward_to_control_host,
        &control_thread::forward_to_control_host,
        &control_thread::forward_to_control_host,
        &control_thread::forward_to_control_host,
        &control_thread::forward_to_control_host};

control_thread::control_thread(daemon_context& context)
    : context_(context), inbox_(loop_),
      links_(
          loop_,
          [this](link_id from, messages::message it) { receive(from, it); },
          [this](link_id it)
          {
              if (host_)
                  host_->link_ended(it);
          }),
      contact_(contact_settings_of(context.settings),
               std::hash<daemon_name>{}(context.settings.name),
               read_clock()),
      stop_(make_stop_schedule(context.settings.durations),
            context.settings.traffic_threads)
{
    static_assert(std::size(control_message_handlers) ==
                  std::variant_size_v<control_message>);
    static_assert(std::size(link_message_handlers) ==
                  std::variant_size_v<messages::message>);
}

daemon_error control_thread::start(bool is_joining)
{
    auto const now = read_clock();
    auto const& settings = context_.settings;
    metrics_.resize(context_.threads.size());
    for (auto const& it : settings.control_hosts)
        known_hosts_.push_back(make_host_name(it));
    // A control host in the same data centre is tried first.
    for (std::size_t n = 0; n != settings.control_hosts.size(); ++n)
        if (settings.control_hosts[n].data_centre == settings.data_centre)
            presumed_leader_index_ = n;
    lease_ = std::make_unique<lease_client>(
        context_, [this](messages::message const& it) { send_to_leader(it); },
        now);
    limits_ = std::make_unique<limit_client>(
        context_, lease_->incarnation(),
        [this](messages::message const& it) { send_to_leader(it); }, now);
    if (!open_control_api() || !open_metrics())
        return daemon_error::cannot_listen;
    if (!settings.roles.contains(settings::daemon_role::control))
        return daemon_error::none;
    if (!links_.listen(*settings.control_listen))
        return daemon_error::cannot_listen;
    control_host_outputs outputs;
    outputs.send_to_host =
        [this](consensus::host_name const& to, messages::message const& it)
    {
        links_.send(to, it);
    };
    outputs.send_to_link = [this](link_id to, messages::message const& it)
    {
        if (to == local_link)
            local_messages_.push_back(it);
        else
            links_.send(to, it);
    };
    outputs.send_to_links =
        [this](std::vector<link_id> const& to, messages::message const& it)
    {
        links_.send(to, it);
    };
    outputs.peer_found = [this](link_id it)
    {
        links_.prioritize(it);
    };
    outputs.answer_call = [this](std::uint64_t id, call_answer it)
    {
        control_api_->answer(id, std::move(it));
    };
    outputs.state_changed = [this]
    {
        state_changed_ = true;
    };
    outputs.failed = [this](storage::storage_error const& it)
    {
        LOG(ERROR) << "event=data_directory_failed file=" << it.file
                   << " offset=" << it.offset
                   << " code=" << static_cast<int>(it.code)
                   << " errno=" << it.system_error;
        error_ = daemon_error::data_directory;
    };
    auto const report = outputs.failed;
    auto host = control_host::open(context_, loop_, std::move(outputs),
                                   is_joining, now);
    if (!host)
    {
        report(host.error());
        return error_;
    }
    host_ = std::move(host.value());
    return error_;
}

bool control_thread::has_entry_role() const
{
    return context_.settings.roles.contains(settings::daemon_role::entry);
}

// Whether the presumed leader answers. A control host knows its leader from the
// consensus group.
bool control_thread::is_in_contact() const
{
    return host_ ? !host_->leader_name().empty() : contact_.is_in_contact();
}

bool control_thread::is_ready() const
{
    return stop_.phase() == stop_phase::none &&
           lease_->state().parts().rules_version > 0 &&
           (!has_entry_role() || lease_->has_held_lease());
}

bool control_thread::open_control_api()
{
    auto const& settings = context_.settings;
    auto const calls = settings.operator_listen.value_or("");
    auto const readiness = settings.readiness_listen.value_or("");
    if (!context_.adapter.calls || (calls.empty() && readiness.empty()))
        return true;
    control_api_ = std::make_unique<control_api_server>(
        loop_, *context_.adapter.calls,
        [this](std::uint64_t id, control_call const& it)
        {
            if (host_)
                host_->call(id, it, read_clock());
            else
                control_api_->answer(id, {call_outcome::unavailable, {}, {}});
        },
        [this] { return is_ready(); });
    return control_api_->listen(calls, readiness);
}

bool control_thread::open_metrics()
{
    auto const& address = context_.settings.metrics_listen;
    if (!address)
        return true;
    metrics_server_ = std::make_unique<http_server>(
        loop_,
        [this](exchange_id id, http_request const& it)
        {
            bool const is_known = it.method == "GET" && it.target == "/metrics";
            metrics_server_->respond(
                id, is_known ? http_response{200,
                                             {{"Content-Type", "text/plain"}},
                                             write_metrics(sample_metrics())}
                             : http_response{404, {}, {}});
        });
    return metrics_server_->listen(*address);
}

metrics_sample control_thread::sample_metrics() const
{
    return {sum_metrics(),
            context_.decisions->dropped(),
            lease_->state().revision(),
            is_ready(),
            host_ && host_->leader_name() == host_->self(),
            is_in_contact(),
            links_.sum_counts(),
            host_ ? host_->sample_distribution().sent : update_counts{},
            lease_->state().count_out_of_service()};
}

daemon_error control_thread::run()
{
    while (error_ == daemon_error::none && stop_.phase() != stop_phase::done)
    {
        for (auto& it : inbox_.take())
            (this->*control_message_handlers[it.index()])(it);
        auto const now = read_clock();
        switch_control_host(now);
        update_leader_reach(now);
        if (host_)
            host_->tick(now);
        if (std::exchange(state_changed_, false) &&
            host_->has_confirmed_state())
            lease_->update_state(host_->state());
        deliver_local_messages();
        // Only the entry role needs a lease, rate tokens and connection shares.
        if (has_entry_role())
        {
            lease_->tick(now);
            limits_->configure(lease_->state(), now);
            limits_->set_contact(is_in_contact());
            limits_->tick(now);
        }
        deliver_local_messages();
        process_due_console_requests(now);
        log_distribution(now);
        log_load(now);
        if (control_api_)
            control_api_->tick(now);
        advance_stop(now);
        links_.flush();
        links_.remove_closed();
        if (metrics_server_)
            metrics_server_->remove_closed();
        loop_.run_once(next_deadline());
        read_peers();
    }
    return error_;
}

void control_thread::read_peers()
{
    auto const now = read_clock();
    if (!host_ || now < next_peer_read_)
        return;
    next_peer_read_ = now + peer_read_interval;
    links_.read_prioritized();
}

instant control_thread::next_deadline() const
{
    if (!local_messages_.empty() || state_changed_)
        return instant::min();
    auto own = std::min(resends_.next(), stop_.next_deadline());
    if (!host_ && contact_.unanswered_since())
        own = std::min(own, contact_.deadline());
    if (!host_ && is_leader_reachable_)
        own = std::min(own, contact_.reachable_until());
    if (has_entry_role())
        own =
            std::min({own, lease_->next_deadline(), limits_->next_deadline()});
    if (control_api_)
        own = std::min(own, control_api_->next_deadline());
    return host_ ? std::min(own, host_->next_deadline()) : own;
}

void control_thread::receive(link_id from, messages::message& it)
{
    ++received_messages_[it.index()];
    (this->*link_message_handlers[it.index()])(from, it);
}

// Handles messages of this daemon to itself. They are queued, so that no
// handler is called while their sender is still on the stack.
void control_thread::deliver_local_messages()
{
    for (auto& it : std::exchange(local_messages_, {}))
        receive(local_link, it);
}

consensus::host_name control_thread::presumed_leader() const
{
    if (host_ && !host_->leader_name().empty())
        return host_->leader_name();
    return known_hosts_[presumed_leader_index_];
}

void control_thread::send_to_leader(messages::message const& it)
{
    auto const leader = presumed_leader();
    if (host_ && leader == host_->self())
        return local_messages_.push_back(it);
    links_.send(leader, it);
    if (expects_answer(it))
        contact_.record_message(read_clock());
}

void control_thread::log_contact(bool was_in_contact)
{
    if (!was_in_contact)
        LOG(INFO) << "event=control_reached host=" << presumed_leader().str();
}

void control_thread::switch_control_host(instant now)
{
    if (host_ || now < contact_.deadline())
        return;
    auto const leader = presumed_leader();
    auto const* const link = links_.find(leader);
    if (auto const at =
            link != nullptr ? link->partial_message_at() : std::nullopt)
        contact_.record_progress(*at);
    if (now < contact_.deadline())
        return;
    if (contact_.is_in_contact())
    {
        auto const counts = link != nullptr ? link->counts() : link_counts{};
        LOG(WARNING) << "event=control_lost host=" << leader.str()
                     << " unanswered_ms="
                     << milliseconds(now -
                                     contact_.unanswered_since().value_or(now))
                     << " since_grant_ms="
                     << milliseconds(now - lease_->last_grant())
                     << " revision=" << lease_->state().revision()
                     << " bytes_received=" << counts.bytes_received
                     << " bytes_queued=" << counts.bytes_queued;
    }
    contact_.record_switch(now, known_hosts_.size());
    // A lost host accepts no new link, so it is given up without one.
    given_up_host_ =
        link != nullptr && link->is_open() ? leader : consensus::host_name();
    // The link may no longer deliver anything although a new one would work.
    links_.disconnect(leader);
    presumed_leader_index_ = (presumed_leader_index_ + 1) % known_hosts_.size();
    on_leader_changed(now);
}

// Tells the traffic threads whether the leader can be reached. A control host
// knows its leader from the consensus group.
void control_thread::update_leader_reach(instant now)
{
    auto const* const link = links_.find(presumed_leader());
    contact_.record_link(link != nullptr && link->is_open(), now);
    bool const is_reachable = host_ ? !host_->leader_name().empty()
                                    : now < contact_.reachable_until();
    if (std::exchange(is_leader_reachable_, is_reachable) == is_reachable)
        return;
    LOG(INFO) << "event=leader_reach reachable=" << is_reachable
              << " host=" << presumed_leader().str();
    for (auto* thread : context_.threads)
        thread->post(
            traffic::event(traffic::leader_reach_changed{is_reachable}));
}

// The other control host knows nothing of what the earlier one was asked for.
void control_thread::on_leader_changed(instant now)
{
    lease_->leader_changed();
    limits_->change_allocator(now);
}

void control_thread::forward_to_control_host(link_id from,
                                             messages::message& it)
{
    if (host_)
        host_->receive(from, it);
}

void control_thread::on_lease_grant(link_id /*from*/, messages::message& it)
{
    log_contact(contact_.is_in_contact());
    contact_.record_grant(read_clock());
    lease_->receive(std::get<control::grant_lease>(it));
}

void control_thread::on_state_update(link_id /*from*/, messages::message& it)
{
    if (!host_)
        lease_->receive(std::get<control::state_update>(it));
}

void control_thread::on_not_leader(link_id /*from*/, messages::message& it)
{
    auto const& leader = std::get<messages::not_leader>(it).leader;
    consensus::host_name const name(leader.str());
    if (host_)
        return;
    if (name.empty())
        return contact_.record_no_leader();
    // Each of several unanswered messages is redirected.
    if (name == presumed_leader())
        return;
    auto const found =
        std::find(known_hosts_.begin(), known_hosts_.end(), name);
    presumed_leader_index_ =
        static_cast<std::size_t>(found - known_hosts_.begin());
    // The leader may have joined after this daemon read its settings.
    if (found == known_hosts_.end())
        known_hosts_.push_back(name);
    auto const now = read_clock();
    contact_.record_redirect(now, name == given_up_host_);
    on_leader_changed(now);
}

void control_thread::on_admin_reply(link_id /*from*/, messages::message& it)
{
    auto& reply = std::get<messages::admin_reply>(it);
    auto const id = reply.id;
    answer_console_request(id, std::move(reply));
}

void control_thread::on_limit_grants(link_id /*from*/, messages::message& it)
{
    log_contact(contact_.is_in_contact());
    contact_.record_answer(read_clock());
    limits_->receive(std::get<messages::limit_grants>(it), read_clock());
}

void control_thread::on_view_adopted(control_message& it)
{
    lease_->receive(std::get<view_adopted>(it));
}

void control_thread::on_term_ended(control_message& it)
{
    lease_->receive(std::get<traffic::term_ended>(it));
}

void control_thread::on_token_request(control_message& it)
{
    limits_->receive(std::get<limits::token_request>(it), read_clock());
}

void control_thread::on_connections_used(control_message& it)
{
    limits_->receive(std::get<traffic::connections_used>(it), read_clock());
}

void control_thread::on_server_reachability(control_message& it)
{
    auto const& reach = std::get<traffic::server_reachability>(it);
    send_to_leader(control::reach_report{context_.settings.name, reach.server,
                                         reach.is_reachable});
}

void control_thread::on_metrics_published(control_message& it)
{
    auto& published = std::get<metrics_published>(it);
    metrics_[published.thread] = std::move(published.metrics);
}

void control_thread::on_console_request(control_message& it)
{
    auto& request = std::get<console_request>(it);
    auto const id = ++last_console_request_id_;
    auto const parsed = admin::parse_command(request.text);
    auto const now = read_clock();
    console_requests_[id] = {std::move(request), now + console_timeout};
    if (!parsed)
        return answer_console_request(
            id, make_error("42601", admin::to_string(parsed.error())));
    if (auto const* withdraw =
            std::get_if<admin::withdraw_key>(&parsed.value()))
        lease_->deny_key(withdraw->digest);
    if (auto const* show = std::get_if<admin::show>(&parsed.value());
        show != nullptr && show->subject == admin::show_subject::metrics)
        return answer_console_request(id, show_metrics());
    if (std::holds_alternative<admin::stop>(parsed.value()))
    {
        answer_console_request(
            id, make_reply(encode(admin::change_answer{
                    admin::change_outcome::accepted, 0, {}, {}, {}})));
        return stop_.request(read_clock());
    }
    send_console_request(id);
}

void control_thread::send_console_request(std::uint64_t id)
{
    send_to_leader(
        messages::admin_request{id, console_requests_.at(id).request.text});
    resends_.set(id, read_clock() + console_resend_interval);
}

void control_thread::process_due_console_requests(instant now)
{
    while (auto const id = resends_.pop_due(now))
    {
        if (console_requests_.at(*id).deadline <= now)
            answer_console_request(*id, make_error("08007",
                                                   "no control host has "
                                                   "answered; the outcome is "
                                                   "unknown"));
        else
            send_console_request(*id);
    }
}

void control_thread::answer_console_request(std::uint64_t id,
                                            messages::admin_reply reply)
{
    auto const found = console_requests_.find(id);
    if (found == console_requests_.end())
        return;
    auto const& request = found->second.request;
    context_.threads[request.thread]->post(
        console_reply{request.session, std::move(reply)});
    resends_.erase(id);
    console_requests_.erase(found);
}

traffic_metrics control_thread::sum_metrics() const
{
    traffic_metrics sum;
    for (auto const& it : metrics_)
    {
        sum.clients += it.clients;
        sum.counts += it.counts;
        sum.forwarded += it.forwarded;
        sum.reads += it.reads;
        sum.writes += it.writes;
        sum.buffers += it.buffers;
    }
    return sum;
}

messages::admin_reply control_thread::show_metrics() const
{
    std::vector<admin::metric_row> rows;
    auto const sum = sum_metrics();
    auto const add = [&rows](char const* name, std::string labels, auto value)
    {
        rows.push_back({name, std::move(labels), std::to_string(value)});
    };
    add("clients", "", sum.clients);
    add("sessions", "", sum.counts.sessions);
    add("server_connections", "", sum.counts.connections);
    add("server_connections_opened_total", "", sum.counts.connections_opened);
    add("silent_connections_total", "", sum.counts.silent_connections);
    add("reads_total", "server=replica", sum.counts.reads_at_replicas);
    add("reads_total", "server=primary", sum.counts.reads_at_primaries);
    add("writes_total", "", sum.counts.writes);
    add("refused_total", "outcome=not_run", sum.counts.refused_not_run);
    add("refused_total", "outcome=unknown", sum.counts.outcome_unknown);
    add("statements_forwarded_total", "", sum.counts.forwarded);
    add("statements_received_total", "", sum.counts.received);
    add("statements_kept_total", "reason=rejected",
        sum.counts.local_after_rejection);
    add("statements_kept_total", "reason=undelivered",
        sum.counts.local_after_undelivered);
    add("statements_kept_total", "reason=lost", sum.counts.local_after_loss);
    add("statements_kept_total", "reason=limit", sum.counts.local_above_limit);
    add("decisions_dropped_total", "", context_.decisions->dropped());
    auto const add_times =
        [&rows](char const* name, telemetry::latency_histogram const& it)
    {
        for (auto const& [label, fraction] :
             {std::pair("quantile=0.5", 0.5), std::pair("quantile=0.99", 0.99)})
            rows.push_back({name, label, milliseconds(it.quantile(fraction))});
        rows.push_back({name, "count", std::to_string(it.count())});
    };
    add_times("read_ms", sum.reads);
    add_times("write_ms", sum.writes);
    add_times("forwarded_ms", sum.forwarded);
    return make_reply(encode(rows));
}

// Tells apart a change that was sent late from one that was sent and is waiting
// in the queue of a link, and from one that has arrived and is not adopted.
void control_thread::log_distribution(instant now)
{
    if (!host_ || now < next_distribution_line_)
        return;
    auto const sample = host_->sample_distribution();
    if (sample == logged_distribution_)
        return;
    next_distribution_line_ = now + distribution_line_interval;
    logged_distribution_ = sample;
    auto const leases = sample.leases.value_or(control::lease_counts{});
    auto const links = links_.sum_counts();
    LOG(INFO) << "event=state_distribution revision=" << sample.revision
              << " leading=" << sample.leases.has_value()
              << " daemons=" << leases.registered << " leases=" << leases.leased
              << " lowest_confirmed=" << leases.lowest_confirmed
              << " updates=" << sample.sent.updates
              << " snapshots=" << sample.sent.snapshots
              << " bytes_sent=" << links.bytes_sent
              << " bytes_received=" << links.bytes_received
              << " bytes_queued=" << links.bytes_queued
              << " backlog_ms=" << milliseconds(links.backlog)
              << " messages_dropped=" << links.messages_dropped;
}

// Tells which kind of message takes the leader's time. A leader whose processor
// time is used up answers late, which daemons cannot tell from a lost one.
void control_thread::log_load(instant now)
{
    if (!host_ || host_->leader_name() != host_->self() ||
        now < next_load_line_)
        return;
    next_load_line_ = now + load_line_interval;
    auto const since_last = [this](std::size_t kind)
    {
        return received_messages_[kind] - logged_messages_[kind];
    };
    std::ostringstream line;
    for (auto const& [kind, name] : logged_kinds)
        line << ' ' << name << '=' << since_last(kind);
    auto const counts = host_->limit_counts();
    line << " token_requests=" << counts.tokens - logged_limits_.tokens
         << " share_requests=" << counts.shares - logged_limits_.shares
         << " repeated=" << counts.repeated - logged_limits_.repeated;
    logged_limits_ = counts;
    LOG(INFO) << "event=leader_load" << line.str();
    logged_messages_ = received_messages_;
}

void control_thread::on_stop_requested(control_message& /*it*/)
{
    stop_.request(read_clock());
}

// Adds the new control hosts of the settings file. Known ones are not removed:
// the file can be older than what control hosts have reported since.
void control_thread::on_reload_requested(control_message& /*it*/)
{
    auto loaded = settings::load_daemon_settings(context_.settings_file);
    if (!loaded)
    {
        for (auto const& it : loaded.error())
            LOG(WARNING) << "event=reload outcome=refused error="
                         << settings::to_string(it);
        return;
    }
    auto const plan = plan_reload(context_.settings, std::move(loaded.value()));
    for (auto const& it : plan.new_hosts)
    {
        auto const name = make_host_name(it);
        if (std::find(known_hosts_.begin(), known_hosts_.end(), name) ==
            known_hosts_.end())
            known_hosts_.push_back(name);
    }
    LOG(INFO) << "event=reload outcome=applied new_control_hosts="
              << plan.new_hosts.size()
              << " needs_restart=" << plan.needs_restart;
}

void control_thread::on_thread_drained(control_message& /*it*/)
{
    stop_.record_drained_thread();
}

void control_thread::advance_stop(instant now)
{
    while (auto const phase = stop_.advance(now))
        enter(*phase, now);
}

void control_thread::enter(stop_phase it, instant now)
{
    auto const& row = stop_phase_rows[static_cast<std::size_t>(it)];
    LOG(INFO) << "event=" << row.event;
    if (row.stage != traffic::drain_stage::none)
        for (auto* thread : context_.threads)
            thread->post(drain_requested{row.stage});
    if (it != stop_phase::done)
        return;
    lease_->stop();
    if (has_entry_role())
        lease_->tick(now);
    deliver_local_messages();
}

} // namespace basilreach::daemon
