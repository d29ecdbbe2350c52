#include <basilreach/pgwire/startup_options.hpp>
#include <basilreach/stand_in/database_group.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <span>
#include <utility>

namespace basilreach::stand_in
{

namespace
{

using pgwire::column;
using pgwire::error_fields;

std::array const value_columns{column{"value"}};
std::array const amount_columns{column{"amount", pgwire::int8_type, 8}};
std::array const sleep_columns{column{"pg_sleep"}};
std::array const position_columns{column{"term", pgwire::int8_type, 8},
                                  column{"position", pgwire::int8_type, 8}};
std::array const claim_columns{column{"claim_request"}};
std::array const promote_columns{column{"promote"}};

error_fields make_error(std::string sqlstate, std::string message)
{
    return {"ERROR", std::move(sqlstate), std::move(message), "", ""};
}

error_fields fatal_error(std::string sqlstate, std::string message)
{
    return {"FATAL", std::move(sqlstate), std::move(message), "", ""};
}

answer one_row(std::vector<std::optional<std::string>> row)
{
    return {{std::move(row)}, "SELECT 1"};
}

std::string item_lock(std::string const& key)
{
    return "item " + key;
}

} // namespace

// Properties of a kind of statement that determine how it is run.
struct database_group::statement_properties
{
    answer_result (database_group::*execute)(client_id, client&);
    std::span<column const> columns;
    bool is_write = false;
    bool uses_slot = false;
    // Index of the argument that is the key of the locked item, or -1.
    int locked_item = -1;
    bool locks_request = false;
    // Ends a transaction block, also a failed one.
    bool ends_block = false;
};

database_group::statement_properties const&
database_group::properties_of(statement_kind kind)
{
    using g = database_group;
    static std::array<statement_properties, 14> const rows{{
        {&g::execute_select_value, value_columns, false, true},
        {&g::execute_select_amount, amount_columns, false, true},
        {&g::execute_insert_item, {}, true, true, 0},
        {&g::execute_update_value, {}, true, true, 1},
        {&g::execute_increment_amount, {}, true, true, 0},
        {&g::execute_sleep, sleep_columns, false, true},
        {&g::execute_begin, {}},
        {&g::execute_begin_read_only, {}},
        {&g::execute_begin_read_write, {}},
        {&g::execute_commit, {}, false, false, -1, false, true},
        {&g::execute_rollback, {}, false, false, -1, false, true},
        {&g::execute_position, position_columns},
        {&g::execute_claim_request, claim_columns, true, false, -1, true},
        {&g::execute_promote, promote_columns},
    }};
    return rows.at(static_cast<std::size_t>(kind));
}

database_group::database_group(group_settings settings)
    : settings_(std::move(settings)), servers_(settings_.servers.size()),
      replication_(settings_.servers.size(), settings_.lag)
{
}

client_id database_group::open_client(std::size_t server)
{
    client row;
    row.server = server;
    row.process = next_process_++;
    return clients_.insert(std::move(row));
}

void database_group::close_client(client_id id)
{
    auto* const it = clients_.find(id);
    if (it == nullptr)
        return;
    rollback(id, *it);
    dequeue(id, *it);
    if (it->counts_towards_limit)
        --servers_[it->server].connections;
    if (!it->is_control)
        received_.push_back(std::move(it->received));
    clients_.erase(id);
}

void database_group::receive(client_id id, std::string_view bytes)
{
    auto* const it = clients_.find(id);
    if (it == nullptr || it->phase == client_phase::closing)
        return;
    received_size_ += bytes.size();
    if (received_size_ <= settings_.received_limit)
        it->received.append(bytes);
    if (it->silenced)
        return;
    for (;;)
    {
        auto message = it->decoder.next(bytes);
        if (!message)
        {
            fail_fatally(id, *it,
                         fatal_error("08P01", describe(message.error())));
            return;
        }
        if (!message.value())
            break;
        it->inbox.push_back(*std::move(message).value());
    }
    mark_changed(id, *it);
}

std::vector<group_action> database_group::tick(instant now)
{
    now_ = now;
    replication_.replicate(now_);
    handle_deadlines();
    handle_messages();
    replication_.replicate(now_);
    return std::exchange(actions_, {});
}

instant database_group::next_deadline() const
{
    if (!changed_.empty())
        return instant{};
    return std::min(deadlines_.next(), replication_.next_arrival());
}

void database_group::handle_deadlines()
{
    while (auto const id = deadlines_.pop_due(now_))
    {
        if (auto* const it = clients_.find(*id))
        {
            it->deadline_passed = true;
            mark_changed(*id, *it);
        }
    }
}

// Handling a message can release a lock or a slot and so append further clients
// to changed_, which the same tick handles as well. The loop ends because each
// step consumes a message or a statement.
void database_group::handle_messages()
{
    for (std::size_t n = 0; n != changed_.size(); ++n)
    {
        auto const id = changed_[n];
        auto* const it = clients_.find(id);
        if (it == nullptr)
            continue;
        it->is_changed = false;
        advance(id, *it);
        if (!it->out.empty() && !it->silenced)
            actions_.emplace_back(send_bytes{id, std::move(it->out)});
        it->out.clear();
        if (it->phase == client_phase::closing)
            actions_.emplace_back(disconnect_client{id});
    }
    changed_.clear();
}

void database_group::mark_changed(client_id id, client& it)
{
    if (!std::exchange(it.is_changed, true))
        changed_.push_back(id);
}

void database_group::mark_clients_changed(std::size_t server)
{
    clients_.for_each(
        [&](client_id id, client& it)
        {
            if (it.server == server)
                mark_changed(id, it);
        });
}

bool database_group::is_paused(client const& it) const
{
    return servers_[it.server].paused && !it.is_control;
}

void database_group::advance(client_id id, client& it)
{
    while (it.phase != client_phase::closing && !is_paused(it))
    {
        if (it.phase == client_phase::authenticating)
        {
            if (!std::exchange(it.deadline_passed, false))
                return;
            finish_authentication(it);
        }
        else if (it.activity == client_activity::running)
        {
            if (!std::exchange(it.deadline_passed, false))
                return;
            run(id, it);
        }
        else if (it.activity == client_activity::waiting_for_lock)
        {
            acquire_lock(id, it);
            if (it.activity != client_activity::idle)
                return;
        }
        else if (it.activity == client_activity::idle &&
                 !it.simple_statements.empty())
            next_simple_statement(id, it);
        else if (it.activity == client_activity::idle && it.in_simple_query)
            finish_simple_query(id, it);
        else if (it.activity == client_activity::waiting_for_slot ||
                 it.inbox.empty())
            return;
        else
        {
            auto const message = std::move(it.inbox.front());
            it.inbox.pop_front();
            dispatch(id, it, message);
        }
    }
}

template <class Message>
void database_group::handle(client_id id,
                            client& it,
                            pgwire::frontend_message const& message)
{
    on(id, it, std::get<Message>(message));
}

namespace
{

template <class Function, class... Messages, class Make>
constexpr std::array<Function, sizeof...(Messages)>
make_handlers(std::variant<Messages...> const*, Make make)
{
    return {make.template operator()<Messages>()...};
}

} // namespace

void database_group::dispatch(client_id id,
                              client& it,
                              pgwire::frontend_message const& message)
{
    using handler = void (database_group::*)(client_id, client&,
                                             pgwire::frontend_message const&);
    static constexpr auto handlers = make_handlers<handler>(
        static_cast<pgwire::frontend_message const*>(nullptr),
        []<class Message>() -> handler
        { return &database_group::handle<Message>; });
    if (it.skips_until_sync && !std::holds_alternative<pgwire::sync>(message) &&
        !std::holds_alternative<pgwire::terminate>(message))
        return;
    if (it.phase == client_phase::password &&
        !std::holds_alternative<pgwire::password_message>(message))
    {
        fail_fatally(id, it, fatal_error("08P01", "a password is expected"));
        return;
    }
    (this->*handlers[message.index()])(id, it, message);
}

void database_group::fail(client_id id, client& it, error_fields const& error)
{
    pgwire::append_error_response(it.out, error);
    bool const in_block =
        it.current_transaction.state == transaction_state::block ||
        it.current_transaction.state == transaction_state::failed_block;
    rollback(id, it);
    if (in_block)
        it.current_transaction.state = transaction_state::failed_block;
    it.simple_statements.clear();
    it.skips_until_sync = !it.in_simple_query;
}

void database_group::fail_fatally(client_id id,
                                  client& it,
                                  error_fields const& error)
{
    pgwire::append_error_response(it.out, error);
    rollback(id, it);
    it.phase = client_phase::closing;
    mark_changed(id, it);
}

void database_group::on(client_id, client& it, pgwire::ssl_request const&)
{
    it.out.push_back(pgwire::encryption_refused);
}

void database_group::on(client_id,
                        client& it,
                        pgwire::gss_encryption_request const&)
{
    it.out.push_back(pgwire::encryption_refused);
}

void database_group::on(client_id id,
                        client& it,
                        pgwire::startup_message const& message)
{
    it.user = message.value("user");
    it.is_control = message.value("database") == "stand_in";
    auto settings = pgwire::parse_startup_options(message.value("options"));
    settings.insert(settings.end(), message.parameters.begin(),
                    message.parameters.end());
    for (auto const& [name, value] : settings)
        if (name == "default_transaction_read_only")
            it.read_only_default = value == "on" || value == "true";
    auto& server = servers_[it.server];
    if (!it.is_control)
    {
        if (server.connections == settings_.connection_limit)
        {
            fail_fatally(id, it, fatal_error("53300", "too many connections"));
            return;
        }
        it.counts_towards_limit = true;
        ++server.connections;
        server.max_connections_seen =
            std::max(server.max_connections_seen, server.connections);
    }
    it.phase = client_phase::password;
    pgwire::append_authentication_cleartext_password(it.out);
}

void database_group::on(client_id id,
                        client& it,
                        pgwire::password_message const& message)
{
    if (it.phase != client_phase::password)
    {
        fail_fatally(id, it, fatal_error("08P01", "unexpected password"));
        return;
    }
    if (it.user != settings_.user || message.password != settings_.password)
    {
        fail_fatally(id, it,
                     fatal_error("28P01", "password authentication failed"));
        return;
    }
    it.phase = client_phase::authenticating;
    if (it.is_control || settings_.connection_cost == duration{})
        it.deadline_passed = true;
    else
        deadlines_.set(id, now_ + settings_.connection_cost);
}

void database_group::finish_authentication(client& it)
{
    it.phase = client_phase::ready;
    pgwire::append_authentication_ok(it.out);
    pgwire::append_parameter_status(it.out, "server_version", "15.0");
    pgwire::append_parameter_status(it.out, "server_encoding", "UTF8");
    pgwire::append_parameter_status(it.out, "client_encoding", "UTF8");
    pgwire::append_parameter_status(it.out, "standard_conforming_strings",
                                    "on");
    pgwire::append_backend_key_data(it.out, it.process, it.process);
    pgwire::append_ready_for_query(it.out, pgwire::ready_status::idle);
}

void database_group::on(client_id,
                        client& it,
                        pgwire::cancel_request const& message)
{
    it.phase = client_phase::closing;
    clients_.for_each(
        [&](client_id id, client& other)
        {
            if (other.process != message.process ||
                message.secret != message.process ||
                other.activity == client_activity::idle)
                return;
            dequeue(id, other);
            fail(id, other,
                 make_error("57014", "canceling statement by user request"));
            mark_changed(id, other);
        });
}

void database_group::on(client_id id, client& it, pgwire::query const& message)
{
    it.in_simple_query = true;
    auto parts = split_statements(message.text);
    it.simple_statements.assign(std::make_move_iterator(parts.begin()),
                                std::make_move_iterator(parts.end()));
    if (it.simple_statements.empty())
        pgwire::append_empty_query_response(it.out);
    mark_changed(id, it);
}

void database_group::next_simple_statement(client_id id, client& it)
{
    auto const text = std::move(it.simple_statements.front());
    it.simple_statements.pop_front();
    if (it.is_control)
    {
        std::vector<column> columns;
        auto const outcome = run_control(text, columns);
        if (!outcome)
        {
            fail(id, it, outcome.error());
            return;
        }
        if (!columns.empty())
            pgwire::append_row_description(it.out, columns);
        for (auto const& row : outcome.value().rows)
        {
            std::vector<std::optional<std::string_view>> const values(
                row.begin(), row.end());
            pgwire::append_data_row(it.out, values);
        }
        pgwire::append_command_complete(it.out, outcome.value().tag);
        return;
    }
    auto parsed = parse_statement(text);
    if (!parsed)
    {
        fail(id, it, make_error("42601", "unknown statement form"));
        return;
    }
    it.current_statement = {parsed->kind, {}, true};
    for (auto const& each : parsed->arguments)
    {
        auto const* const value = std::get_if<std::string>(&each);
        if (value == nullptr)
        {
            fail(id, it, make_error("42P02", "there is no parameter"));
            return;
        }
        it.current_statement.arguments.push_back(*value);
    }
    start(id, it);
}

void database_group::finish_simple_query(client_id id, client& it)
{
    on(id, it, pgwire::sync{});
    it.in_simple_query = false;
}

void database_group::on(client_id id, client& it, pgwire::parse const& message)
{
    auto parsed = parse_statement(message.text);
    if (it.is_control || !parsed)
    {
        fail(id, it, make_error("42601", "unknown statement form"));
        return;
    }
    prepared_statement row{*std::move(parsed), 0};
    for (auto const& each : row.parsed.arguments)
        if (auto const* const index = std::get_if<std::size_t>(&each))
            row.parameter_count = std::max(row.parameter_count, *index + 1);
    if (!message.statement.empty() && it.statements.contains(message.statement))
    {
        fail(id, it, make_error("42P05", "prepared statement exists"));
        return;
    }
    it.statements.insert_or_assign(message.statement, std::move(row));
    pgwire::append_parse_complete(it.out);
}

void database_group::on(client_id id, client& it, pgwire::bind const& message)
{
    auto const found = it.statements.find(message.statement);
    if (found == it.statements.end())
    {
        fail(id, it, make_error("26000", "no such prepared statement"));
        return;
    }
    auto const& prepared = found->second;
    if (message.parameters.size() != prepared.parameter_count)
    {
        fail(id, it, make_error("08P01", "wrong number of parameters"));
        return;
    }
    // Results are sent in text format. For a text value the binary format has
    // the same bytes, for an int8 it has not.
    auto const columns = properties_of(prepared.parsed.kind).columns;
    if (std::any_of(message.result_formats.begin(),
                    message.result_formats.end(),
                    [](auto format) { return format != 0; }) &&
        std::any_of(columns.begin(), columns.end(),
                    [](auto const& each)
                    { return each.type != pgwire::text_type; }))
    {
        fail(id, it, make_error("0A000", "binary results are not supported"));
        return;
    }
    portal row{prepared.parsed, {}};
    for (std::size_t n = 0; n != message.parameters.size(); ++n)
        row.arguments.emplace_back(message.parameters[n]);
    it.portals.insert_or_assign(message.portal, std::move(row));
    pgwire::append_bind_complete(it.out);
}

void database_group::on(client_id id,
                        client& it,
                        pgwire::describe_target const& message)
{
    statement const* target = nullptr;
    if (message.kind == pgwire::target_kind::statement)
    {
        auto const found = it.statements.find(message.name);
        if (found != it.statements.end())
        {
            target = &found->second.parsed;
            std::vector<std::uint32_t> const types(
                found->second.parameter_count, pgwire::text_type);
            pgwire::append_parameter_description(it.out, types);
        }
    }
    else if (auto const found = it.portals.find(message.name);
             found != it.portals.end())
        target = &found->second.parsed;
    if (target == nullptr)
    {
        fail(id, it,
             make_error("26000", "no such prepared statement or portal"));
        return;
    }
    auto const columns = properties_of(target->kind).columns;
    if (columns.empty())
        pgwire::append_no_data(it.out);
    else
        pgwire::append_row_description(it.out, columns);
}

void database_group::on(client_id,
                        client& it,
                        pgwire::close_target const& message)
{
    if (message.kind == pgwire::target_kind::statement)
        it.statements.erase(message.name);
    else
        it.portals.erase(message.name);
    pgwire::append_close_complete(it.out);
}

void database_group::on(client_id id,
                        client& it,
                        pgwire::execute const& message)
{
    auto const found = it.portals.find(message.portal);
    if (found == it.portals.end())
    {
        fail(id, it, make_error("34000", "no such portal"));
        return;
    }
    auto const& bound = found->second;
    it.current_statement = {bound.parsed.kind, {}, false};
    for (auto const& each : bound.parsed.arguments)
    {
        auto const* const index = std::get_if<std::size_t>(&each);
        auto const value = index != nullptr ? bound.arguments[*index]
                                            : std::get<std::string>(each);
        if (!value)
        {
            fail(id, it, make_error("22004", "null is not allowed"));
            return;
        }
        it.current_statement.arguments.push_back(*value);
    }
    start(id, it);
}

void database_group::on(client_id id, client& it, pgwire::sync const&)
{
    it.skips_until_sync = false;
    if (it.current_transaction.state == transaction_state::implicit)
    {
        if (auto const outcome = commit(id, it); !outcome)
            pgwire::append_error_response(it.out, outcome.error());
    }
    auto ready = pgwire::ready_status::idle;
    if (it.current_transaction.state == transaction_state::block)
        ready = pgwire::ready_status::in_transaction;
    else if (it.current_transaction.state == transaction_state::failed_block)
        ready = pgwire::ready_status::failed_transaction;
    pgwire::append_ready_for_query(it.out, ready);
}

void database_group::on(client_id, client&, pgwire::flush const&)
{
    // Every tick sends the pending output anyway.
}

void database_group::on(client_id id, client& it, pgwire::terminate const&)
{
    rollback(id, it);
    it.phase = client_phase::closing;
}

void database_group::on(client_id id, client& it, pgwire::unsupported const&)
{
    fail(id, it, make_error("0A000", "not supported"));
}

database_group::status database_group::check(client const& it) const
{
    auto const& row = properties_of(it.current_statement.kind);
    auto const& current_transaction = it.current_transaction;
    if (current_transaction.state == transaction_state::failed_block &&
        !row.ends_block)
        return make_error("25P02", "current transaction is aborted");
    if (!row.is_write)
        return success();
    auto const& server = replication_[it.server];
    if (!server.is_primary || current_transaction.read_only)
        return make_error("25006", "read-only transaction");
    if (current_transaction.demotions != server.demotions)
        return make_error("40001", "the server was demoted");
    return success();
}

void database_group::start(client_id id, client& it)
{
    if (it.current_transaction.state == transaction_state::none)
    {
        it.current_transaction = {};
        it.current_transaction.state = transaction_state::implicit;
        it.current_transaction.read_only = it.read_only_default;
        it.current_transaction.demotions = replication_[it.server].demotions;
    }
    if (auto const allowed = check(it); !allowed)
    {
        fail(id, it, allowed.error());
        return;
    }
    auto const& row = properties_of(it.current_statement.kind);
    auto const& arguments = it.current_statement.arguments;
    it.requested_lock.clear();
    if (row.locked_item >= 0)
        it.requested_lock =
            item_lock(arguments[static_cast<std::size_t>(row.locked_item)]);
    else if (row.locks_request)
        it.requested_lock = "request " + arguments[0] + " " + arguments[1];
    acquire_lock(id, it);
}

// A lock is acquired before a slot. In the reverse order the holder of a lock
// could wait for a slot that is occupied by a statement waiting for that lock.
void database_group::acquire_lock(client_id id, client& it)
{
    auto& server = servers_[it.server];
    server.lock_queue.erase(id);
    it.activity = client_activity::idle;
    if (!it.requested_lock.empty())
    {
        auto const [held, inserted] =
            server.locks.try_emplace(it.requested_lock, id);
        if (held->second != id)
        {
            if (would_deadlock(id, it))
            {
                fail(id, it, make_error("40P01", "deadlock detected"));
                return;
            }
            it.activity = client_activity::waiting_for_lock;
            server.lock_queue.insert(id);
            return;
        }
        it.current_transaction.locks.insert(it.requested_lock);
    }
    acquire_slot(id, it);
}

bool database_group::would_deadlock(client_id id, client const& it) const
{
    auto const& locks = servers_[it.server].locks;
    auto const* next = &it;
    for (std::size_t n = 0; n != clients_.size(); ++n)
    {
        auto const held = locks.find(next->requested_lock);
        if (held == locks.end())
            return false;
        if (held->second == id)
            return n != 0;
        next = clients_.find(held->second);
        if (next == nullptr ||
            next->activity != client_activity::waiting_for_lock)
            return false;
    }
    return false;
}

void database_group::acquire_slot(client_id id, client& it)
{
    if (!properties_of(it.current_statement.kind).uses_slot)
    {
        run(id, it);
        return;
    }
    auto& server = servers_[it.server];
    if (server.busy_slots == settings_.slots)
    {
        it.activity = client_activity::waiting_for_slot;
        server.slot_queue.push_back(id);
        return;
    }
    ++server.busy_slots;
    it.activity = client_activity::running;
    auto cost = settings_.statement_cost;
    if (it.current_statement.kind == statement_kind::sleep)
        cost = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::strtod(
                it.current_statement.arguments[0].c_str(), nullptr)));
    if (cost > duration{})
        deadlines_.set(id, now_ + cost);
    else
    {
        it.deadline_passed = true;
        mark_changed(id, it);
    }
}

