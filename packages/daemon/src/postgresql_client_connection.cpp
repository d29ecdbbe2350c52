#include <basilreach/daemon/postgresql_client_connection.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include <basilreach/pgwire/startup_options.hpp>
#include <basilreach/pgwire/wire_error.hpp>

#include "refusal_text.hpp"

namespace basilreach::daemon
{

namespace
{

// Bytes received in one call. The buffer is shared by the connections of a
// thread, so that an idle connection holds none.
constexpr std::size_t receive_buffer_bytes = std::size_t{64} << 10U;

// Bytes buffered for a client that sends while its statement is in progress.
// Beyond this limit its connection is not read, so that it cannot exhaust the
// memory.
constexpr std::size_t backlog_limit = std::size_t{64} << 10U;

// Bytes of answers that wait for the client to read them. Beyond this limit its
// messages are not handled, so that there is at most one answer more.
constexpr std::size_t answer_limit = std::size_t{64} << 10U;

// Memory of a prepared statement or portal besides its texts.
constexpr std::size_t prepared_overhead_bytes = 256;

// A client may keep prepared statements and portals of as many bytes as this
// number of messages of the maximum size.
constexpr std::size_t prepared_messages_max = 2;

constexpr std::string_view variable_prefix = "basilreach.";

pgwire::error_fields error(char const* sqlstate, std::string message)
{
    pgwire::error_fields fields;
    fields.sqlstate = sqlstate;
    fields.message = std::move(message);
    fields.hint = "not run";
    return fields;
}

std::string field_of(PGresult const* it, int code)
{
    auto const* text = PQresultErrorField(it, code);
    return text == nullptr ? std::string() : std::string(text);
}

bool is_failure(PGresult const* it)
{
    auto const status = PQresultStatus(it);
    return status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK &&
           status != PGRES_EMPTY_QUERY;
}

pgwire::ready_status to_ready_status(PGTransactionStatusType status)
{
    if (status == PQTRANS_INERROR)
        return pgwire::ready_status::failed_transaction;
    return status == PQTRANS_INTRANS ? pgwire::ready_status::in_transaction
                                     : pgwire::ready_status::idle;
}

bool is_space(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == ';';
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && is_space(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && is_space(text.back()))
        text.remove_suffix(1);
    return text;
}

// A SET or SHOW of a proxy variable. The value is that of a SET.
struct variable_statement
{
    bool is_set = false;
    std::string name;
    std::string value;
};

// Parses "SET basilreach.NAME {= | TO} 'VALUE'" or "SHOW basilreach.NAME".
std::optional<variable_statement> parse_variable(std::string_view text)
{
    text = trim(text);
    variable_statement it;
    it.is_set = text.size() > 3 && (text[1] == 'E' || text[1] == 'e');
    text =
        trim(text.substr(std::min(text.find_first_of(" \t\n"), text.size())));
    auto const end = std::min(text.find_first_of(" \t\n="), text.size());
    for (auto const c : text.substr(0, end))
        it.name += static_cast<char>(std::tolower(static_cast<int>(c)));
    text = trim(text.substr(end));
    if (!it.is_set)
        return text.empty() ? std::optional(it) : std::nullopt;
    if (text.starts_with('='))
        text.remove_prefix(1);
    else if (text.size() > 2 && (text[0] == 'T' || text[0] == 't') &&
             (text[1] == 'O' || text[1] == 'o'))
        text.remove_prefix(2);
    else
        return std::nullopt;
    text = trim(text);
    if (text.size() < 2 || text.front() != '\'' || text.back() != '\'')
        return std::nullopt;
    it.value = text.substr(1, text.size() - 2);
    return it;
}

} // namespace

// Indexed by the alternatives of pgwire::frontend_message.
postgresql_client_connection::handler const
    postgresql_client_connection::handlers[] = {
        &postgresql_client_connection::on_startup,
        &postgresql_client_connection::on_encryption_request,
        &postgresql_client_connection::on_encryption_request,
        &postgresql_client_connection::on_cancel,
        &postgresql_client_connection::on_password,
        &postgresql_client_connection::on_query,
        &postgresql_client_connection::on_parse,
        &postgresql_client_connection::on_bind,
        &postgresql_client_connection::on_describe,
        &postgresql_client_connection::on_close,
        &postgresql_client_connection::on_execute,
        &postgresql_client_connection::on_sync,
        &postgresql_client_connection::on_flush,
        &postgresql_client_connection::on_terminate,
        &postgresql_client_connection::on_unsupported};

postgresql_client_connection::postgresql_client_connection(
    ACE_SOCK_Stream const& stream, std::size_t message_limit)
    : stream_(stream), message_limit_(message_limit),
      // No message before the session is larger than a startup packet.
      decoder_(std::min(message_limit, pgwire::startup_packet_limit))
{
    static_assert(std::size(handlers) ==
                  std::variant_size_v<pgwire::frontend_message>);
}

postgresql_client_connection::~postgresql_client_connection()
{
    detach();
    stream_.close();
}

ACE_HANDLE postgresql_client_connection::get_handle() const
{
    return stream_.get_handle();
}

void postgresql_client_connection::attach(client_owner const& owner)
{
    owner_ = &owner;
    is_reading_paused_ = false;
    is_held_ = false;
    owner_->loop->reactor().register_handler(this,
                                             ACE_Event_Handler::READ_MASK);
}

void postgresql_client_connection::detach()
{
    if (owner_ == nullptr)
        return;
    owner_->loop->reactor().remove_handler(this,
                                           ACE_Event_Handler::ALL_EVENTS_MASK |
                                               ACE_Event_Handler::DONT_CALL);
    owner_ = nullptr;
}

void postgresql_client_connection::start_session(std::uint64_t session)
{
    session_ = session;
    phase_ = phase::ready;
    decoder_.set_message_limit(message_limit_);
    pgwire::append_authentication_ok(out_);
    // Drivers choose their encodings by these parameters.
    pgwire::append_parameter_status(out_, "server_version", "15.0");
    pgwire::append_parameter_status(out_, "server_encoding", "UTF8");
    pgwire::append_parameter_status(out_, "client_encoding", "UTF8");
    pgwire::append_parameter_status(out_, "DateStyle", "ISO, MDY");
    pgwire::append_parameter_status(out_, "integer_datetimes", "on");
    pgwire::append_parameter_status(out_, "standard_conforming_strings", "on");
    pgwire::append_backend_key_data(out_, 0, 0);
    append_ready();
    write();
    process({});
}

group_positions postgresql_client_connection::presented_positions() const
{
    return session_token_.positions;
}

int postgresql_client_connection::handle_input(ACE_HANDLE /*handle*/)
{
    static thread_local std::array<char, receive_buffer_bytes> buf;
    auto const n = stream_.recv(buf.data(), buf.size());
    if (n < 0 && (errno == EWOULDBLOCK || errno == EINTR))
        return 0;
    if (n <= 0)
        disconnect();
    else
        process({buf.data(), static_cast<std::size_t>(n)});
    if (owner_ != nullptr)
        owner_->buffered(*this);
    return 0;
}

int postgresql_client_connection::handle_output(ACE_HANDLE /*handle*/)
{
    write();
    // The messages that waited for the answers to be read.
    if (!backlog_.empty())
        process({});
    if (owner_ != nullptr)
        owner_->buffered(*this);
    return 0;
}

// Whether the next message may be handled.
bool postgresql_client_connection::can_process() const
{
    return phase_ != phase::busy && phase_ != phase::handing_over &&
           phase_ != phase::closing && waiting_answer_bytes() < answer_limit;
}

std::size_t postgresql_client_connection::waiting_answer_bytes() const
{
    return out_.size() - out_offset_;
}

// Handles messages until a statement is in progress or answers wait. The
// remaining bytes are buffered.
void postgresql_client_connection::process(std::string_view input)
{
    // A handler that completes its statement at once calls this function again.
    if (is_processing_ || !can_process())
    {
        backlog_.append(input);
        return update_reading();
    }
    std::string waiting = std::exchange(backlog_, {});
    if (!waiting.empty())
    {
        waiting.append(input);
        input = waiting;
    }
    is_processing_ = true;
    while (can_process())
    {
        auto it = decoder_.next(input);
        if (!it)
        {
            fail_fatally(error("08P01", pgwire::describe(it.error())));
            break;
        }
        if (!it.value())
            break;
        handle(*it.value());
        if (waiting_answer_bytes() >= answer_limit)
            write();
    }
    is_processing_ = false;
    if (phase_ != phase::closing)
        backlog_.append(input);
    update_reading();
    write();
}

void postgresql_client_connection::update_reading()
{
    if (owner_ == nullptr)
        return;
    bool const pauses = is_held_ || backlog_.size() > backlog_limit ||
                        waiting_answer_bytes() >= answer_limit;
    if (std::exchange(is_reading_paused_, pauses) == pauses)
        return;
    auto& reactor = owner_->loop->reactor();
    if (pauses)
        reactor.cancel_wakeup(this, ACE_Event_Handler::READ_MASK);
    else
        reactor.schedule_wakeup(this, ACE_Event_Handler::READ_MASK);
}

std::size_t postgresql_client_connection::size_of(std::string const& name,
                                                  prepared_statement const& it)
{
    return prepared_overhead_bytes + name.size() + it.text.size() +
           it.parameter_types.size() * sizeof(std::uint32_t);
}

std::size_t postgresql_client_connection::size_of(std::string const& name,
                                                  portal const& it)
{
    return prepared_overhead_bytes + name.size() + it.bound.text.size() +
           it.bound.parameter_types.size() * sizeof(std::uint32_t) +
           it.bound.parameter_formats.size() * sizeof(std::int16_t) +
           it.bound.parameters.size_bytes();
}

bool postgresql_client_connection::account_prepared(std::size_t before,
                                                    std::size_t after)
{
    auto const bytes = prepared_bytes_ - before + after;
    if (after > before && bytes > prepared_messages_max * message_limit_)
    {
        current_is_simple_ = false;
        fail(error("53200", "the prepared statements are too large"));
        return false;
    }
    prepared_bytes_ = bytes;
    return true;
}

template <class Table>
void postgresql_client_connection::erase_prepared(Table& table,
                                                  std::string const& name)
{
    auto const found = table.find(name);
    if (found == table.end())
        return;
    prepared_bytes_ -= size_of(name, found->second);
    table.erase(found);
}

std::size_t postgresql_client_connection::buffered_bytes() const
{
    // A statement in progress is also in the buffers of its server connection.
    return backlog_.capacity() + decoder_.buffered_capacity() +
           out_.capacity() + current_.text.capacity() +
           current_.parameters.size_bytes() + prepared_bytes_;
}

void postgresql_client_connection::hold_reading(bool held)
{
    is_held_ = held;
    update_reading();
}

void postgresql_client_connection::close_at_once()
{
    disconnect();
}

void postgresql_client_connection::handle(pgwire::frontend_message& it)
{
    bool const is_sync = std::holds_alternative<pgwire::sync>(it) ||
                         std::holds_alternative<pgwire::terminate>(it);
    if (phase_ == phase::skipping && !is_sync)
        return;
    // The decoder yields startup messages first. Until the client is
    // authenticated, only a password may follow them.
    bool const is_password =
        std::holds_alternative<pgwire::password_message>(it);
    bool const is_early = it.index() <= 3;
    bool const is_allowed = phase_ == phase::startup    ? is_early
                            : phase_ == phase::password ? is_password
                                                        : !is_password;
    if (!is_allowed)
        return fail_fatally(error("08P01", "unexpected message"));
    (this->*handlers[it.index()])(it);
}

void postgresql_client_connection::on_encryption_request(
    pgwire::frontend_message& /*it*/)
{
    out_ += pgwire::encryption_refused;
}

// Cancellation is not supported, which the protocol allows: the connection is
// closed and the statement runs on.
void postgresql_client_connection::on_cancel(pgwire::frontend_message& /*it*/)
{
    phase_ = phase::closing;
}

void postgresql_client_connection::apply_startup_options(
    pgwire::startup_message const& it)
{
    for (auto const& [name, value] :
         pgwire::parse_startup_options(it.value("options")))
    {
        if (name == "default_transaction_read_only")
            is_read_only_ = value == "on" || value == "true" || value == "1";
        else if (name == "basilreach.session")
            session_label_ = session_name(value);
        else if (name == "basilreach.token")
            set_variable("basilreach.token", value);
    }
}

void postgresql_client_connection::on_startup(pgwire::frontend_message& it)
{
    auto const& message = std::get<pgwire::startup_message>(it);
    auto const database = message.value("database");
    database_ = database.empty() ? message.value("user") : database;
    apply_startup_options(message);
    if (!owner_->is_known(database_))
        return deny();
    if (owner_->authenticate(database_, std::nullopt))
        return finish_authentication(std::nullopt);
    phase_ = phase::password;
    pgwire::append_authentication_cleartext_password(out_);
}

void postgresql_client_connection::on_password(pgwire::frontend_message& it)
{
    auto& message = std::get<pgwire::password_message>(it);
    finish_authentication(message.password);
    // The key must not stay in memory after it has been checked.
    std::fill(message.password.begin(), message.password.end(), '\0');
}

void postgresql_client_connection::finish_authentication(
    std::optional<std::string_view> key)
{
    auto const identity = owner_->authenticate(database_, key);
    if (!identity)
        return deny();
    identity_ = *identity;
    phase_ = phase::handing_over;
    owner_->authenticated(*this);
}

void postgresql_client_connection::deny()
{
    auto const reason = owner_->denial_reason(database_);
    owner_->refused(database_, reason);
    fail_fatally(describe_refusal(reason, traffic::refusal_outcome::not_run));
}

void postgresql_client_connection::begin_statement(statement it, bool is_simple)
{
    auto const verb = traffic::classify(it.text);
    current_is_simple_ = is_simple;
    if (it.mode == statement_mode::run)
    {
        if (verb == traffic::statement_verb::empty)
        {
            pgwire::append_empty_query_response(out_);
            return finish_statement();
        }
        if (verb == traffic::statement_verb::proxy_variable)
            return answer_variable(it.text);
        it.request_id = std::exchange(request_id_, {});
        it.workspace = identity_.workspace.str();
    }
    current_ = std::move(it);
    phase_ = phase::busy;
    submitted_at_ = read_clock();
    owner_->submit(*this, verb, traffic::transaction_opening::none);
}

void postgresql_client_connection::on_query(pgwire::frontend_message& it)
{
    auto& message = std::get<pgwire::query>(it);
    if (identity_.is_admin)
    {
        phase_ = phase::busy;
        return owner_->submit_console_request(*this, std::move(message.text));
    }
    statement query;
    query.text = std::move(message.text);
    current_is_described_ = true;
    begin_statement(std::move(query), true);
}

void postgresql_client_connection::on_parse(pgwire::frontend_message& it)
{
    auto& message = std::get<pgwire::parse>(it);
    if (identity_.is_admin)
    {
        current_is_simple_ = false;
        return fail(error("0A000", "the admin console takes simple queries"));
    }
    if (!message.statement.empty() && statements_.contains(message.statement))
    {
        current_is_simple_ = false;
        return fail(error("42P05", "the prepared statement exists already"));
    }
    prepared_statement prepared{std::move(message.text),
                                std::move(message.parameter_types)};
    auto const replaced = statements_.find(message.statement);
    if (!account_prepared(replaced == statements_.end()
                              ? 0
                              : size_of(message.statement, replaced->second),
                          size_of(message.statement, prepared)))
        return;
    statements_[message.statement] = std::move(prepared);
    pgwire::append_parse_complete(out_);
}

void postgresql_client_connection::on_bind(pgwire::frontend_message& it)
{
    auto& message = std::get<pgwire::bind>(it);
    current_is_simple_ = false;
    auto const found = statements_.find(message.statement);
    if (found == statements_.end())
        return fail(error("26000", "the prepared statement does not exist"));
    auto const& formats = message.result_formats;
    // libpq accepts only one result format for all columns of a statement.
    if (std::adjacent_find(formats.begin(), formats.end(),
                           std::not_equal_to<>{}) != formats.end())
        return fail(error("0A000", "mixed result formats are not supported"));
    auto const n = message.parameter_formats.size();
    if (n > 1 && n != message.parameters.size())
        return fail(error("08P01", "wrong number of parameter formats"));
    statement bound;
    bound.text = found->second.text;
    bound.parameter_types = found->second.parameter_types;
    bound.parameter_formats = std::move(message.parameter_formats);
    bound.parameters = std::move(message.parameters);
    bound.result_format = formats.empty() ? std::int16_t{0} : formats[0];
    portal opened{std::move(bound), false};
    auto const replaced = portals_.find(message.portal);
    if (!account_prepared(replaced == portals_.end()
                              ? 0
                              : size_of(message.portal, replaced->second),
                          size_of(message.portal, opened)))
        return;
    portals_[message.portal] = std::move(opened);
    pgwire::append_bind_complete(out_);
}

void postgresql_client_connection::on_describe(pgwire::frontend_message& it)
{
    auto const& message = std::get<pgwire::describe_target>(it);
    current_is_simple_ = false;
    if (message.kind == pgwire::target_kind::portal)
    {
        auto const found = portals_.find(message.name);
        if (found == portals_.end())
            return fail(error("34000", "the portal does not exist"));
        // Answered with the result of the Execute that follows.
        found->second.is_described = true;
        return;
    }
    auto const found = statements_.find(message.name);
    if (found == statements_.end())
        return fail(error("26000", "the prepared statement does not exist"));
    statement described;
    described.text = found->second.text;
    described.parameter_types = found->second.parameter_types;
    described.mode = statement_mode::describe;
    begin_statement(std::move(described), false);
}

void postgresql_client_connection::on_close(pgwire::frontend_message& it)
{
    auto const& message = std::get<pgwire::close_target>(it);
    if (message.kind == pgwire::target_kind::portal)
        erase_prepared(portals_, message.name);
    else
        erase_prepared(statements_, message.name);
    pgwire::append_close_complete(out_);
}

void postgresql_client_connection::on_execute(pgwire::frontend_message& it)
{
    auto const& message = std::get<pgwire::execute>(it);
    current_is_simple_ = false;
    auto const found = portals_.find(message.portal);
    if (found == portals_.end())
        return fail(error("34000", "the portal does not exist"));
    if (message.max_rows != 0)
        return fail(error("0A000", "partial results are not supported"));
    // Statements between two Syncs form one implicit transaction. The proxy may
    // route them to different servers, which could not run them as one.
    if (status_ == pgwire::ready_status::idle && executed_since_sync_++ > 0)
        return fail(error("0A000", "a second statement before Sync needs a "
                                   "transaction"));
    current_is_described_ = std::exchange(found->second.is_described, false);
    begin_statement(found->second.bound, false);
}

// Describes a portal whose Describe was not followed by an Execute. Returns
// whether there is one.
bool postgresql_client_connection::describe_waiting_portal()
{
    for (auto& [name, it] : portals_)
    {
        if (!std::exchange(it.is_described, false))
            continue;
        statement described = it.bound;
        described.mode = statement_mode::describe;
        current_describes_portal_ = true;
        is_sync_waiting_ = true;
        begin_statement(std::move(described), false);
        return true;
    }
    return false;
}

void postgresql_client_connection::close_portals()
{
    for (auto const& [name, it] : portals_)
        prepared_bytes_ -= size_of(name, it);
    portals_.clear();
}

void postgresql_client_connection::on_sync(pgwire::frontend_message& /*it*/)
{
    if (phase_ != phase::skipping && describe_waiting_portal())
        return;
    executed_since_sync_ = 0;
    phase_ = phase::ready;
    // Portals are closed at the end of their transaction.
    if (status_ == pgwire::ready_status::idle)
        close_portals();
    append_ready();
}

void postgresql_client_connection::on_flush(pgwire::frontend_message& /*it*/)
{
}

void postgresql_client_connection::on_terminate(
    pgwire::frontend_message& /*it*/)
{
    phase_ = phase::closing;
}

void postgresql_client_connection::on_unsupported(
    pgwire::frontend_message& /*it*/)
{
    current_is_simple_ = false;
    fail(error("0A000", "COPY and function calls are not supported"));
}

void postgresql_client_connection::set_variable(std::string_view name,
                                                std::string_view value)
{
    if (name == "basilreach.request_id")
        request_id_ = value;
    if (name != "basilreach.token")
        return;
    // A malformed session token is ignored: without a position the session
    // reads at the primary.
    auto const token = traffic::parse_session_token(value);
    if (!token)
        return;
    for (auto const& [group, position] : token.value().positions)
        advance_position(session_token_.positions, group, position);
}

void postgresql_client_connection::answer_variable(std::string const& text)
{
    auto const it = parse_variable(text);
    if (!it)
        return fail(error("42601", "expected SET basilreach.NAME = 'VALUE' or "
                                   "SHOW basilreach.NAME"));
    if (it->is_set)
    {
        set_variable(it->name, it->value);
        owner_->session_token_presented(*this, session_token_.positions);
        return complete("SET");
    }
    auto const value = it->name == "basilreach.token"
                           ? traffic::print_session_token(session_token_)
                           : request_id_;
    std::array const columns = {pgwire::column{
        it->name.substr(variable_prefix.size()), pgwire::text_type, -1, 0}};
    std::array const row = {std::optional<std::string_view>(value)};
    if (current_is_described_)
        pgwire::append_row_description(out_, columns);
    pgwire::append_data_row(out_, row);
    complete("SHOW");
}

void postgresql_client_connection::complete(std::string_view tag)
{
    pgwire::append_command_complete(out_, tag);
    finish_statement();
}

void postgresql_client_connection::finish_statement()
{
    current_describes_portal_ = false;
    // Its text may be large, and the client may stay idle from now on.
    current_ = {};
    if (phase_ == phase::busy)
        phase_ = phase::ready;
    if (current_is_simple_)
        append_ready();
    if (std::exchange(is_sync_waiting_, false))
    {
        pgwire::frontend_message sync = pgwire::sync{};
        on_sync(sync);
    }
    if (is_processing_)
        return;
    process({});
}

void postgresql_client_connection::store_answer(
    std::unique_ptr<answer_payload> answer)
{
    answer_ = std::move(static_cast<libpq_answer&>(*answer));
}

// Only sessions at servers that check terms themselves outlive the loss of a
// transaction, and such servers do not use this protocol.
void postgresql_client_connection::abort_transaction()
{
    end(traffic::refusal_reason::transaction_lost);
}

void postgresql_client_connection::relay(
    std::optional<group_position> const& position)
{
    if (phase_ == phase::closing)
        return;
    auto const* it = answer_.result.get();
    status_ = to_ready_status(answer_.status);
    if (position)
    {
        session_token_.positions[position->group] = position->position;
        pgwire::append_parameter_status(
            out_, "basilreach.token",
            traffic::print_session_token(session_token_));
    }
    if (it == nullptr || is_failure(it))
    {
        append_server_error();
        if (!current_is_simple_)
            phase_ = phase::skipping;
        answer_ = {};
        return finish_statement();
    }
    if (current_.mode == statement_mode::describe)
    {
        append_description(it);
        answer_ = {};
        return finish_statement();
    }
    append_rows();
    std::string const tag = PQcmdStatus(answer_.result.get());
    answer_ = {};
    complete(tag);
}

void postgresql_client_connection::append_columns(PGresult const* it)
{
    auto const n = PQnfields(it);
    if (n == 0)
        return pgwire::append_no_data(out_);
    std::vector<pgwire::column> columns;
    columns.reserve(static_cast<std::size_t>(n));
    for (int column = 0; column < n; ++column)
        columns.push_back({PQfname(it, column), PQftype(it, column),
                           static_cast<std::int16_t>(PQfsize(it, column)),
                           static_cast<std::int16_t>(PQfformat(it, column))});
    pgwire::append_row_description(out_, columns);
}

void postgresql_client_connection::append_description(PGresult const* it)
{
    if (std::exchange(current_describes_portal_, false))
        return append_columns(it);
    std::vector<std::uint32_t> types;
    types.reserve(static_cast<std::size_t>(PQnparams(it)));
    for (int n = 0; n < PQnparams(it); ++n)
        types.push_back(PQparamtype(it, n));
    pgwire::append_parameter_description(out_, types);
    append_columns(it);
}

void postgresql_client_connection::append_rows()
{
    auto const* it = answer_.result.get();
    bool const has_rows = PQresultStatus(it) == PGRES_TUPLES_OK;
    // A simple query sends a row description only when it returns rows.
    if (current_is_described_ && (has_rows || !current_is_simple_))
        append_columns(it);
    auto const n = PQnfields(it);
    std::vector<std::optional<std::string_view>> row(
        static_cast<std::size_t>(n));
    for (int at = 0; at < PQntuples(it); ++at)
    {
        for (int column = 0; column < n; ++column)
        {
            auto const size =
                static_cast<std::size_t>(PQgetlength(it, at, column));
            row[static_cast<std::size_t>(column)] =
                PQgetisnull(it, at, column) != 0
                    ? std::nullopt
                    : std::optional(
                          std::string_view(PQgetvalue(it, at, column), size));
        }
        pgwire::append_data_row(out_, row);
    }
}

void postgresql_client_connection::append_server_error()
{
    auto const* it = answer_.result.get();
    pgwire::error_fields fields;
    fields.sqlstate = field_of(it, PG_DIAG_SQLSTATE);
    fields.message = field_of(it, PG_DIAG_MESSAGE_PRIMARY);
    fields.detail = field_of(it, PG_DIAG_MESSAGE_DETAIL);
    fields.hint = field_of(it, PG_DIAG_MESSAGE_HINT);
    if (fields.sqlstate.empty())
        fields.sqlstate = "XX000";
    if (answer_.is_repeated)
    {
        fields.message = "not run: the request id was used before";
        fields.hint = "not run";
    }
    pgwire::append_error_response(out_, fields);
}

void postgresql_client_connection::refuse(traffic::refuse const& it)
{
    if (phase_ == phase::closing)
        return;
    answer_ = {};
    auto const fields = describe_refusal(it.reason, it.outcome);
    if (it.close_session)
    {
        fail_fatally(fields);
        return write();
    }
    fail(fields);
}

void postgresql_client_connection::fail(pgwire::error_fields const& fields)
{
    pgwire::append_error_response(out_, fields);
    if (!current_is_simple_)
        phase_ = phase::skipping;
    finish_statement();
}

void postgresql_client_connection::fail_fatally(pgwire::error_fields fields)
{
    fields.severity = "FATAL";
    pgwire::append_error_response(out_, fields);
    phase_ = phase::closing;
}

void postgresql_client_connection::end(traffic::refusal_reason reason)
{
    if (phase_ == phase::closing)
        return;
    fail_fatally(describe_refusal(reason, traffic::refusal_outcome::not_run));
    write();
}

void postgresql_client_connection::send_console_reply(
    messages::admin_reply const& reply)
{
    if (phase_ == phase::closing)
        return;
    current_is_simple_ = true;
    if (!reply.sqlstate.empty())
        return fail(error(reply.sqlstate.c_str(), reply.message));
    std::vector<pgwire::column> columns;
    columns.reserve(reply.columns.size());
    for (auto const& it : reply.columns)
        columns.push_back({it, pgwire::text_type, -1, 0});
    if (!columns.empty())
        pgwire::append_row_description(out_, columns);
    for (auto const& it : reply.rows)
    {
        std::vector<std::optional<std::string_view>> const row(
            it.values.begin(), it.values.end());
        pgwire::append_data_row(out_, row);
    }
    complete(reply.tag);
}

void postgresql_client_connection::append_ready()
{
    pgwire::append_ready_for_query(out_, status_);
}

void postgresql_client_connection::write()
{
    if (owner_ == nullptr)
        return;
    while (out_offset_ < out_.size())
    {
        auto const n =
            stream_.send(out_.data() + out_offset_, out_.size() - out_offset_);
        if (n > 0)
        {
            out_offset_ += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno == EWOULDBLOCK)
        {
            if (!std::exchange(is_write_registered_, true))
                owner_->loop->reactor().schedule_wakeup(
                    this, ACE_Event_Handler::WRITE_MASK);
            // A client that never reads all would otherwise keep what it has
            // read in the buffer.
            if (out_offset_ > waiting_answer_bytes())
            {
                out_.erase(0, out_offset_);
                out_offset_ = 0;
            }
            return;
        }
        return disconnect();
    }
    // The buffer is released, so that an idle client holds none.
    out_ = {};
    out_offset_ = 0;
    update_reading();
    if (std::exchange(is_write_registered_, false))
        owner_->loop->reactor().cancel_wakeup(this,
                                              ACE_Event_Handler::WRITE_MASK);
    if (phase_ == phase::closing)
        disconnect();
}

void postgresql_client_connection::disconnect()
{
    if (owner_ == nullptr)
        return;
    phase_ = phase::closing;
    auto const* owner = owner_;
    detach();
    owner->closed(*this);
}

} // namespace basilreach::daemon
