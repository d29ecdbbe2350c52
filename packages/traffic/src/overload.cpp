// Decides what is refused in an overload, and when its client should try again.
#include <algorithm>
#include <array>

#include <basilreach/traffic/detail/state.hpp>

namespace basilreach::traffic::detail
{

namespace
{

// Times without a primary that are remembered, for the expected return.
constexpr std::size_t absence_limit = 8;

// Bounds of the time after which a refused client should try again. Within the
// lower one nothing changes at a server; after the upper one the estimate is no
// better than a guess.
constexpr duration min_retry_after = std::chrono::milliseconds(10);
constexpr duration max_retry_after = std::chrono::seconds(5);

std::optional<rules::priority>
find_workspace_priority(state const& s, workspace_name const& workspace)
{
    auto const it = s.view->workspace_rules.find(workspace);
    return it == s.view->workspace_rules.end() ? std::nullopt
                                               : it->second.priority;
}

// Returns when the group is expected to have a primary, but no later than it
// does: the shortest of the last absences. Nothing if this is unknown.
std::optional<instant> expected_return(state const& s, group_row const& group)
{
    if (!group.primary_absent_since || s.primary_absences.empty())
        return std::nullopt;
    auto const shortest =
        *std::min_element(s.primary_absences.begin(), s.primary_absences.end());
    return *group.primary_absent_since + shortest;
}

bool waits_for_primary(request_row const* request)
{
    return request != nullptr &&
           request->state == request_state::waiting_primary;
}

// Returns how many waiting statements are sent before one of this priority.
std::size_t
count_ahead(state const& s, group_row const& group, rules::priority priority)
{
    return static_cast<std::size_t>(std::count_if(
        group.waiting_primary.begin(), group.waiting_primary.end(),
        [&](request_row_id id)
        {
            auto const* it = s.requests.find(id);
            return waits_for_primary(it) &&
                   it->priority.value_or(0) <= priority;
        }));
}

// Returns the time per statement of the fastest server that can become the
// primary, or 0 if none is known.
duration service_interval(state const& s, group_row const& group)
{
    std::optional<duration> out;
    for (auto const id : group.servers)
    {
        auto const time = s.servers.find(id)->queue->service_interval();
        if (time > duration{} && (!out || time < *out))
            out = time;
    }
    return out.value_or(duration{});
}

duration queue_wait(state const& s, request_row const& request)
{
    auto const* server = s.servers.find(request.server);
    if (server == nullptr)
        return {};
    auto const waiting = static_cast<duration::rep>(server->queue->size());
    return server->queue->service_interval() * waiting;
}

duration token_wait(state const& s, request_row const& request)
{
    auto const& workspace = s.sessions.find(request.session)->workspace;
    auto const rule = s.view->workspace_rules.find(workspace);
    auto const waiting = s.waiting_rate_token.find(workspace);
    if (rule == s.view->workspace_rules.end() || rule->second.rate == 0)
        return {};
    auto const n =
        waiting == s.waiting_rate_token.end() ? 0 : waiting->second.size();
    return std::chrono::duration_cast<duration>(std::chrono::seconds(1)) /
           static_cast<duration::rep>(rule->second.rate) *
           static_cast<duration::rep>(n + 1);
}

duration primary_wait(state const& s, request_row const& request)
{
    auto const* group = s.groups.find(request.group);
    auto const until =
        group == nullptr ? std::nullopt : expected_return(s, *group);
    return until && *until > s.now ? *until - s.now : s.settings.primary_retry;
}

duration silence_wait(state const& s, request_row const& /*request*/)
{
    return s.settings.silence_report_interval;
}

using wait_function = duration (*)(state const&, request_row const&);

// Indexed by refusal_reason; empty where waiting does not help.
constexpr std::array<wait_function, 17> wait_functions = {
    nullptr,    nullptr,      nullptr,      nullptr, token_wait, queue_wait,
    queue_wait, nullptr,      nullptr,      nullptr, nullptr,    nullptr,
    nullptr,    silence_wait, primary_wait, nullptr, nullptr};

static_assert(wait_functions.size() ==
              static_cast<std::size_t>(refusal_reason::out_of_service) + 1);

// Returns a fraction in [0, 1) that differs between the statements of all
// clients.
double spread_of(session_row const& session, request_row const& request)
{
    // The multiplier of splitmix64, whose upper bits are well mixed.
    auto const mixed =
        (static_cast<std::uint64_t>(session.id) * 1'000'003 + request.number) *
        0x9e3779b97f4a7c15ULL;
    return static_cast<double>(mixed >> 40U) / static_cast<double>(1U << 24U);
}

} // namespace

void classify(state const& s,
              request_row& request,
              session_row const& session,
              rules::route_rule const& route)
{
    request.priority.reset();
    request.target.reset();
    if (!s.settings.uses_priorities || !s.view->has_priorities)
        return;
    // A workspace's own class must not put all its routes into one class.
    auto const stated = route.priority
                            ? route.priority
                            : find_workspace_priority(s, session.workspace);
    request.priority = stated.value_or(rules::default_priority);
    if (route.target)
        request.target = request.arrived_at + *route.target;
}

limits::entry_terms queue_terms(state const& s, request_row const& request)
{
    return {s.sessions.find(request.session)->workspace, request.deadline,
            request.priority, request.target};
}

void shed_queued(state& s, server_row& server)
{
    for (auto const id : server.queue->shed(s.now))
    {
        s.requests.find(id)->queue_entry.reset();
        refuse_request(s, id, refusal_outcome::not_run,
                       refusal_reason::deadline);
    }
}

void record_primary_change(state& s,
                           group_row& group,
                           std::optional<server_row_id> primary)
{
    if (!primary && group.primary)
        group.primary_absent_since = s.now;
    if (!primary || !group.primary_absent_since)
        return;
    s.primary_absences.push_back(s.now - *group.primary_absent_since);
    if (s.primary_absences.size() > absence_limit)
        s.primary_absences.pop_front();
    group.primary_absent_since.reset();
}

bool can_wait_for_primary(state const& s,
                          group_row const& group,
                          request_row const& request)
{
    auto const until = expected_return(s, group);
    if (!request.priority || !until)
        return true;
    auto const ahead = count_ahead(s, group, *request.priority);
    auto const wait =
        service_interval(s, group) * static_cast<duration::rep>(ahead);
    return *until + wait < request.deadline;
}

bool make_room_for_primary(state& s,
                           group_row& group,
                           request_row const& request)
{
    auto& waiting = group.waiting_primary;
    std::erase_if(waiting, [&s](request_row_id id)
                  { return !waits_for_primary(s.requests.find(id)); });
    if (waiting.size() < s.settings.queue_limit)
        return true;
    auto const priority_of = [&s](request_row_id id)
    {
        return s.requests.find(id)->priority.value_or(0);
    };
    // The last one of the lowest class.
    auto const lowest =
        std::max_element(waiting.rbegin(), waiting.rend(),
                         [&](request_row_id a, request_row_id b)
                         { return priority_of(a) < priority_of(b); });
    if (lowest == waiting.rend() || !request.priority ||
        priority_of(*lowest) <= *request.priority)
        return false;
    auto const id = *lowest;
    waiting.erase(std::next(lowest).base());
    refuse_request(s, id, refusal_outcome::not_run, refusal_reason::queue_full);
    return true;
}

void route_waiting_for_primary(state& s, group_row& group)
{
    auto waiting = std::exchange(group.waiting_primary, {});
    std::erase_if(waiting, [&s](request_row_id id)
                  { return !waits_for_primary(s.requests.find(id)); });
    std::stable_sort(waiting.begin(), waiting.end(),
                     [&s](request_row_id a, request_row_id b) {
                         return s.requests.find(a)->priority <
                                s.requests.find(b)->priority;
                     });
    s.to_route.insert(s.to_route.end(), waiting.begin(), waiting.end());
}

duration
retry_after(state const& s, request_row const& request, refusal_reason reason)
{
    if (!s.settings.uses_priorities || !s.view->has_priorities)
        return {};
    auto const estimate = wait_functions[static_cast<std::size_t>(reason)];
    if (estimate == nullptr)
        return {};
    auto const wait =
        std::clamp(estimate(s, request), min_retry_after, max_retry_after);
    // Clients that are refused together return spread over the same time again.
    auto const spread = static_cast<double>(wait.count()) *
                        spread_of(*s.sessions.find(request.session), request);
    return wait + duration(static_cast<duration::rep>(spread));
}

void count_served(state& s, request_row const& request)
{
    if (!request.priority)
        return;
    auto& counts = s.counts.by_class[*request.priority];
    ++counts.served;
    counts.within_target += !request.target || s.now <= *request.target ? 1 : 0;
}

void count_sent(state& s, request_row const& request)
{
    if (!request.priority)
        return;
    auto& counts = s.counts.by_class[*request.priority];
    ++counts.sent;
    counts.waited += s.now - request.arrived_at;
}

void count_refused(state& s, request_row const& request, refusal_reason reason)
{
    if (request.priority)
        ++s.counts.by_class[*request.priority].refused[reason];
}

} // namespace basilreach::traffic::detail

namespace basilreach::traffic
{

class_counts& class_counts::operator+=(class_counts const& it)
{
    served += it.served;
    within_target += it.within_target;
    sent += it.sent;
    waited += it.waited;
    for (auto const& [reason, n] : it.refused)
        refused[reason] += n;
    return *this;
}

} // namespace basilreach::traffic