void database_group::run(client_id id, client& it)
{
    dequeue(id, it);
    // The server may have been demoted while the statement waited.
    if (auto const allowed = check(it); !allowed)
    {
        fail(id, it, allowed.error());
        return;
    }
    auto const& row = properties_of(it.current_statement.kind);
    auto const outcome = (this->*row.execute)(id, it);
    if (!outcome)
    {
        fail(id, it, outcome.error());
        return;
    }
    if (it.current_statement.describe && !row.columns.empty())
        pgwire::append_row_description(it.out, row.columns);
    for (auto const& values : outcome.value().rows)
    {
        std::vector<std::optional<std::string_view>> const views(values.begin(),
                                                                 values.end());
        pgwire::append_data_row(it.out, views);
    }
    pgwire::append_command_complete(it.out, outcome.value().tag);
}

// Removes a client from every queue. If the client occupied a slot, the slot
// goes to the next client in the queue.
void database_group::dequeue(client_id id, client& it)
{
    auto& server = servers_[it.server];
    deadlines_.erase(id);
    it.deadline_passed = false;
    server.lock_queue.erase(id);
    std::erase(server.slot_queue, id);
    auto const before = std::exchange(it.activity, client_activity::idle);
    if (before != client_activity::running)
        return;
    --server.busy_slots;
    if (server.slot_queue.empty())
        return;
    auto const next = server.slot_queue.front();
    server.slot_queue.pop_front();
    auto* const other = clients_.find(next);
    other->activity = client_activity::idle;
    acquire_slot(next, *other);
}

