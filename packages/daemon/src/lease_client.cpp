#include <basilreach/daemon/lease_client.hpp>

#include <chrono>
#include <utility>

#include <easylogging++.h>

#include <basilreach/daemon/view_builder.hpp>

namespace basilreach::daemon
{

namespace
{

control::lease_settings lease_settings_of(settings::daemon_settings const& it)
{
    control::lease_settings out;
    out.lease = it.durations.control_lease;
    out.renewal = it.durations.lease_renewal;
    return out;
}

// Returns the address for statements from other daemons, or an empty text if
// the daemon runs none for them.
std::string dispatch_address(settings::daemon_settings const& it)
{
    bool const is_holder = it.dispatch.mode != dispatch::dispatch_mode::local &&
                           it.roles.contains(settings::daemon_role::entry);
    return is_holder ? it.dispatch.listen.value_or("") : "";
}

// Returns a number that differs for each start of the daemon: its start time.
std::uint64_t make_incarnation()
{
    return static_cast<std::uint64_t>(
        std::chrono::system_clock::now().time_since_epoch().count());
}

} // namespace

// Indexed by the alternatives of control::holder_output.
lease_client::output_handler const lease_client::output_handlers[] = {
    &lease_client::on_lease_renewal, &lease_client::on_lease_returned,
    &lease_client::on_adopt_state, &lease_client::on_state_refused,
    &lease_client::on_lease_updated};

lease_client::lease_client(
    daemon_context const& context,
    std::function<void(messages::message const&)> send_to_leader,
    instant now)
    : context_(context), send_to_leader_(std::move(send_to_leader)),
      incarnation_(make_incarnation()),
      holder_(context.settings.name,
              context.settings.data_centre,
              incarnation_,
              context.threads.size(),
              lease_settings_of(context.settings),
              now,
              dispatch_address(context.settings)),
      state_(context.rules), last_grant_(now)
{
    static_assert(std::size(output_handlers) ==
                  std::variant_size_v<control::holder_output>);
}

void lease_client::post(traffic::event const& it) const
{
    for (auto* thread : context_.threads)
        thread->post(it);
}

void lease_client::receive(control::grant_lease const& it)
{
    last_grant_ = read_clock();
    leader_revision_ = it.revision;
    holder_.receive(it);
    if (!is_subscribed_ || it.revision > state_.revision())
        subscribe();
}

void lease_client::receive(control::state_update const& it)
{
    ++updates_handled_;
    bool const is_newer = it.revision > state_.revision();
    needs_whole_state_ = is_newer && !state_.merge(it);
    if (needs_whole_state_)
        LOG(WARNING) << "event=state_update_refused after=" << it.after
                     << " revision=" << it.revision
                     << " own_revision=" << state_.revision()
                     << " own_version=" << state_.parts().rules_version;
    else if (is_newer)
        holder_.receive(control::state_offered{state_.revision()});
    if (is_newer && it.rules && !needs_whole_state_)
        LOG(INFO) << "event=rules_received revision=" << state_.revision()
                  << " version=" << state_.parts().rules_version
                  << " base_version=" << it.rules->base_version;
    subscribe();
}

void lease_client::subscribe()
{
    // A control host has the state itself.
    if (context_.settings.roles.contains(settings::daemon_role::control))
        return;
    is_subscribed_ = true;
    auto const& parts = state_.parts();
    send_to_leader_(messages::subscribe{
        context_.settings.name, needs_whole_state_ ? 0 : parts.revision,
        needs_whole_state_ ? 0 : parts.rules_version, updates_handled_});
}

void lease_client::leader_changed()
{
    is_subscribed_ = false;
    holder_.receive(control::leader_changed{});
}

void lease_client::update_state(control::control_state const& state)
{
    if (state.revision() <= state_.revision())
        return;
    state_ = state;
    holder_.receive(control::state_offered{state_.revision()});
}

void lease_client::receive(view_adopted const& it)
{
    holder_.receive(control::state_adopted{it.thread, it.revision});
}

void lease_client::receive(traffic::term_ended const& it)
{
    if (it.acknowledged)
        holder_.receive(
            control::write_acknowledged{it.group, *it.acknowledged});
}

void lease_client::deny_key(control::key_digest const& key)
{
    if (denied_keys_.insert(key).second)
        publish();
}

void lease_client::stop()
{
    holder_.receive(control::stop_requested{});
}

void lease_client::tick(instant now)
{
    for (auto const& it : holder_.tick(now))
        (this->*output_handlers[it.index()])(it);
    log_lease_change(now);
}

void lease_client::log_lease_change(instant now)
{
    bool const is_held = now < holder_.valid_until();
    has_held_lease_ = has_held_lease_ || is_held;
    if (std::exchange(is_lease_held_, is_held) == is_held)
        return;
    LOG(INFO) << "event=" << (is_held ? "lease_held" : "lease_lost")
              << " revision=" << state_.revision()
              << " confirmed=" << holder_.confirmed_revision()
              << " leader_revision=" << leader_revision_
              << " version=" << state_.parts().rules_version
              << " since_grant_ms="
              << std::chrono::duration_cast<std::chrono::milliseconds>(
                     now - last_grant_)
                     .count();
}

void lease_client::publish()
{
    auto const view = build_view(state_, denied_keys_);
    post(traffic::control_changed{view});
    for (auto const& [name, group] : view->groups)
        if (group.primary)
            holder_.receive(control::group_serving{name});
}

void lease_client::on_lease_renewal(control::holder_output const& it)
{
    send_to_leader_(std::get<control::lease_renewal>(it));
    // The last request for an update may have been lost.
    if (is_subscribed_ && state_.revision() < leader_revision_)
        subscribe();
}

void lease_client::on_lease_returned(control::holder_output const& it)
{
    send_to_leader_(std::get<control::lease_returned>(it));
}

void lease_client::on_adopt_state(control::holder_output const& /*it*/)
{
    publish();
}

void lease_client::on_state_refused(control::holder_output const& it)
{
    auto const& refused = std::get<control::state_refused>(it);
    LOG(WARNING) << "event=old_state_refused revision=" << refused.revision
                 << " served=" << refused.served;
}

void lease_client::on_lease_updated(control::holder_output const& it)
{
    post(traffic::lease_changed{
        std::get<control::lease_updated>(it).valid_until});
}

} // namespace basilreach::daemon
