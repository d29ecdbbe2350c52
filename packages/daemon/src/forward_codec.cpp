// Converts between the messages of forwarded statements and the types of a
// traffic thread. Numbers that stand for enumerations are checked, because they
// index tables.
#include <basilreach/daemon/forward_codec.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace basilreach::daemon
{

namespace
{

// Bound of the durations in messages, against overflows.
constexpr duration max_duration = std::chrono::hours(1);

duration bounded(duration it)
{
    return std::clamp(it, duration{}, max_duration);
}

template <class Enum>
std::optional<Enum> to_enum(std::uint8_t number, Enum last)
{
    if (number > static_cast<std::uint8_t>(last))
        return std::nullopt;
    return static_cast<Enum>(number);
}

template <class Enum>
std::uint8_t to_number(Enum it)
{
    return static_cast<std::uint8_t>(it);
}

} // namespace

messages::forward_statement
make_forward_statement(line_client const& client,
                       traffic::forward_details const& details)
{
    auto const& identity = client.identity();
    auto const& command = client.current();
    messages::forward_statement out;
    out.session = client.session();
    out.request = details.request;
    out.revision = details.revision;
    out.route = identity.route;
    out.group = details.group;
    out.workspace = identity.workspace;
    out.key = identity.key;
    out.position = details.position;
    out.time_left = details.time_left;
    out.time_since_arrival = details.time_since_arrival;
    out.verb = to_number(details.verb);
    out.opening = to_number(details.opens);
    out.kind = to_number(command.kind);
    out.id = command.id;
    out.text = command.text;
    out.name = command.name;
    out.value = command.value;
    for (auto const& [name, value] : client.variables().values)
        out.variables.push_back({name, value});
    if (command.kind == command_kind::execute)
    {
        auto const& shape = client.variables().statements.at(command.name);
        out.shape = messages::forwarded_shape{shape.writes, shape.shape};
    }
    return out;
}

std::optional<forwarded_statement>
read_statement(messages::forward_statement const& it)
{
    auto const kind = to_enum(it.kind, command_kind::unknown);
    auto const verb = to_enum(it.verb, traffic::statement_verb::write);
    auto const opens =
        to_enum(it.opening, traffic::transaction_opening::opened);
    if (!kind || !verb || !opens ||
        (kind == command_kind::execute && !it.shape))
        return std::nullopt;
    forwarded_statement out;
    out.command = {it.id, *kind, it.text, it.name, it.value};
    for (auto const& variable : it.variables)
        out.variables.values.insert_or_assign(variable.name, variable.value);
    if (it.shape)
        out.variables.statements.emplace(
            it.name, prepared_shape{it.shape->writes, it.shape->shape});
    out.verb = *verb;
    out.opens = *opens;
    out.origin = {it.revision, it.group, bounded(it.time_left),
                  bounded(it.time_since_arrival)};
    out.identity = {it.route, it.group, it.workspace, it.key, false, true};
    if (it.position)
        out.positions.emplace(it.group, *it.position);
    return out;
}

messages::forward_answer make_forward_answer(std::uint64_t session,
                                             std::uint64_t request,
                                             line_answer const& answer)
{
    messages::forward_answer out;
    out.session = session;
    out.request = request;
    for (auto const& it : answer.rows)
        out.rows.push_back(it.text);
    if (auto const* error = std::get_if<error_message>(&answer.outcome))
    {
        out.is_error = true;
        out.error = to_number(error->code);
        out.text = error->detail;
    }
    else
        out.text = std::get<complete_message>(answer.outcome).proof;
    out.status = to_number(answer.ready.status);
    out.position = answer.ready.position;
    return out;
}

std::optional<server_answer> read_answer(messages::forward_answer const& it)
{
    auto const error = to_enum(it.error, statement_error::malformed);
    auto const status =
        to_enum(it.status, traffic::transaction_status::failed_transaction);
    if (!error || !status)
        return std::nullopt;
    auto payload = std::make_unique<line_answer>();
    for (auto const& row : it.rows)
        payload->rows.push_back({row});
    if (it.is_error)
        payload->outcome = error_message{*error, it.text};
    else
        payload->outcome = complete_message{it.text};
    payload->ready = {*status, it.position};
    server_answer out;
    out.summary.is_error = it.is_error;
    out.summary.status = *status;
    out.summary.position = it.position;
    out.payload = std::move(payload);
    return out;
}

messages::forward_refusal make_forward_refusal(std::uint64_t session,
                                               std::uint64_t request,
                                               traffic::refuse const& it)
{
    return {session,
            request,
            to_number(it.outcome),
            to_number(it.reason),
            it.close_session,
            it.rate_wait};
}

std::optional<traffic::refuse> read_refusal(messages::forward_refusal const& it)
{
    auto const outcome = to_enum(it.outcome, traffic::refusal_outcome::unknown);
    auto const reason =
        to_enum(it.reason, traffic::refusal_reason::out_of_service);
    if (!outcome || !reason)
        return std::nullopt;
    return traffic::refuse{traffic::session_id{it.session}, *outcome, *reason,
                           it.ends_session, bounded(it.retry_after)};
}

} // namespace basilreach::daemon