std::optional<item> database_group::find_item(client const& it,
                                              std::string const& key) const
{
    auto const& items = replication_[it.server].data.items;
    store view;
    if (auto const found = items.find(key); found != items.end())
        view.items.insert(*found);
    view.apply(it.current_transaction.changes);
    auto const found = view.items.find(key);
    if (found == view.items.end())
        return std::nullopt;
    return found->second;
}

answer_result database_group::execute_select_value(client_id, client& it)
{
    auto const found = find_item(it, it.current_statement.arguments[0]);
    if (!found)
        return answer{{}, "SELECT 0"};
    return one_row({found->value});
}

answer_result database_group::execute_select_amount(client_id, client& it)
{
    auto const found = find_item(it, it.current_statement.arguments[0]);
    if (!found)
        return answer{{}, "SELECT 0"};
    return one_row({std::to_string(found->amount)});
}

answer_result database_group::execute_insert_item(client_id, client& it)
{
    auto const& arguments = it.current_statement.arguments;
    if (find_item(it, arguments[0]))
        return make_error("23505", "duplicate key value violates unique "
                                   "constraint \"item_pkey\"");
    it.current_transaction.changes.emplace_back(
        insert_item{arguments[0], arguments[1]});
    return answer{{}, "INSERT 0 1"};
}

