// Commits in groups with synchronous replicas. Such a group promises that no
// acknowledged commit is lost by a promotion. Its servers acknowledge commits
// until the promotion is carried out, so the daemons stop commits before: they
// hold them back from the time at which the group has no primary in the control
// view, and confirm that view to the control leader only afterwards.
#include <algorithm>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

bool has_fenced_group(state const& s)
{
    return std::any_of(s.group_by_name.begin(), s.group_by_name.end(),
                       [&s](auto const& it)
                       { return is_fenced(*s.groups.find(it.second)); });
}

std::vector<request_row_id> find_outstanding_commits(state const& s)
{
    std::vector<request_row_id> out;
    if (!has_fenced_group(s))
        return out;
    s.requests.for_each(
        [&](row_id id, request_row const& it)
        {
            if (it.state == request_state::sent && !it.is_fenced &&
                commits(s, it) && is_fenced(*s.groups.find(it.group)))
                out.push_back(id);
        });
    return out;
}

} // namespace

bool is_fenced(group_row const& group)
{
    return group.sync_replicas > 0 && !group.primary;
}

bool commits(state const& s, request_row const& request)
{
    if (request.is_read || request.verb == statement_verb::rollback)
        return false;
    auto const& session = *s.sessions.find(request.session);
    bool const is_open =
        session.in_transaction || request.opens != transaction_opening::none;
    return !is_open || request.verb == statement_verb::commit;
}

bool needs_lease_to_commit(state const& s, request_row const& request)
{
    auto const* const group = s.groups.find(request.group);
    return group != nullptr && group->sync_replicas > 0 && commits(s, request);
}

bool may_acknowledge_commit(state const& s, request_row const& request)
{
    return s.groups.find(request.group)->sync_replicas == 0 ||
           (!request.is_fenced && s.has_lease());
}

void fence_outstanding_commits(state& s, group_row_id group)
{
    if (s.groups.find(group)->sync_replicas == 0)
        return;
    s.requests.for_each(
        [&](row_id, request_row& it)
        {
            if (it.state == request_state::sent && it.group == group)
                it.is_fenced = true;
        });
}

void schedule_confirmation(state& s, std::uint64_t revision)
{
    if (!s.unconfirmed_revision)
    {
        s.confirm_by = s.now + s.settings.fence_wait;
        s.timers.set({timer_kind::view_confirmation, {}}, s.confirm_by);
    }
    s.unconfirmed_revision = revision;
}

void confirm_view(state& s)
{
    if (!s.unconfirmed_revision)
        return;
    auto const outstanding = find_outstanding_commits(s);
    if (!outstanding.empty() && s.now < s.confirm_by)
        return;
    for (auto const id : outstanding)
        s.requests.find(id)->is_fenced = true;
    s.timers.erase({timer_kind::view_confirmation, {}});
    s.actions.emplace_back(control_view_adopted{*s.unconfirmed_revision});
    s.unconfirmed_revision.reset();
}

} // namespace basilreach::traffic::detail
