#include "admin_replies.hpp"

#include <array>
#include <utility>

#include <basilreach/rules/digest.hpp>
#include <basilreach/rules/parse.hpp>

namespace basilreach::daemon
{

namespace
{

using control::command;

std::optional<command> convert(admin::apply_rules const& it)
{
    return command{control::change_id(it.change_id), "operator",
                   control::apply_rules{it.base_version, it.text}};
}

std::optional<command> convert(admin::withdraw_key const& it)
{
    return command{{}, "operator", control::withdraw_key{it.digest}};
}

std::optional<command> convert(admin::announce_server const& it)
{
    return command{{},
                   it.server.str(),
                   control::announce_server{it.server, it.group, it.data_centre,
                                            it.address, it.sequence}};
}

std::optional<command> convert(admin::announce_leaving const& it)
{
    return command{
        {}, it.server.str(), control::announce_leaving{it.server, it.sequence}};
}

std::optional<command> convert(admin::report_verdict const& it)
{
    auto const value = it.verdict == admin::server_verdict::up
                           ? control::verdict::up
                           : control::verdict::down;
    return command{
        {}, "health", control::report_verdict{it.server, it.sequence, value}};
}

std::optional<command> convert(admin::set_data_centre_service const& it)
{
    return command{
        {},
        "operator",
        control::set_data_centre_service{
            it.data_centre, it.service == admin::service_state::in_service}};
}

template <class Other>
std::optional<command> convert(Other const& /*it*/)
{
    return std::nullopt;
}

// Indexed by control::refusal_reason.
constexpr std::array reasons = {"entry applied before",
                                "change id missing",
                                "change id used for another change",
                                "unknown base version",
                                "invalid rules",
                                "a withdrawn key is granted",
                                "unknown daemon",
                                "the daemon was not removed",
                                "unknown server",
                                "unknown group",
                                "the server belongs to another group",
                                "the server is not leaving",
                                "the server is in use",
                                "the server is down",
                                "the server is leaving",
                                "the group is changing its primary",
                                "invalid verdict"};

static_assert(
    reasons.size() ==
    static_cast<std::size_t>(control::refusal_reason::invalid_verdict) + 1);

// Parses "LINE:COLUMN: REASON: WORD", the format of rules::to_string().
std::optional<rules::rule_error> parse_rule_error(std::string const& line)
{
    rules::rule_error it;
    auto const colon = line.find(':');
    auto const end = line.find(": ", colon + 1);
    auto const word = line.find(": ", end + 2);
    if (colon == line.npos || end == line.npos)
        return std::nullopt;
    auto const reason = rules::parse_rule_reason(
        std::string_view(line).substr(end + 2, word - end - 2));
    if (!reason)
        return std::nullopt;
    it.line = std::strtoul(line.c_str(), nullptr, 10);
    it.column = std::strtoul(line.c_str() + colon + 1, nullptr, 10);
    it.reason = *reason;
    if (word != line.npos)
        it.word = line.substr(word + 2);
    return it;
}

void fill(command const& it,
          control::accepted const& from,
          admin::change_answer& to)
{
    to.outcome = admin::change_outcome::accepted;
    bool const is_rules = std::holds_alternative<control::apply_rules>(it.body);
    to.version = is_rules ? from.version : from.revision;
    if (is_rules)
        to.change_id = it.id.str();
}

void fill(command const& /*it*/,
          control::conflict const& from,
          admin::change_answer& to)
{
    to.outcome = admin::change_outcome::conflict;
    to.version = from.version;
    to.change_id = from.winner.str();
}

void fill(command const& /*it*/,
          control::superseded const& from,
          admin::change_answer& to)
{
    to.outcome = admin::change_outcome::superseded;
    to.version = from.current;
}

void fill(command const& /*it*/,
          control::refused const& from,
          admin::change_answer& to)
{
    to.outcome = admin::change_outcome::refused;
    for (auto const& line : from.details)
        if (auto const error = parse_rule_error(line))
            to.errors.push_back(*error);
    if (to.errors.empty())
        to.reason = reasons[static_cast<std::size_t>(from.reason)];
}

void fill(command const& it,
          control::repeated const& from,
          admin::change_answer& to)
{
    std::visit([&](auto const& first) { fill(it, first, to); }, from.first);
    if (to.outcome == admin::change_outcome::accepted)
        to.outcome = admin::change_outcome::repeated;
}

std::string describe(control::first_answer const& it)
{
    static constexpr std::array names = {"accepted", "conflict", "superseded",
                                         "refused"};
    return names[it.index()];
}

// Indexed by control::group_phase.
constexpr std::array phases = {"serving", "fencing", "choosing"};

// Indexed by control::verdict.
constexpr std::array verdicts = {"none", "up", "down"};

} // namespace

std::optional<control::command>
to_control_command(admin::admin_command const& it)
{
    return std::visit([](auto const& c) { return convert(c); }, it);
}

messages::admin_reply make_reply(control::command const& it,
                                 control::command_answer const& answer)
{
    admin::change_answer change;
    std::visit([&](auto const& a) { fill(it, a, change); }, answer);
    return make_reply(admin::encode(change));
}

messages::admin_reply make_reply(admin::result_table table)
{
    messages::admin_reply reply;
    reply.columns = std::move(table.columns);
    for (auto& row : table.rows)
        reply.rows.push_back({std::move(row)});
    reply.tag = "SELECT " + std::to_string(reply.rows.size());
    return reply;
}

messages::admin_reply make_error(char const* sqlstate, std::string message)
{
    messages::admin_reply reply;
    reply.sqlstate = sqlstate;
    reply.message = std::move(message);
    return reply;
}

std::vector<admin::rules_row> show_rules(control::control_state const& state)
{
    auto const& parts = state.parts();
    return {{parts.rules_version, parts.rules_id.str(), parts.rules_text}};
}

std::vector<admin::history_row>
show_history(control::control_state const& state)
{
    std::vector<admin::history_row> rows;
    for (auto const& it : state.parts().history)
    {
        std::uint64_t version = 0;
        if (auto const* accepted = std::get_if<control::accepted>(&it.answer))
            version = accepted->version;
        rows.push_back({version, it.id.str(), it.author, describe(it.answer)});
    }
    return rows;
}

std::vector<admin::status_row> show_status(control::control_state const& state)
{
    std::vector<admin::status_row> rows;
    auto const& parts = state.parts();
    rows.push_back(
        {"control", "state", "revision", std::to_string(parts.revision)});
    rows.push_back({"control", "state", "rules_version",
                    std::to_string(parts.rules_version)});
    rows.push_back(
        {"control", "state", "digest", std::to_string(state.digest())});
    for (auto const& [name, it] : parts.groups)
    {
        rows.push_back({"group", name.str(), "term", std::to_string(it.term)});
        rows.push_back({"group", name.str(), "phase",
                        phases[static_cast<std::size_t>(it.phase)]});
        if (it.primary)
            rows.push_back({"group", name.str(), "primary", it.primary->str()});
    }
    for (auto const& [name, it] : parts.servers)
    {
        if (it.is_removed)
            continue;
        rows.push_back({"server", name.str(), "group", it.group.str()});
        rows.push_back({"server", name.str(), "address", it.address});
        rows.push_back({"server", name.str(), "verdict",
                        verdicts[static_cast<std::size_t>(it.health)]});
        rows.push_back(
            {"server", name.str(), "leaving", it.is_leaving ? "yes" : "no"});
    }
    for (auto const& [name, it] : parts.data_centres)
        rows.push_back({"data_centre", name.str(), "service",
                        it.in_service ? "in_service" : "out_of_service"});
    for (auto const& [name, it] : parts.daemons)
    {
        rows.push_back(
            {"daemon", name.str(), "data_centre", it.data_centre.str()});
        if (!it.is_removed && !it.address.empty())
            rows.push_back({"daemon", name.str(), "address", it.address});
    }
    return rows;
}

} // namespace basilreach::daemon