answer_result database_group::execute_update_value(client_id, client& it)
{
    auto const& arguments = it.current_statement.arguments;
    if (!find_item(it, arguments[1]))
        return answer{{}, "UPDATE 0"};
    it.current_transaction.changes.emplace_back(
        update_value{arguments[1], arguments[0]});
    return answer{{}, "UPDATE 1"};
}

answer_result database_group::execute_increment_amount(client_id, client& it)
{
    auto const& key = it.current_statement.arguments[0];
    if (!find_item(it, key))
        return answer{{}, "UPDATE 0"};
    it.current_transaction.changes.emplace_back(increment_amount{key});
    return answer{{}, "UPDATE 1"};
}

answer_result database_group::execute_sleep(client_id, client&)
{
    return one_row({""});
}

answer_result database_group::execute_begin(client_id, client& it)
{
    it.current_transaction.state = transaction_state::block;
    return answer{{}, "BEGIN"};
}

answer_result database_group::execute_begin_read_only(client_id id, client& it)
{
    it.current_transaction.read_only = true;
    return execute_begin(id, it);
}

answer_result database_group::execute_begin_read_write(client_id id, client& it)
{
    it.current_transaction.read_only = false;
    return execute_begin(id, it);
}

answer_result database_group::execute_commit(client_id id, client& it)
{
    if (it.current_transaction.state == transaction_state::failed_block)
        return execute_rollback(id, it);
    if (auto const outcome = commit(id, it); !outcome)
        return outcome.error();
    return answer{{}, "COMMIT"};
}

