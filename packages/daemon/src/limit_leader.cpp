#include <basilreach/daemon/limit_leader.hpp>

#include <cmath>
#include <map>
#include <utility>

namespace basilreach::daemon
{

namespace
{

limits::share_allocator_settings
share_settings_of(settings::duration_settings const& it)
{
    limits::share_allocator_settings out;
    out.lifetime = it.control_lease;
    out.lost_host_hold = it.lost_host_hold;
    return out;
}

limits::token_allocator_settings
token_settings_of(settings::limit_settings const& it)
{
    limits::token_allocator_settings out;
    out.floor_rate_per_mille = std::lround(it.floor_rate * 1000);
    out.floor_burst_per_mille = std::lround(it.floor_burst * 1000);
    return out;
}

// Servers that check positions themselves also refuse connections beyond their
// limit.
limits::limit_check check_of(rules::server_limit_rule const& it)
{
    return it.checked_by == rules::position_check::server
               ? limits::limit_check::server
               : limits::limit_check::leader;
}

limits::rate_tolerance tolerance_of(settings::limit_settings const& it)
{
    return {it.rate_window_s, it.rate_overage, it.rate_slack};
}

// Rankings of a member for a key that the leader computes at a time. They take
// a few milliseconds, which delay no heartbeat.
constexpr std::size_t max_ranked = 100'000;

// A control host forwards no statements and may have no mode of its own. If
// daemons have addresses, it takes them for members in mode automatic.
dispatch::dispatch_mode mode_of(settings::dispatch_settings const& it)
{
    return it.mode == dispatch::dispatch_mode::local
               ? dispatch::dispatch_mode::automatic
               : it.mode;
}

dispatch::member_map members_of(control::control_state const& state)
{
    dispatch::member_map out;
    for (auto const& [name, it] : state.parts().daemons)
        if (!it.is_removed && !it.address.empty())
            out.emplace(name, dispatch::member{it.data_centre, it.address});
    return out;
}

} // namespace

limit_leader::limit_leader(settings::daemon_settings const& settings,
                           std::uint64_t term,
                           bool is_first_leader,
                           sender send,
                           instant now)
    : tolerance_(tolerance_of(settings.limits)),
      mode_(mode_of(settings.dispatch)), send_(std::move(send)),
      token_allocator_(token_settings_of(settings.limits), term, now),
      share_allocator_(share_settings_of(settings.durations), term, now)
{
    if (!is_first_leader)
        return;
    token_allocator_.assume_no_earlier_grants(now);
    share_allocator_.assume_no_earlier_grants(now);
}

void limit_leader::configure(control::control_state const& state, instant now)
{
    configure_daemons(state, now);
    bool const has_new_rules = rules_ != state.rules();
    auto const old = std::exchange(rules_, state.rules());
    if (update_placement(state) || has_new_rules)
        for (auto const& [name, it] : rules_->workspaces)
            unplaced_.insert(name);
    // A workspace whose rule was removed gets no more tokens.
    if (old && has_new_rules)
        for (auto const& [name, it] : old->workspaces)
            if (!rules_->workspaces.contains(name))
                token_allocator_.configure(name, 0, 0, now);
    configure_workspaces(now);
    configure_servers(state, now);
}

// Returns whether the members or the groups that have holders have changed.
bool limit_leader::update_placement(control::control_state const& state)
{
    auto members = members_of(state);
    std::set<group_name> groups;
    for (auto const& [name, it] : state.parts().servers)
    {
        if (it.is_removed)
            continue;
        auto const limit = rules_->server_limits.find(it.group);
        auto const connections = limit == rules_->server_limits.end()
                                     ? rules::server_limit_rule{}.connections
                                     : limit->second.connections;
        if (dispatch::has_holders(mode_, members.size(), connections))
            groups.insert(it.group);
    }
    if (members == members_ && groups == placed_groups_)
        return false;
    members_ = std::move(members);
    placed_groups_ = std::move(groups);
    return true;
}

// Configures workspaces until the work of one call is done. A new leader grants
// no tokens of a workspace before: it would not know for whom to keep floors.
void limit_leader::configure_workspaces(instant now)
{
    std::size_t ranked = 0;
    while (!unplaced_.empty() && ranked < max_ranked)
    {
        auto const name = unplaced_.extract(unplaced_.begin()).value();
        auto const found = rules_->workspaces.find(name);
        if (found == rules_->workspaces.end())
            continue;
        auto const& rule = found->second;
        std::optional<std::set<daemon_name>> floor_holders;
        if (!placed_groups_.empty())
            floor_holders = dispatch::first_holders(members_, name, rule.burst,
                                                    placed_groups_);
        token_allocator_.configure(
            name, static_cast<std::int64_t>(rule.rate),
            limits::tolerated_burst(rule.rate, rule.burst, tolerance_), now,
            std::move(floor_holders));
        ranked += members_.size() * placed_groups_.size();
    }
}

void limit_leader::configure_daemons(control::control_state const& state,
                                     instant now)
{
    auto const& known = state.parts().daemons;
    for (auto const& [name, it] : known)
        if (daemons_.insert(name).second)
        {
            token_allocator_.register_holder(name, now);
            share_allocator_.register_holder(name, now);
        }
    for (auto it = daemons_.begin(); it != daemons_.end();)
    {
        if (known.contains(*it))
        {
            ++it;
            continue;
        }
        processes_.erase(*it);
        token_allocator_.remove_holder(*it, now);
        share_allocator_.remove_holder(*it, now);
        it = daemons_.erase(it);
    }
}

void limit_leader::configure_servers(control::control_state const& state,
                                     instant now)
{
    std::map<server_name, rules::server_limit_rule> wanted;
    for (auto const& [name, it] : state.parts().servers)
    {
        if (it.is_removed)
            continue;
        auto const limit = rules_->server_limits.find(it.group);
        wanted[name] = limit == rules_->server_limits.end()
                           ? rules::server_limit_rule{}
                           : limit->second;
    }
    for (auto const& [name, limit] : servers_)
        if (!wanted.contains(name))
            share_allocator_.remove_server(name);
    for (auto const& [name, limit] : wanted)
    {
        auto const known = servers_.find(name);
        if (known == servers_.end() || known->second != limit)
            share_allocator_.configure(name, limit.connections, now,
                                       check_of(limit));
    }
    servers_ = std::move(wanted);
}

// Returns the number that stands for the process in the allocators, which need
// an order.
std::uint64_t limit_leader::number_of(daemon_name const& daemon,
                                      std::uint64_t incarnation)
{
    auto& latest = processes_[daemon];
    if (latest.number == 0 || latest.incarnation != incarnation)
        latest = {incarnation, latest.number + 1};
    return latest.number;
}

// Returns nothing for an earlier process, which accepts no grants any more.
std::optional<std::uint64_t>
limit_leader::incarnation_of(daemon_name const& daemon,
                             std::uint64_t number) const
{
    auto const found = processes_.find(daemon);
    if (found == processes_.end() || found->second.number != number)
        return std::nullopt;
    return found->second.incarnation;
}

void limit_leader::receive(messages::limit_requests const& batch, instant now)
{
    auto const number = number_of(batch.holder, batch.incarnation);
    auto const pass_on = [&](auto& allocator, auto request)
    {
        messages::copy_batch_fields(batch, request);
        request.incarnation = number;
        allocator.receive(request, now);
    };
    for (auto const& it : batch.tokens)
        pass_on(token_allocator_, it);
    if (batch.contact)
        pass_on(token_allocator_, *batch.contact);
    if (batch.renewal)
        pass_on(share_allocator_, *batch.renewal);
    for (auto const& it : batch.shares)
        pass_on(share_allocator_, it);
    unanswered_batches_[batch.holder] = {batch.incarnation, batch.number};
}

void limit_leader::tick(instant leader_until, instant now)
{
    token_allocator_.set_leader_until(leader_until);
    share_allocator_.set_leader_until(leader_until);
    configure_workspaces(now);
    std::map<daemon_name, messages::limit_grants> batches;
    auto const batch_for = [&](daemon_name const& holder,
                               std::uint64_t incarnation) -> auto&
    {
        auto& batch = batches[holder];
        batch.holder = holder;
        batch.incarnation = incarnation;
        batch.sent = now;
        return batch;
    };
    if (now < leader_until)
        for (auto const& [holder, it] : std::exchange(unanswered_batches_, {}))
            batch_for(holder, it.incarnation).answered = it.number;
    // Returns the batch that the grant belongs to, or null.
    auto const find_batch = [&](auto& grant) -> messages::limit_grants*
    {
        auto const incarnation =
            incarnation_of(grant.holder, grant.incarnation);
        if (!incarnation)
            return nullptr;
        grant.incarnation = *incarnation;
        return &batch_for(grant.holder, grant.incarnation);
    };
    for (auto& it : token_allocator_.tick(now))
        if (auto* const batch = find_batch(it))
            batch->tokens.push_back(std::move(it));
    for (auto& it : token_allocator_.tick_contacts(now))
        if (auto* const batch = find_batch(it))
            batch->contact = std::move(it);
    for (auto& it : share_allocator_.tick(now))
        if (auto* const batch = find_batch(it))
            batch->shares.push_back(std::move(it));
    for (auto& it : share_allocator_.tick_renewals(now))
        if (auto* const batch = find_batch(it))
            batch->renewal = std::move(it);
    for (auto const& [holder, batch] : batches)
        send_(holder, batch);
}

instant limit_leader::next_deadline() const
{
    if (!unplaced_.empty())
        return instant::min();
    return std::min(token_allocator_.next_deadline(),
                    share_allocator_.next_deadline());
}

} // namespace basilreach::daemon
