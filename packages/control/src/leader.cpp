#include <basilreach/control/leader.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace basilreach::control
{

namespace
{

struct reason_text
{
    promotion_reason reason;
    char const* text;
};

constexpr std::array reason_texts{
    reason_text{promotion_reason::first_primary, "first_primary"},
    reason_text{promotion_reason::no_primary, "no_primary"},
    reason_text{promotion_reason::primary_down, "primary_down"},
    reason_text{promotion_reason::primary_leaving, "primary_leaving"},
    reason_text{promotion_reason::data_centre_stopped, "data_centre_stopped"},
    reason_text{promotion_reason::waiting_for_turn, "waiting_for_turn"},
    reason_text{promotion_reason::waiting_for_daemons, "waiting_for_daemons"},
    reason_text{promotion_reason::waiting_for_majority, "waiting_for_majority"},
    reason_text{promotion_reason::acknowledged_write_missing,
                "acknowledged_write_missing"},
    reason_text{promotion_reason::no_candidate, "no_candidate"},
    reason_text{promotion_reason::highest_position, "highest_position"},
    reason_text{promotion_reason::waiting_for_candidate,
                "waiting_for_candidate"},
    reason_text{promotion_reason::candidate_down, "candidate_down"},
    reason_text{promotion_reason::candidate_leaving, "candidate_leaving"},
    reason_text{promotion_reason::candidate_refused, "candidate_refused"},
    reason_text{promotion_reason::candidate_accepted, "candidate_accepted"},
    reason_text{promotion_reason::serving, "serving"}};

// Commands of the leader need no id, because applying one again changes
// nothing.
propose proposal(command_body body)
{
    return {command{{}, "leader", std::move(body)}};
}

std::size_t majority_of(std::size_t servers)
{
    return servers / 2 + 1;
}

// Returns the group that a command may affect, if any.
std::optional<group_name> affected_group(control_state const& state,
                                         command_body const& body)
{
    return std::visit(
        [&state](auto const& it) -> std::optional<group_name>
        {
            if constexpr (requires { it.group; })
                return it.group;
            else if constexpr (requires { it.server; })
            {
                auto const* const server = state.find(it.server);
                if (server != nullptr)
                    return server->group;
            }
            return std::nullopt;
        },
        body);
}

bool is_registered_as(daemon_entry const& entry, lease_renewal const& renewal)
{
    return entry.data_centre == renewal.data_centre &&
           entry.address == renewal.address;
}

} // namespace

char const* to_string(promotion_reason it)
{
    auto const* const found =
        std::find_if(reason_texts.begin(), reason_texts.end(),
                     [it](reason_text const& row) { return row.reason == it; });
    return found == reason_texts.end() ? "" : found->text;
}

// In the order of the alternatives of leader_input.
leader::handler const leader::handlers[] = {
    &leader::on_renewal, &leader::on_lease_returned, &leader::on_committed,
    &leader::on_position, &leader::on_promotion_answer};

leader::leader(control_state const& state,
               leader_settings settings,
               instant elected_at)
    : state_(state), settings_(settings), initial_revision_(state.revision()),
      // The initial revision differs between two leaders on one host, and so
      // do their rounds: a late answer to a query of the earlier leader is not
      // taken for an answer to this one.
      next_round_(initial_revision_ << 24U)
{
    static_assert(std::size(handlers) == std::variant_size_v<leader_input>);
    instant const until =
        elected_at +
        with_clock_margin(settings.leases.lease + settings.step_down_timeout);
    for (auto const& [daemon, entry] : state.parts().daemons)
        insert_lease({{daemon, false, 0}, 0, until});
    if (initial_revision_ != 0)
        changes_.push_back({initial_revision_, elected_at});
    for (auto const& [group, entry] : state.parts().groups)
        changed_groups_.insert(group);
    resume_planned_changes(elected_at);
}

void leader::receive(leader_input it)
{
    inbox_.push_back(std::move(it));
}

std::vector<leader_output> leader::tick(instant now)
{
    for (auto const& it : std::exchange(inbox_, {}))
        (this->*handlers[it.index()])(it, now);
    expire_leases(now);
    update_revision_in_force(now);
    expire_planned_changes(now);
    wake_waiting_changes(now);
    examine_groups();
    run_promotions(now);
    return std::exchange(out_, {});
}

instant leader::next_deadline() const
{
    if (!inbox_.empty() || !changed_groups_.empty() || next_examined_ ||
        can_start_waiting_change())
        return instant::min();
    return std::min({lease_deadlines_.next(), removals_.next(),
                     group_deadlines_.next(), planned_deadlines_.next()});
}

lease_counts leader::leases() const
{
    return {state_.parts().daemons.size(), by_confirmed_.size(),
            by_confirmed_.empty() ? 0 : by_confirmed_.begin()->first};
}

void leader::on_renewal(leader_input const& it, instant now)
{
    auto const& renewal = std::get<lease_renewal>(it);
    ++rows_visited_;
    for (auto const& [group, position] : renewal.acknowledged)
    {
        auto& highest = acknowledged_[group];
        highest = std::max(highest, position);
    }
    auto const* const daemon = state_.find(renewal.daemon);
    if (daemon == nullptr ||
        (!daemon->is_removed && !is_registered_as(*daemon, renewal)))
        propose_registration(renewal, now);

    holder const who{renewal.daemon, true, renewal.incarnation};
    row_id const id = find_lease(who);
    if (auto* const row = leases_.find(id);
        row != nullptr && renewal.confirmed_revision > row->confirmed)
    {
        by_confirmed_.erase({row->confirmed, id});
        row->confirmed = renewal.confirmed_revision;
        by_confirmed_.emplace(row->confirmed, id);
    }
    auto const lease = daemon != nullptr && !daemon->is_removed
                           ? grantable_lease(renewal.confirmed_revision, now)
                           : duration{};
    if (lease > duration{})
        extend_lease(who, renewal.confirmed_revision,
                     now + with_clock_margin(lease));
    out_.emplace_back(grant_lease{renewal.daemon, renewal.incarnation,
                                  renewal.sent_at, lease, state_.revision()});
}

void leader::on_lease_returned(leader_input const& it, instant now)
{
    auto const& returned = std::get<lease_returned>(it);
    end_lease(find_lease({returned.daemon, true, returned.incarnation}), now);
}

void leader::on_committed(leader_input const& it, instant now)
{
    auto const& applied = std::get<committed>(it);
    if (std::holds_alternative<accepted>(applied.answer))
        changes_.push_back({applied.index, now});
    if (auto const* const body =
            std::get_if<register_daemon>(&applied.entry.body))
        registrations_.erase(body->daemon);
    if (auto const* const body =
            std::get_if<remove_daemon>(&applied.entry.body))
        removals_.set(body->daemon, now);
    if (auto const* const body =
            std::get_if<choose_primary>(&applied.entry.body))
        promotions_[body->group].chosen_term = body->term;
    if (std::holds_alternative<set_data_centre_service>(applied.entry.body))
        next_examined_ = group_name{};
    if (auto group = affected_group(state_, applied.entry.body))
        changed_groups_.insert(std::move(*group));
}

void leader::on_position(leader_input const& it, instant)
{
    auto const& report = std::get<position_reported>(it);
    auto const* const server = state_.find(report.server);
    if (server == nullptr)
        return;
    auto const row = promotions_.find(server->group);
    if (row == promotions_.end() || row->second.round != report.round)
        return;
    auto& position = row->second.positions[report.server];
    position = std::max(position, log_position{report.term, report.offset});
    changed_groups_.insert(server->group);
}

void leader::on_promotion_answer(leader_input const& it, instant now)
{
    auto const& answer = std::get<promotion_answered>(it);
    auto const* const server = state_.find(answer.server);
    if (server == nullptr)
        return;
    auto const* const group = state_.find(server->group);
    if (group->phase != group_phase::choosing || group->term != answer.term ||
        group->primary != answer.server)
        return;
    auto& row = promotions_[server->group];
    row.answer = answer;
    if (answer.ok)
        row.resend_at = now + settings_.takeover_timeout;
    changed_groups_.insert(server->group);
}

void leader::expire_leases(instant now)
{
    while (auto const id = lease_deadlines_.pop_due(now))
    {
        ++rows_visited_;
        end_lease(*id, now);
    }
    while (auto const daemon = removals_.pop_due(now))
    {
        auto const* const entry = state_.find(*daemon);
        if (entry == nullptr || !entry->is_removed || has_lease(*daemon))
            continue;
        out_.emplace_back(proposal(forget_daemon{*daemon}));
        removals_.set(*daemon, now + settings_.retry);
    }
}

void leader::update_revision_in_force(instant now)
{
    std::uint64_t const lowest = by_confirmed_.empty()
                                     ? state_.revision()
                                     : by_confirmed_.begin()->first;
    revision_in_force_ =
        std::max(revision_in_force_, std::min(lowest, state_.revision()));
    while (!changes_.empty() && changes_.front().revision <= revision_in_force_)
    {
        ++rows_visited_;
        auto const& change = changes_.front();
        out_.emplace_back(
            change_in_force{change.revision, now - change.committed_at});
        changes_.pop_front();
    }
    while (!fencing_groups_.empty() &&
           fencing_groups_.begin()->first <= revision_in_force_)
    {
        changed_groups_.insert(fencing_groups_.begin()->second);
        fencing_groups_.erase(fencing_groups_.begin());
    }
}

// Marks the next groups as changed after the service of a data centre changed.
void leader::examine_groups()
{
    if (!next_examined_)
        return;
    auto const& groups = state_.parts().groups;
    auto it = groups.lower_bound(*next_examined_);
    for (std::size_t n = 0; n != settings_.groups_per_tick; ++n)
    {
        if (it == groups.end())
            return next_examined_.reset();
        changed_groups_.insert(it->first);
        ++it;
    }
    next_examined_ =
        it == groups.end() ? std::nullopt : std::optional(it->first);
}

// Counts the changes of primary that an earlier leader has begun.
void leader::resume_planned_changes(instant now)
{
    if (state_.count_out_of_service() == 0)
        return;
    for (auto const& [group, entry] : state_.parts().groups)
        if (entry.phase != group_phase::serving)
        {
            planned_changes_.insert(group);
            planned_deadlines_.set(group,
                                   now + settings_.planned_change_timeout);
        }
}

bool leader::start_planned_change(group_name const& group, instant now)
{
    if (planned_changes_.contains(group))
        return true;
    if (planned_changes_.size() >= settings_.planned_changes)
    {
        waiting_changes_.set(group, now);
        return false;
    }
    waiting_changes_.erase(group);
    planned_changes_.insert(group);
    planned_deadlines_.set(group, now + settings_.planned_change_timeout);
    return true;
}

void leader::end_planned_change(group_name const& group)
{
    waiting_changes_.erase(group);
    planned_changes_.erase(group);
    planned_deadlines_.erase(group);
}

// A group that has not begun to replace its primary waits for another turn. One
// that has begun continues without counting.
void leader::expire_planned_changes(instant now)
{
    while (auto const group = planned_deadlines_.pop_due(now))
    {
        planned_changes_.erase(*group);
        if (state_.find(*group)->phase == group_phase::serving)
            waiting_changes_.set(*group, now);
    }
}

bool leader::can_start_waiting_change() const
{
    return planned_changes_.size() < settings_.planned_changes &&
           waiting_changes_.next() != never;
}

void leader::wake_waiting_changes(instant now)
{
    for (auto n = planned_changes_.size(); n < settings_.planned_changes; ++n)
        if (auto group = waiting_changes_.pop_due(now))
            changed_groups_.insert(std::move(*group));
}

void leader::run_promotions(instant now)
{
    while (auto group = group_deadlines_.pop_due(now))
        changed_groups_.insert(std::move(*group));
    for (auto const& group : std::exchange(changed_groups_, {}))
    {
        ++rows_visited_;
        group_deadlines_.erase(group);
        run_promotion(group, now);
    }
}

duration leader::grantable_lease(std::uint64_t confirmed, instant now) const
{
    // With a lease, a daemon below the revision in force would serve an older
    // state than the one that was reported to be in force everywhere.
    if (confirmed < std::max(initial_revision_, revision_in_force_))
        return {};
    auto const missing =
        std::upper_bound(changes_.begin(), changes_.end(), confirmed,
                         [](std::uint64_t revision, change_row const& row)
                         { return revision < row.revision; });
    auto const lease = settings_.leases.lease;
    if (missing == changes_.end())
        return lease;
    // A daemon that is slower than changes come never has the latest one, and
    // serves by a state that is hardly older.
    auto const end =
        missing->committed_at + settings_.confirmation_timeout + lease;
    return std::clamp(end - now, duration{}, lease);
}

row_id leader::insert_lease(lease_row row)
{
    row_id const id = leases_.insert(row);
    lease_by_holder_.emplace(row.who, id);
    by_confirmed_.emplace(row.confirmed, id);
    lease_deadlines_.set(id, row.until);
    return id;
}

row_id leader::find_lease(holder const& who)
{
    auto const known = lease_by_holder_.find(who);
    if (known != lease_by_holder_.end())
        return known->second;
    auto unknown = lease_by_holder_.extract({who.daemon, false, 0});
    if (!unknown)
        return {};
    // A lease that an earlier leader granted is known by the name of the daemon
    // alone. It is assigned to the first incarnation that reports.
    row_id const id = unknown.mapped();
    leases_.find(id)->who = who;
    unknown.key() = who;
    lease_by_holder_.insert(std::move(unknown));
    return id;
}

void leader::extend_lease(holder const& who,
                          std::uint64_t confirmed,
                          instant until)
{
    row_id const id = find_lease(who);
    auto* const row = leases_.find(id);
    if (row == nullptr)
    {
        insert_lease({who, confirmed, until});
        return;
    }
    // A lease that an earlier leader granted may end later than this one.
    row->until = std::max(row->until, until);
    lease_deadlines_.set(id, row->until);
}

void leader::end_lease(row_id id, instant now)
{
    auto const* const row = leases_.find(id);
    if (row == nullptr)
        return;
    daemon_name const daemon = row->who.daemon;
    by_confirmed_.erase({row->confirmed, id});
    lease_by_holder_.erase(row->who);
    lease_deadlines_.erase(id);
    leases_.erase(id);
    auto const* const entry = state_.find(daemon);
    if (entry != nullptr && entry->is_removed)
        removals_.set(daemon, now);
}

bool leader::has_lease(daemon_name const& daemon) const
{
    auto const it = lease_by_holder_.lower_bound({daemon, false, 0});
    return it != lease_by_holder_.end() && it->first.daemon == daemon;
}

void leader::propose_registration(lease_renewal const& renewal, instant now)
{
    auto& next = registrations_.try_emplace(renewal.daemon, now).first->second;
    if (now < next)
        return;
    next = now + settings_.retry;
    out_.emplace_back(proposal(
        register_daemon{renewal.daemon, renewal.data_centre, renewal.address}));
}

void leader::run_promotion(group_name const& group, instant now)
{
    using step_function = void (leader::*)(group_name const&, instant);
    // In the order of group_phase.
    constexpr std::array<step_function, 3> step_functions{
        &leader::run_serving, &leader::run_fencing, &leader::run_choosing};
    auto const* const entry = state_.find(group);
    if (entry != nullptr)
        (this->*step_functions.at(static_cast<std::size_t>(entry->phase)))(
            group, now);
}

void leader::run_serving(group_name const& group, instant now)
{
    auto const& entry = *state_.find(group);
    auto& row = promotions_[group];
    auto const reason = reason_to_replace(group);
    if (reason != promotion_reason::data_centre_stopped)
        end_planned_change(group);
    else if (!start_planned_change(group, now))
    {
        row.round.reset();
        row.positions.clear();
        return log_decision(group, entry.primary,
                            promotion_reason::waiting_for_turn);
    }
    if (reason && state_.is_server_checked(group))
    {
        if (!row.round)
            log_decision(group, entry.primary, *reason);
        return choose_candidate(group, now);
    }
    row.answer.reset();
    if (reason)
    {
        log_decision(group, entry.primary, *reason);
        return propose_fencing(group, now);
    }
    row.round.reset();
    row.positions.clear();
    if (row.last_decision)
        log_decision(group, entry.primary, promotion_reason::serving);
}

// Positions that were reported before the fence is in force must not count:
// writes may have been acknowledged above them since.
void leader::propose_fencing(group_name const& group, instant now)
{
    auto& row = promotions_[group];
    row.round.reset();
    row.positions.clear();
    send(group, proposal(begin_fencing{group, state_.find(group)->term}), now);
}

bool leader::needs_fencing(group_name const& group) const
{
    return !state_.is_server_checked(group) || state_.sync_replicas(group) > 0;
}

std::optional<promotion_reason>
leader::reason_to_replace(group_name const& group) const
{
    auto const& entry = *state_.find(group);
    auto const& servers = state_.servers_of(group);
    if (state_.is_server_checked(group))
        return reason_to_replace_server_checked(entry);
    if (!entry.primary)
        return servers.size() >= settings_.first_servers
                   ? std::optional{promotion_reason::first_primary}
                   : std::nullopt;
    auto const* const primary = state_.find(*entry.primary);
    if (primary->health == verdict::down)
        return promotion_reason::primary_down;
    // A leaving primary stays the primary until another server can take over.
    auto const reachable =
        std::count_if(servers.begin(), servers.end(),
                      [this](auto const& it)
                      { return state_.find(it)->health != verdict::down; });
    if (state_.is_leaving(*primary) && has_eligible_primary(group) &&
        static_cast<std::size_t>(reachable) >= majority_of(servers.size()))
        return primary->is_leaving ? promotion_reason::primary_leaving
                                   : promotion_reason::data_centre_stopped;
    return std::nullopt;
}

// The first primary of a server-checked group reports itself; the leader
// chooses only replacements, and nothing else does.
std::optional<promotion_reason>
leader::reason_to_replace_server_checked(group_entry const& group) const
{
    if (!group.primary)
        return group.term == 0 ? std::nullopt
                               : std::optional{promotion_reason::no_primary};
    auto const& primary = *state_.find(*group.primary);
    if (primary.health == verdict::down)
        return promotion_reason::primary_down;
    if (!state_.is_leaving(primary) || !has_eligible_primary(primary.group))
        return std::nullopt;
    return primary.is_leaving ? promotion_reason::primary_leaving
                              : promotion_reason::data_centre_stopped;
}

void leader::run_fencing(group_name const& group, instant now)
{
    auto const& entry = *state_.find(group);
    if (!needs_fencing(group) || revision_in_force_ >= entry.fenced_at)
    {
        choose_candidate(group, now);
        return;
    }
    fencing_groups_.emplace(entry.fenced_at, group);
    log_decision(group, entry.primary, promotion_reason::waiting_for_daemons);
}

void leader::run_choosing(group_name const& group, instant now)
{
    auto const& entry = *state_.find(group);
    auto const& candidate = *entry.primary;
    auto const& server = *state_.find(candidate);
    auto& row = promotions_[group];
    bool const has_answer = row.answer && row.answer->term == entry.term &&
                            row.answer->server == candidate;
    bool const is_refused = has_answer && !row.answer->ok;
    // In a server-checked group, two leaders must not send promotion orders
    // with the same term, because a server could carry out both. A new leader
    // therefore chooses again, with a higher term.
    bool const is_own =
        row.chosen_term == entry.term || !state_.is_server_checked(group);
    if (is_valid_candidate(candidate) && !is_refused && is_own)
    {
        // Positions that were reported for the choice of this candidate must
        // not count in the choice of the next one.
        row.round.reset();
        // The former primary was chosen again, for example because it has come
        // back with its log. There is nothing to order, and no change of its
        // role will be reported.
        if (state_.is_server_checked(group) &&
            server.role == server_role::primary)
            return send(group,
                        proposal(confirm_primary{group, entry.term, candidate}),
                        now);
        // In a server-checked group, the candidate reports itself as primary
        // once it is.
        if (has_answer && state_.is_server_checked(group))
        {
            log_decision(group, candidate,
                         promotion_reason::candidate_accepted);
            if (now < row.resend_at)
                return group_deadlines_.set(group, row.resend_at);
            row.answer.reset();
        }
        else if (has_answer)
        {
            log_decision(group, candidate,
                         promotion_reason::candidate_accepted);
            send(group, proposal(confirm_primary{group, entry.term, candidate}),
                 now);
            return;
        }
        log_decision(group, candidate, promotion_reason::waiting_for_candidate);
        send(group, promote{candidate, group, entry.term}, now);
        return;
    }
    if (!row.round)
    {
        auto reason = promotion_reason::candidate_down;
        if (is_refused)
            reason = promotion_reason::candidate_refused;
        else if (server.is_leaving)
            reason = promotion_reason::candidate_leaving;
        log_decision(group, candidate, reason);
    }
    // Under a new leader, the daemons must first report the positions of the
    // writes that they acknowledged.
    run_fencing(group, now);
}

void leader::choose_candidate(group_name const& group, instant now)
{
    auto& row = promotions_[group];
    if (!row.round)
    {
        row.round = ++next_round_;
        row.positions.clear();
    }
    auto const& servers = state_.servers_of(group);
    std::optional<std::pair<log_position, server_name>> best;
    log_position highest;
    for (auto const& [server, position] : row.positions)
    {
        if (!servers.contains(server))
            continue;
        highest = std::max(highest, position);
        if (is_eligible_primary(server) && (!best || position > best->first))
            best.emplace(position, server);
    }
    auto reason = promotion_reason::highest_position;
    if (!has_all_writes(group, best ? best->first : highest))
        reason = promotion_reason::waiting_for_majority;
    else if (!best)
        reason = promotion_reason::no_candidate;
    else if (best->first < acknowledged_[group])
        reason = promotion_reason::acknowledged_write_missing;

    // The positions show that a candidate will be found. The fence comes only
    // then, because the primary may still be serving.
    if (reason == promotion_reason::highest_position && needs_fencing(group) &&
        state_.find(group)->phase == group_phase::serving)
        return propose_fencing(group, now);
    if (reason == promotion_reason::highest_position)
    {
        auto const term = std::max(state_.find(group)->term, highest.term) + 1;
        log_decision(group, best->second, reason);
        send(group, proposal(choose_primary{group, term, best->second}), now);
        return;
    }
    log_decision(group, std::nullopt, reason);
    query_positions query{group, *row.round, {}};
    std::copy_if(servers.begin(), servers.end(),
                 std::back_inserter(query.servers),
                 [this](auto const& it)
                 { return state_.find(it)->health != verdict::down; });
    if (!query.servers.empty())
        send(group, std::move(query), now);
}

// Each acknowledged write is on a majority of the servers or, in a
// server-checked group, on the primary and its synchronous replicas: any set of
// the remaining servers and one more includes a server that has the write. The
// primary may have been removed meanwhile.
std::size_t leader::required_answers(group_name const& group) const
{
    auto const& servers = state_.servers_of(group);
    auto const replicas = state_.sync_replicas(group);
    if (replicas == 0)
        return majority_of(servers.size());
    bool const has_primary =
        std::any_of(servers.begin(), servers.end(),
                    [this](auto const& it)
                    { return state_.find(it)->role == server_role::primary; });
    std::size_t const copies =
        std::min(servers.size(), std::size_t{replicas} + (has_primary ? 1 : 0));
    return servers.size() - copies + 1;
}

// The candidate has all acknowledged writes if enough servers have answered and
// are not ahead of it.
bool leader::has_all_writes(group_name const& group,
                            log_position candidate) const
{
    auto const& servers = state_.servers_of(group);
    auto const& positions = promotions_.at(group).positions;
    auto const covered = std::count_if(positions.begin(), positions.end(),
                                       [&](auto const& it) {
                                           return servers.contains(it.first) &&
                                                  it.second <= candidate;
                                       });
    return static_cast<std::size_t>(covered) >= required_answers(group);
}

void leader::send(group_name const& group, leader_output it, instant now)
{
    auto& row = promotions_[group];
    if (row.sent != it || now >= row.resend_at)
    {
        row.resend_at = now + settings_.retry;
        row.sent = it;
        out_.push_back(std::move(it));
    }
    group_deadlines_.set(group, row.resend_at);
}

void leader::log_decision(group_name const& group,
                          std::optional<server_name> server,
                          promotion_reason reason)
{
    promotion_decision decision{group, state_.find(group)->term,
                                std::move(server), reason};
    auto& last = promotions_[group].last_decision;
    if (last == decision)
        return;
    last = decision;
    out_.emplace_back(std::move(decision));
}

bool leader::is_eligible_primary(server_name const& server) const
{
    return state_.is_eligible_primary(*state_.find(server));
}

bool leader::has_eligible_primary(group_name const& group) const
{
    auto const& servers = state_.servers_of(group);
    return std::any_of(servers.begin(), servers.end(),
                       [this](auto const& it)
                       { return is_eligible_primary(it); });
}

// A promotion to a server of a data centre that has gone out of service since
// is completed, and another one follows: the server may already have become the
// primary.
bool leader::is_valid_candidate(server_name const& server) const
{
    auto const* const entry = state_.find(server);
    return entry->health != verdict::down && !entry->is_leaving &&
           !entry->is_removed;
}

} // namespace basilreach::control