answer_result database_group::execute_rollback(client_id id, client& it)
{
    rollback(id, it);
    return answer{{}, "ROLLBACK"};
}

answer_result database_group::execute_position(client_id, client& it)
{
    auto const position = replication_.position(it.server);
    return one_row(
        {std::to_string(position.term), std::to_string(position.offset)});
}

answer_result database_group::execute_claim_request(client_id, client& it)
{
    claim_request const claim{it.current_statement.arguments[0],
                              it.current_statement.arguments[1]};
    bool const used =
        replication_[it.server].data.claimed_requests.contains(
            {claim.workspace, claim.request}) ||
        std::find(it.current_transaction.changes.begin(),
                  it.current_transaction.changes.end(),
                  operation{claim}) != it.current_transaction.changes.end();
    if (used)
        return make_error("23505", "duplicate key value violates unique "
                                   "constraint \"request_pkey\"");
    it.current_transaction.changes.emplace_back(claim);
    return one_row({"t"});
}

answer_result database_group::execute_promote(client_id, client& it)
{
    auto const& text = it.current_statement.arguments[0];
    std::uint64_t term = 0;
    auto const end = text.data() + text.size();
    if (std::from_chars(text.data(), end, term).ptr != end)
        return make_error("22P02", "invalid term");
    if (!replication_.promote(it.server, term, now_))
        return make_error("55000", "the term is not later than the known one");
    return one_row({"t"});
}

database_group::status database_group::commit(client_id id, client& it)
{
    auto const& server = replication_[it.server];
    auto changes = std::move(it.current_transaction.changes);
    auto const demotions = it.current_transaction.demotions;
    rollback(id, it);
    if (changes.empty())
        return success();
    if (!server.is_primary || server.demotions != demotions)
        return make_error("40001", "the server was demoted");
    replication_.commit(it.server, std::move(changes), now_);
    return success();
}

void database_group::rollback(client_id id, client& it)
{
    release_locks(id, it);
    it.current_transaction = {};
}

void database_group::release_locks(client_id, client& it)
{
    if (it.current_transaction.locks.empty())
        return;
    auto& server = servers_[it.server];
    for (auto const& lock : it.current_transaction.locks)
        server.locks.erase(lock);
    it.current_transaction.locks.clear();
    for (auto const waiting : server.lock_queue)
        if (auto* const other = clients_.find(waiting))
            mark_changed(waiting, *other);
}

} // namespace basilreach::stand_in
