#include <basilreach/daemon/control_host.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <sstream>
#include <utility>

#include <easylogging++.h>

#include <basilreach/daemon/libpq_promotion_client.hpp>
#include <basilreach/daemon/line_promotion_client.hpp>
#include <basilreach/daemon/view_builder.hpp>
#include <basilreach/messages/codec.hpp>
#include <basilreach/rules/digest.hpp>
#include <basilreach/storage/identity.hpp>

#include "admin_replies.hpp"

namespace basilreach::daemon
{

namespace
{

// Applied entries after which a snapshot replaces the log.
constexpr std::uint64_t compaction_interval = 1000;

// Bytes of applied entries after which a snapshot replaces the log. The log is
// also held in memory.
constexpr std::size_t compaction_bytes = std::size_t{4} << 20U;

// Batches of requests for tokens and shares that one tick handles. Leases,
// updates and heartbeats wait for the end of the tick.
constexpr std::size_t max_batches_per_tick = 16;

// Interval at which the leader checks whether the membership should change.
constexpr duration membership_check_interval = std::chrono::milliseconds(200);

// Interval at which a host that knows no leader asks to join.
constexpr duration join_request_interval = std::chrono::milliseconds(500);

consensus::host_name configured_name(settings::daemon_settings const& it)
{
    for (auto const& host : it.control_hosts)
        if (host.name == it.name || host.address == it.control_listen)
            return make_host_name(host);
    return consensus::host_name(it.name.str() + '=' +
                                it.control_listen.value_or(""));
}

// The name of a host that joins an existing cluster with an empty data
// directory. The start time in it distinguishes the host from the member that
// it was with an earlier disk.
consensus::host_name replacement_name(settings::daemon_settings const& it)
{
    auto const started = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return consensus::host_name(it.name.str() + '.' +
                                std::to_string(started.count()) + '=' +
                                it.control_listen.value_or(""));
}

std::vector<consensus::host_name>
to_hosts(std::vector<std::string> const& names)
{
    std::vector<consensus::host_name> out;
    out.reserve(names.size());
    for (auto const& it : names)
        out.emplace_back(it);
    return out;
}

std::vector<std::string>
to_strings(std::vector<consensus::host_name> const& names)
{
    std::vector<std::string> out;
    out.reserve(names.size());
    for (auto const& it : names)
        out.push_back(it.str());
    return out;
}

storage::snapshot to_stored(consensus::snapshot const& it)
{
    return {it.index, it.term, to_strings(it.members.voters),
            to_strings(it.members.learners), it.state};
}

consensus::durable_state to_durable(storage::contents contents)
{
    consensus::durable_state out;
    out.hard = {contents.hard.term, consensus::host_name(contents.hard.vote)};
    if (contents.base)
        out.base = {contents.base->index,
                    contents.base->term,
                    {to_hosts(contents.base->voters),
                     to_hosts(contents.base->learners)},
                    std::move(contents.base->state)};
    for (auto& it : contents.entries)
        out.entries.push_back({it.index, it.term,
                               static_cast<consensus::entry_kind>(it.kind),
                               std::move(it.payload)});
    return out;
}

// The first snapshot of a new cluster. Its voters are the control hosts of the
// settings.
consensus::snapshot make_first_snapshot(settings::daemon_settings const& it)
{
    std::vector<consensus::host_name> voters;
    for (auto const& host : it.control_hosts)
        voters.push_back(make_host_name(host));
    return consensus::first_snapshot(std::move(voters),
                                     messages::encode_parts({}));
}

consensus::member_settings
to_member_settings(settings::daemon_settings const& it,
                   consensus::host_name self)
{
    consensus::member_settings out;
    out.seed = std::hash<consensus::host_name>{}(self);
    out.self = std::move(self);
    out.election_timeout_min = it.durations.election_timeout_min;
    out.election_timeout_max = it.durations.election_timeout_max;
    out.heartbeat = it.durations.heartbeat;
    return out;
}

control::leader_settings to_leader_settings(settings::daemon_settings const& it)
{
    control::leader_settings out;
    out.leases.lease = it.durations.control_lease;
    out.leases.renewal = it.durations.lease_renewal;
    out.step_down_timeout = it.durations.election_timeout_max;
    return out;
}

control::membership_settings
membership_settings_of(settings::daemon_settings const& it)
{
    control::membership_settings out;
    out.tolerated_losses = it.tolerated_losses;
    return out;
}

std::unique_ptr<promotion_client>
make_promotion_client(event_loop& loop,
                      daemon_context const& context,
                      promotion_client::input_handler on_input)
{
    if (context.settings.protocol == settings::statement_protocol::lines)
        return std::make_unique<line_promotion_client>(
            loop, context.settings, context.adapter, std::move(on_input));
    return std::make_unique<libpq_promotion_client>(
        loop, context.settings, context.credential, std::move(on_input));
}

call_outcome outcome_of(control::command_answer const& it)
{
    return std::holds_alternative<control::refused>(it) ? call_outcome::invalid
                                                        : call_outcome::done;
}

// Logs a command that changes the rules, a server, a verdict or the service of
// a data centre. Other commands, such as the registration of a daemon, are not
// logged.
void log_applied(std::uint64_t index,
                 control::command const& it,
                 call_outcome outcome)
{
    auto const* const result =
        outcome == call_outcome::done ? "applied" : "refused";
    if (auto const* rules = std::get_if<control::offer_rules>(&it.body))
        LOG(INFO) << "event=rules_offered revision=" << index
                  << " version=" << rules->version
                  << " bytes=" << rules->text.size() << " outcome=" << result;
    else if (auto const* server =
                 std::get_if<control::announce_server>(&it.body))
        LOG(INFO) << "event=server_reported revision=" << index
                  << " server=" << server->server.str()
                  << " group=" << server->group.str()
                  << " address=" << server->address
                  << " incarnation=" << server->incarnation
                  << " sequence=" << server->sequence
                  << " role=" << static_cast<int>(server->role)
                  << " leaving=" << server->is_leaving << " outcome=" << result;
    else if (auto const* verdict =
                 std::get_if<control::report_verdict>(&it.body))
        LOG(INFO) << "event=verdict revision=" << index
                  << " server=" << verdict->server.str()
                  << " value=" << static_cast<int>(verdict->value)
                  << " by=" << it.author << " outcome=" << result;
    else if (auto const* removal =
                 std::get_if<control::remove_server>(&it.body))
        LOG(INFO) << "event=server_removed revision=" << index
                  << " server=" << removal->server.str()
                  << " outcome=" << result;
    else if (auto const* service =
                 std::get_if<control::set_data_centre_service>(&it.body))
        LOG(INFO) << "event=data_centre_service revision=" << index
                  << " data_centre=" << service->data_centre.str()
                  << " in_service=" << service->in_service
                  << " by=" << it.author << " outcome=" << result;
}

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

// Indexed by the alternatives of messages::message.
control_host::handler const control_host::handlers[] = {
    &control_host::on_lease_renewal,      &control_host::on_lease_returned,
    &control_host::on_unexpected_message, &control_host::on_subscribe,
    &control_host::on_unexpected_message, &control_host::on_unexpected_message,
    &control_host::on_admin_request,      &control_host::on_unexpected_message,
    &control_host::on_limit_requests,     &control_host::on_unexpected_message,
    &control_host::on_peer_message,       &control_host::on_join_request,
    &control_host::on_reach_report,       &control_host::on_unexpected_message,
    &control_host::on_unexpected_message, &control_host::on_unexpected_message,
    &control_host::on_unexpected_message, &control_host::on_unexpected_message,
    &control_host::on_unexpected_message, &control_host::on_unexpected_message};

// Indexed by the alternatives of control::leader_output.
control_host::output_handler const control_host::output_handlers[] = {
    &control_host::on_propose,         &control_host::on_lease_grant,
    &control_host::on_query_positions, &control_host::on_promote,
    &control_host::on_change_in_force, &control_host::on_promotion_decision};

control_host::open_result control_host::open(daemon_context const& context,
                                             event_loop& loop,
                                             control_host_outputs outputs,
                                             bool is_joining,
                                             instant now)
{
    storage::store_settings settings;
    settings.directory = *context.settings.data_directory;
    auto store =
        storage::store::open(settings, storage::posix_file_operations());
    if (!store)
        return store.error();
    auto contents = store.value().take_contents();
    auto const identity = storage::load_identity(
        storage::posix_file_operations(), settings.directory,
        is_joining && !context.settings.seeds.empty()
            ? replacement_name(context.settings).str()
            : configured_name(context.settings).str());
    if (!identity)
        return identity.error();
    std::unique_ptr<control_host> host(new control_host(
        context, loop, std::move(outputs),
        consensus::host_name(identity.value()), std::move(store.value())));
    host->start(std::move(contents), is_joining, now);
    return host;
}

control_host::control_host(daemon_context const& context,
                           event_loop& loop,
                           control_host_outputs outputs,
                           consensus::host_name self,
                           storage::store store)
    : context_(context), outputs_(std::move(outputs)), self_(std::move(self)),
      store_(std::move(store)),
      state_(std::make_unique<control::control_state>(context.rules)),
      promotion_client_(
          make_promotion_client(loop,
                                context,
                                [this](control::leader_input it)
                                { leader_inputs_.push_back(std::move(it)); }))
{
    static_assert(std::size(handlers) ==
                  std::variant_size_v<messages::message>);
    static_assert(std::size(output_handlers) ==
                  std::variant_size_v<control::leader_output>);
}

void control_host::start(storage::contents contents,
                         bool is_joining,
                         instant now)
{
    now_ = now;
    next_join_request_ =
        context_.settings.seeds.empty() ? never : now + join_request_interval;
    auto durable = to_durable(std::move(contents));
    bool const is_new = durable.base.members.voters.empty() &&
                        durable.entries.empty() && durable.hard.term == 0;
    if (is_new && !is_joining)
    {
        durable.base = make_first_snapshot(context_.settings);
        if (auto const done = store_.install(to_stored(durable.base)); !done)
            return outputs_.failed(done.error());
    }
    if (!durable.base.state.empty())
        install_snapshot(durable.base);
    compacted_index_ = durable.base.index;
    applied_index_ = durable.base.index;
    member_ = std::make_unique<consensus::member>(
        to_member_settings(context_.settings, self_), std::move(durable), now);
}

void control_host::receive(link_id from, messages::message const& it)
{
    now_ = read_clock();
    (this->*handlers[it.index()])(from, it);
}

// Sends a daemon the leader's name when this host does not lead. Returns
// whether it did.
bool control_host::redirect(link_id from)
{
    if (leader_)
        return false;
    // A host that has been elected leads once it has applied the first entry of
    // its term. The daemon repeats its request.
    if (leader_name() == self_)
        return true;
    outputs_.send_to_link(
        from, messages::not_leader{daemon_name(leader_name().str())});
    return true;
}

// Records the link over which a daemon is answered. Returns false for a link
// that is older than the daemon's latest one: what arrives over it is late, and
// may have been sent by an earlier process.
bool control_host::record_link(daemon_name const& daemon, link_id link)
{
    auto& latest = daemon_links_.try_emplace(daemon, link).first->second;
    if (link < latest)
        return false;
    latest = link;
    return true;
}

void control_host::on_lease_renewal(link_id from, messages::message const& it)
{
    if (redirect(from))
        return;
    auto const& renewal = std::get<control::lease_renewal>(it);
    if (record_link(renewal.daemon, from))
        leader_inputs_.emplace_back(renewal);
}

void control_host::on_lease_returned(link_id /*from*/,
                                     messages::message const& it)
{
    if (leader_)
        leader_inputs_.emplace_back(std::get<control::lease_returned>(it));
}

void control_host::link_ended(link_id it)
{
    feed_.remove(it);
    // Nobody would get the answer.
    std::erase_if(waiting_batches_, [it](waiting_batch const& batch)
                  { return batch.link == it; });
}

void control_host::on_subscribe(link_id from, messages::message const& it)
{
    feed_.subscribe(from, std::get<messages::subscribe>(it));
    send_updates();
}

void control_host::on_limit_requests(link_id from, messages::message const& it)
{
    auto const& batch = std::get<messages::limit_requests>(it);
    limit_counts_.tokens += batch.tokens.size();
    limit_counts_.shares += batch.shares.size();
    limit_counts_.repeated += batch.repeated;
    if (limits_)
        waiting_batches_.push_back({from, batch});
}

// Handles what has waited longest. Requests for tokens and shares come after
// renewals and updates: a host that gets tokens late refuses some statements,
// and one that gets its lease late refuses all of them.
void control_host::handle_limit_requests()
{
    for (std::size_t n = 0;
         n != max_batches_per_tick && !waiting_batches_.empty(); ++n)
    {
        auto const it = std::move(waiting_batches_.front());
        waiting_batches_.pop_front();
        if (record_link(it.requests.holder, it.link))
            limits_->receive(it.requests, now_);
    }
}

void control_host::on_unexpected_message(link_id /*from*/,
                                         messages::message const& it)
{
    LOG(WARNING) << "event=unexpected_message kind=" << it.index();
}

void control_host::on_reach_report(link_id /*from*/,
                                   messages::message const& it)
{
    if (!monitor_)
        return;
    auto const& report = std::get<control::reach_report>(it);
    if (!monitor_->receive(report, now_))
        return;
    LOG(INFO) << "event=server_reach daemon=" << report.daemon.str()
              << " server=" << report.server.str()
              << " reachable=" << report.is_reachable;
}

void control_host::on_join_request(link_id /*from*/,
                                   messages::message const& it)
{
    auto request = std::get<messages::join_request>(it);
    if (membership_manager_)
        return membership_manager_->record_join_request(request.host, now_);
    if (std::exchange(request.is_forwarded, true) || leader_name().empty())
        return;
    outputs_.send_to_host(leader_name(), request);
}

// A host that knows no leader may have been replaced by another one, or may
// have lost its disk. A request by a host that is still a member does no harm.
void control_host::request_to_join()
{
    next_join_request_ =
        context_.settings.seeds.empty() ? never : now_ + join_request_interval;
    if (next_join_request_ == never || !leader_name().empty())
        return;
    for (auto const& host : context_.settings.control_hosts)
        if (auto const name = make_host_name(host); name != self_)
            outputs_.send_to_host(name, messages::join_request{self_, false});
}

void control_host::on_peer_message(link_id from, messages::message const& it)
{
    outputs_.peer_found(from);
    if (membership_manager_)
        membership_manager_->record_contact(
            std::get<consensus::peer_message>(it).from, now_);
    run_step(member_->receive(std::get<consensus::peer_message>(it), now_));
}

// Whether no other host can have acknowledged a change that the state lacks.
bool control_host::has_current_state() const
{
    return leader_ && now_ < member_->leader_until();
}

instant control_host::next_update() const
{
    return has_current_state() ? feed_.next_deadline(*state_) : never;
}

// Sends updates only while the state is current. A daemon takes what it gets
// for the state in force, and refuses clients by it.
void control_host::send_updates()
{
    if (!has_current_state())
        return;
    for (auto const& it : feed_.collect_updates(*state_, now_))
        outputs_.send_to_links(it.links, it.update);
}

bool control_host::persist(consensus::step_result const& step)
{
    if (step.install)
    {
        if (auto const done = store_.install(to_stored(*step.install)); !done)
        {
            outputs_.failed(done.error());
            return false;
        }
        install_snapshot(*step.install);
        compacted_index_ = step.install->index;
        applied_index_ = step.install->index;
        outputs_.state_changed();
    }
    storage::write_batch batch;
    if (step.hard)
        batch.hard = {step.hard->term, step.hard->vote.str()};
    batch.truncate_from = step.truncate_from;
    for (auto const& it : step.append)
        batch.append.push_back({it.index, it.term,
                                static_cast<std::uint8_t>(it.kind),
                                it.payload});
    if (batch == storage::write_batch{})
        return true;
    if (auto const done = store_.write(batch); !done)
    {
        outputs_.failed(done.error());
        return false;
    }
    return true;
}

void control_host::run_step(consensus::step_result step)
{
    if (!persist(step))
        return;
    for (auto const& it : step.send)
        outputs_.send_to_host(it.to, it);
    if (step.role)
        handle_role_change(*step.role);
    bool const has_commands = !step.apply.empty();
    for (auto const& it : step.apply)
        apply(it);
    for (auto const& it : step.reads)
        answer_read(it);
    if (!has_confirmed_state_ && member_->is_caught_up())
    {
        has_confirmed_state_ = true;
        outputs_.state_changed();
    }
    if (!has_commands)
        return;
    if (limits_)
        limits_->configure(*state_, now_);
    send_updates();
    outputs_.state_changed();
    compact();
}

void control_host::install_snapshot(consensus::snapshot const& it)
{
    auto const parts = messages::decode_parts(it.state);
    if (!parts)
        return outputs_.failed(
            {storage::storage_errc::corrupted, "snapshot", 0, 0});
    auto state = control::control_state::restore(parts.value(), context_.rules);
    if (!state)
        return outputs_.failed(
            {storage::storage_errc::corrupted, "snapshot", 0, 0});
    // Assigned in place, as control::leader refers to the state. Only a host
    // that does not lead installs a snapshot.
    *state_ = std::move(state.value());
    feed_.record(*state_);
}

void control_host::apply(consensus::log_entry const& entry)
{
    applied_index_ = entry.index;
    applied_bytes_ += entry.payload.size();
    auto const pending = pending_proposals_.find({entry.index, entry.term});
    std::optional<messages::admin_reply> reply;
    auto outcome = call_outcome::unavailable;
    if (entry.kind == consensus::entry_kind::command)
    {
        auto const it = messages::decode_command(entry.payload);
        if (!it)
            return outputs_.failed(
                {storage::storage_errc::corrupted, "log", entry.index, 0});
        auto const answered = state_->apply(entry.index, it.value());
        outcome = outcome_of(answered);
        log_applied(entry.index, it.value(), outcome);
        feed_.record(*state_);
        if (leader_)
            leader_inputs_.emplace_back(
                control::committed{entry.index, it.value(), answered});
        reply = make_reply(it.value(), answered);
    }
    else
        reply = make_reply(encode(admin::change_answer{
            admin::change_outcome::accepted, entry.index, {}, {}, {}}));
    if (pending != pending_proposals_.end())
    {
        if (pending->second.is_call)
            outputs_.answer_call(pending->second.id, {outcome, {}, {}});
        else
            answer(pending->second, *reply);
        pending_proposals_.erase(pending);
    }
    auto const role = member_->state();
    if (!leader_ && role.role == consensus::member_role::leader &&
        entry.term == role.term)
        start_leading();
}

void control_host::handle_role_change(consensus::role_state const& role)
{
    LOG(INFO) << "event=control_role term=" << role.term
              << " role=" << static_cast<int>(role.role)
              << " leader=" << role.leader.str();
    if (role.role == consensus::member_role::leader)
    {
        elected_at_ = now_;
        return;
    }
    leader_.reset();
    limits_.reset();
    waiting_batches_.clear();
    monitor_.reset();
    membership_manager_.reset();
    leader_inputs_.clear();
    next_membership_check_ = never;
    refuse_pending();
}

void control_host::start_leading()
{
    leader_ = std::make_unique<control::leader>(
        *state_, to_leader_settings(context_.settings), elected_at_);
    // Grants go to registered daemons only. When none is registered, no earlier
    // leader can have granted anything.
    limits_ = std::make_unique<limit_leader>(
        context_.settings, member_->state().term,
        state_->parts().daemons.empty(),
        [this](daemon_name const& to, messages::message const& it)
        {
            auto const link = daemon_links_.find(to);
            if (link != daemon_links_.end())
                outputs_.send_to_link(link->second, it);
        },
        now_);
    limits_->configure(*state_, now_);
    monitor_ = std::make_unique<control::server_monitor>(
        *state_,
        control::monitor_settings{context_.settings.durations.server_silence},
        now_);
    if (!context_.settings.seeds.empty())
        membership_manager_ = std::make_unique<control::membership_manager>(
            membership_settings_of(context_.settings), self_, now_);
    next_membership_check_ = now_ + membership_check_interval;
    if (state_->parts().rules_version == 0 &&
        context_.settings.initial_rules_file)
        propose_initial_rules();
}

void control_host::propose_initial_rules()
{
    auto const text = read_file(*context_.settings.initial_rules_file);
    control::command it{control::change_id(rules::change_id_of(0, text)),
                        "initial_rules_file", control::apply_rules{0, text}};
    queue_command(it);
}

void control_host::compact()
{
    if (applied_index_ < compacted_index_ + compaction_interval &&
        applied_bytes_ < compaction_bytes)
        return;
    applied_bytes_ = 0;
    consensus::snapshot base;
    base.index = applied_index_;
    base.term = member_->term_at(applied_index_);
    base.members = member_->members_at(applied_index_);
    base.state = messages::encode_parts(state_->parts());
    if (auto const done = store_.compact(to_stored(base)); !done)
        return outputs_.failed(done.error());
    member_->compact(std::move(base));
    compacted_index_ = applied_index_;
}

void control_host::check_membership()
{
    next_membership_check_ = now_ + membership_check_interval;
    if (membership_manager_)
    {
        auto const change =
            membership_manager_->next_change(member_->members(), now_);
        if (!change)
            return;
        constexpr std::array steps = {&consensus::member::add_learner,
                                      &consensus::member::promote,
                                      &consensus::member::remove};
        auto const step = steps.at(static_cast<std::size_t>(change->step));
        LOG(INFO) << "event=membership_change step="
                  << static_cast<int>(change->step)
                  << " host=" << change->host.str()
                  << " voters=" << member_->members().voters.size();
        return run_step((member_.get()->*step)(change->host, now_));
    }
    // A host that an operator added becomes a voter once it has caught up. Only
    // one membership change can be in progress, so others wait for the next
    // check.
    if (!member_->members().learners.empty())
        run_step(member_->promote(member_->members().learners.front(), now_));
}

distribution_sample control_host::sample_distribution() const
{
    return {state_->revision(),
            leader_ ? std::optional(leader_->leases()) : std::nullopt,
            feed_.counts()};
}

void control_host::tick(instant now)
{
    now_ = now;
    if (member_->next_deadline() <= now)
        run_step(member_->tick(now));
    if (next_membership_check_ <= now)
        check_membership();
    if (next_join_request_ <= now)
        request_to_join();
    promotion_client_->tick(now);
    // Commands that arrived before this host lost its leadership are refused.
    propose_queued();
    if (!leader_)
        return;
    send_updates();
    for (auto& it : std::exchange(leader_inputs_, {}))
        leader_->receive(std::move(it));
    for (auto const& it : leader_->tick(now))
    {
        // Handling an output can end the leadership, e.g. when a write fails.
        if (!leader_)
            return;
        (this->*output_handlers[it.index()])(it);
    }
    if (monitor_)
        for (auto const& it : monitor_->tick(now))
            queue_command({{}, "monitor", it});
    propose_queued();
    if (!limits_)
        return;
    handle_limit_requests();
    limits_->tick(member_->leader_until(), now);
}

instant control_host::next_deadline() const
{
    if (!queued_commands_.empty() || !waiting_batches_.empty() ||
        (leader_ && !leader_inputs_.empty()))
        return instant::min();
    auto const own =
        std::min({member_->next_deadline(), next_membership_check_,
                  next_join_request_, promotion_client_->next_deadline()});
    if (!leader_)
        return own;
    return std::min({own, leader_->next_deadline(), limits_->next_deadline(),
                     monitor_->next_deadline(), next_update()});
}

void control_host::on_propose(control::leader_output const& it)
{
    queue_command(std::get<control::propose>(it).entry);
}

void control_host::on_lease_grant(control::leader_output const& it)
{
    auto const& grant = std::get<control::grant_lease>(it);
    auto const link = daemon_links_.find(grant.daemon);
    if (link != daemon_links_.end())
        outputs_.send_to_link(link->second, grant);
}

void control_host::on_query_positions(control::leader_output const& it)
{
    auto const& query = std::get<control::query_positions>(it);
    for (auto const& server : query.servers)
        if (auto const* entry = state_->find(server))
            promotion_client_->query_position(server, *entry, query.round);
}

void control_host::on_promote(control::leader_output const& it)
{
    auto const& order = std::get<control::promote>(it);
    if (auto const* entry = state_->find(order.server))
        promotion_client_->promote(order, *entry);
}

void control_host::on_change_in_force(control::leader_output const& it)
{
    auto const& change = std::get<control::change_in_force>(it);
    LOG(INFO) << "event=change_in_force revision=" << change.revision
              << " elapsed_us="
              << std::chrono::duration_cast<std::chrono::microseconds>(
                     change.elapsed)
                     .count();
}

void control_host::on_promotion_decision(control::leader_output const& it)
{
    auto const& decision = std::get<control::promotion_decision>(it);
    telemetry::decision_record record;
    record.decision = "place";
    record.reason = control::to_string(decision.reason);
    record.group = decision.group;
    if (decision.server)
        record.server = *decision.server;
    std::vector<telemetry::decision_record> records = {record};
    context_.decisions->write(records);
}

} // namespace basilreach::daemon
