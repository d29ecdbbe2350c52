#include <basilreach/stand_in/database_group.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace basilreach::stand_in
{

namespace
{

using pgwire::column;
using pgwire::error_fields;

error_fields make_error(std::string sqlstate, std::string message)
{
    return {"ERROR", std::move(sqlstate), std::move(message), "", ""};
}

answer set_answer()
{
    return {{}, "SET"};
}

answer rows(std::vector<std::vector<std::optional<std::string>>> values)
{
    auto tag = "SELECT " + std::to_string(values.size());
    return {std::move(values), std::move(tag)};
}

std::size_t count_occurrences(std::string_view text, std::string_view bytes)
{
    std::size_t count = 0;
    for (auto n = bytes.find(text); n != std::string_view::npos;
         n = bytes.find(text, n + 1))
        ++count;
    return count;
}

} // namespace

struct database_group::control_command
{
    std::string_view pattern;
    answer_result (database_group::*execute)(std::vector<std::string> const&);
    std::vector<column> columns;
};

answer_result database_group::run_control(std::string_view text,
                                          std::vector<column>& columns)
{
    using g = database_group;
    static std::array<control_command, 11> const commands{{
        {"set lag % %", &g::control_lag, {}},
        {"stop %", &g::control_stop, {}},
        {"start %", &g::control_start, {}},
        {"isolate %", &g::control_isolate, {}},
        {"heal %", &g::control_heal, {}},
        {"silence %", &g::control_silence, {}},
        {"pause %", &g::control_pause, {}},
        {"resume %", &g::control_resume, {}},
        {"show state",
         &g::show_state,
         {{"server"},
          {"role"},
          {"term", pgwire::int8_type, 8},
          {"position", pgwire::int8_type, 8},
          {"connections", pgwire::int8_type, 8},
          {"max_connections_seen", pgwire::int8_type, 8},
          {"known_term", pgwire::int8_type, 8}}},
        {"show received %",
         &g::show_received,
         {{"count", pgwire::int8_type, 8}}},
        {"show value %",
         &g::show_value,
         {{"server"}, {"value"}, {"amount", pgwire::int8_type, 8}}},
    }};
    for (auto const& it : commands)
    {
        auto const captured = match(it.pattern, text);
        if (!captured)
            continue;
        std::vector<std::string> arguments;
        for (auto const& each : *captured)
            arguments.push_back(std::get<std::string>(each));
        columns = it.columns;
        return (this->*it.execute)(arguments);
    }
    return make_error("42601", "unknown control statement");
}

result<std::size_t, error_fields>
database_group::find_server(std::string const& name) const
{
    for (std::size_t n = 0; n != settings_.servers.size(); ++n)
        if (settings_.servers[n].str() == name)
            return n;
    return make_error("42704", "unknown server " + name);
}

void database_group::update_connected(std::size_t server)
{
    auto const& it = servers_[server];
    replication_.set_connected(server,
                               it.running && !it.paused && !it.isolated);
}

answer_result
database_group::control_lag(std::vector<std::string> const& arguments)
{
    BOOST_OUTCOME_TRY(server, find_server(arguments[0]));
    std::uint32_t lag = 0;
    auto const& text = arguments[1];
    auto const end = text.data() + text.size();
    if (std::from_chars(text.data(), end, lag).ptr != end)
        return make_error("22P02", "invalid number of milliseconds");
    replication_.set_lag(server, std::chrono::milliseconds{lag});
    return set_answer();
}

answer_result
database_group::control_stop(std::vector<std::string> const& arguments)
{
    BOOST_OUTCOME_TRY(server, find_server(arguments[0]));
    servers_[server].running = false;
    update_connected(server);
    actions_.emplace_back(set_listening{server, false});
    // Control connections stay open, so that the server can be started again.
    clients_.for_each(
        [&](client_id id, client& it)
        {
            if (it.server != server || it.is_control)
                return;
            it.phase = client_phase::closing;
            mark_changed(id, it);
        });
    return set_answer();
}

answer_result
database_group::control_start(std::vector<std::string> const& arguments)
{
    BOOST_OUTCOME_TRY(server, find_server(arguments[0]));
    servers_[server].running = true;
    update_connected(server);
    actions_.emplace_back(set_listening{server, true});
    return set_answer();
}

answer_result
database_group::control_isolate(std::vector<std::string> const& arguments)
{
    BOOST_OUTCOME_TRY(server, find_server(arguments[0]));
    servers_[server].isolated = true;
    update_connected(server);
    return set_answer();
}

answer_result
database_group::control_heal(std::vector<std::string> const& arguments)
{
    BOOST_OUTCOME_TRY(server, find_server(arguments[0]));
    servers_[server].isolated = false;
    update_connected(server);
    return set_answer();
}

answer_result
database_group::control_silence(std::vector<std::string> const& arguments)
{
    BOOST_OUTCOME_TRY(server, find_server(arguments[0]));
    clients_.for_each(
        [&](client_id, client& it)
        {
            if (it.server == server && !it.is_control)
                it.silenced = true;
        });
    return set_answer();
}

answer_result
database_group::control_pause(std::vector<std::string> const& arguments)
{
    BOOST_OUTCOME_TRY(server, find_server(arguments[0]));
    servers_[server].paused = true;
    update_connected(server);
    return set_answer();
}

answer_result
database_group::control_resume(std::vector<std::string> const& arguments)
{
    BOOST_OUTCOME_TRY(server, find_server(arguments[0]));
    servers_[server].paused = false;
    update_connected(server);
    mark_clients_changed(server);
    return set_answer();
}

answer_result database_group::show_state(std::vector<std::string> const&)
{
    std::vector<std::vector<std::optional<std::string>>> values;
    for (std::size_t n = 0; n != servers_.size(); ++n)
    {
        auto const& state = replication_[n];
        auto const position = replication_.position(n);
        values.push_back({settings_.servers[n].str(),
                          state.is_primary ? "primary" : "replica",
                          std::to_string(position.term),
                          std::to_string(position.offset),
                          std::to_string(servers_[n].connections),
                          std::to_string(servers_[n].max_connections_seen),
                          std::to_string(state.term)});
    }
    return rows(std::move(values));
}

answer_result
database_group::show_received(std::vector<std::string> const& arguments)
{
    if (received_size_ > settings_.received_limit)
        return make_error("54000", "more bytes were received than are kept");
    std::size_t count = 0;
    for (auto const& it : received_)
        count += count_occurrences(arguments[0], it);
    clients_.for_each(
        [&](client_id, client const& it)
        {
            if (!it.is_control)
                count += count_occurrences(arguments[0], it.received);
        });
    return rows({{std::to_string(count)}});
}

answer_result
database_group::show_value(std::vector<std::string> const& arguments)
{
    std::vector<std::vector<std::optional<std::string>>> values;
    for (std::size_t n = 0; n != servers_.size(); ++n)
    {
        auto const& items = replication_[n].data.items;
        auto const found = items.find(arguments[0]);
        if (found == items.end())
            values.push_back(
                {settings_.servers[n].str(), std::nullopt, std::nullopt});
        else
            values.push_back({settings_.servers[n].str(), found->second.value,
                              std::to_string(found->second.amount)});
    }
    return rows(std::move(values));
}

} // namespace basilreach::stand_in
