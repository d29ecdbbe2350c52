#include <basilreach/daemon/line_server_connection.hpp>

#include <utility>

#include <basilreach/daemon/statement_errors.hpp>

namespace basilreach::daemon
{

namespace
{

using traffic::answer_proof;
using traffic::transaction_status;
using traffic::transaction_wrapping;

// A connection whose variables are not known. Its one variable has an empty
// name, which no session sets, so that the next statement resets the
// connection.
connection_variables unknown_variables()
{
    return {{{std::string(), std::string()}}, {}};
}

} // namespace

// Indexed by the alternatives of server_message.
line_server_connection::message_handler const
    line_server_connection::message_handlers[] = {
        &line_server_connection::on_ready, &line_server_connection::on_row,
        &line_server_connection::on_complete,
        &line_server_connection::on_error};

// Indexed by step.
line_server_connection::step_handler const
    line_server_connection::step_handlers[] = {
        &line_server_connection::finish_start,
        &line_server_connection::finish_variable,
        &line_server_connection::finish_begin,
        &line_server_connection::finish_statement,
        &line_server_connection::finish_rollback,
        &line_server_connection::finish_primary_check,
        &line_server_connection::finish_position,
        &line_server_connection::finish_status};

line_server_connection::line_server_connection(event_loop& loop,
                                               line_codec const& codec,
                                               server_observer observer)
    : loop_(loop), codec_(codec), observer_(std::move(observer)), socket_(*this)
{
}

ACE_HANDLE line_server_connection::get_handle() const
{
    return socket_.handle();
}

void line_server_connection::open(traffic::open_connection const& target)
{
    if (!socket_.connect(target.address))
        return fail_connection();
    is_connecting_ = true;
    expect(step::start);
    codec_.append_start(socket_.out(), target.group, target.workspace,
                        target.server);
    socket_.attach(loop_);
    loop_.reactor().schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

void line_server_connection::close()
{
    socket_.close();
}

void line_server_connection::fail_connection()
{
    close();
    observer_.lost();
}

int line_server_connection::handle_output(ACE_HANDLE /*handle*/)
{
    if (is_connecting_)
    {
        loop_.reactor().cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
        if (!socket_.finish_connecting())
        {
            fail_connection();
            return 0;
        }
        is_connecting_ = false;
    }
    write();
    return 0;
}

int line_server_connection::handle_input(ACE_HANDLE /*handle*/)
{
    if (!socket_.receive(in_))
        fail_connection();
    else
        process();
    return 0;
}

void line_server_connection::process()
{
    std::size_t used = 0;
    while (socket_.is_open())
    {
        auto read =
            codec_.decode_server_message(std::string_view(in_).substr(used));
        // A malformed message, or one without an outstanding request, closes
        // the connection.
        if (!read || (read.value() && steps_.empty()))
            return fail_connection();
        if (!read.value())
            break;
        used += read.value()->size;
        auto& message = read.value()->message;
        (this->*message_handlers[message.index()])(message);
    }
    in_.erase(0, used);
}

void line_server_connection::write()
{
    if (!socket_.flush())
        fail_connection();
}

void line_server_connection::expect(step it)
{
    steps_.push_back(it);
}

void line_server_connection::on_row(server_message& it)
{
    partial_answer_.rows.push_back(std::move(std::get<row_message>(it)));
}

void line_server_connection::on_complete(server_message& it)
{
    partial_answer_.outcome = std::move(std::get<complete_message>(it));
}

void line_server_connection::on_error(server_message& it)
{
    // A server that refuses the connection sends no ready message.
    if (steps_.front() == step::start)
        return fail_connection();
    partial_answer_.outcome = std::move(std::get<error_message>(it));
}

void line_server_connection::on_ready(server_message& it)
{
    partial_answer_.ready = std::get<ready_message>(it);
    status_ = partial_answer_.ready.status;
    auto const done = steps_.front();
    steps_.pop_front();
    (this->*step_handlers[static_cast<std::size_t>(done)])();
    partial_answer_ = {};
}

void line_server_connection::finish_start()
{
    observer_.opened();
}

void line_server_connection::send(client_connection const& client,
                                  send_options const& options)
{
    auto const& session = static_cast<line_client const&>(client);
    auto const& command = session.current();
    pending_ = {command.id, command.text, options.after, options.wrapping,
                false};
    // A commit proves that the server is the primary only if it commits writes.
    pending_.is_write =
        command.kind == command_kind::write ||
        (command.kind == command_kind::commit && wrote_in_transaction_);
    is_from_primary_ = false;
    proof_ = answer_proof::none;
    std::optional<prepared_shape> shape;
    if (command.kind == command_kind::execute)
    {
        shape = session.variables().statements.at(command.name);
        pending_.text = codec_.execute_text(*shape, command.value);
        pending_.is_write = shape->writes;
    }
    queue_variable_changes(session, shape);
    auto& out = socket_.out();
    if (options.wrapping != transaction_wrapping::none)
    {
        bool const read_only =
            options.wrapping == transaction_wrapping::begin_read_only;
        codec_.append_begin(out, read_only,
                            read_only ? options.after : std::nullopt);
        pending_.after.reset();
        expect(step::begin);
    }
    if (steps_.empty())
        send_statement();
    write();
}

void line_server_connection::queue_variable_changes(
    line_client const& client, std::optional<prepared_shape> const& shape)
{
    auto const changes =
        find_changes(connection_variables_, client.variables().values, shape);
    auto& out = socket_.out();
    if (changes.reset)
    {
        codec_.append_reset(out);
        expect(step::variable);
    }
    for (auto const& [name, value] : changes.set)
    {
        codec_.append_set(out, name, value);
        expect(step::variable);
    }
    if (changes.prepare)
    {
        codec_.append_prepare(out, *changes.prepare);
        expect(step::variable);
    }
    changed_in_transaction_ =
        changed_in_transaction_ ||
        (changes != variable_changes{} && status_ != transaction_status::idle);
    connection_variables_ = apply(std::move(connection_variables_), changes);
}

void line_server_connection::send_statement()
{
    codec_.append_statement(socket_.out(), pending_.id, pending_.after,
                            pending_.text);
    expect(step::statement);
    // Ends the transaction in which the proxy has wrapped the statement.
    if (pending_.wrapping == transaction_wrapping::primary_check)
        send_rollback();
}

void line_server_connection::send_rollback()
{
    codec_.append_rollback(socket_.out());
    expect(step::rollback);
}

// Without the session's variables its statement cannot run, so the connection
// is closed when one of them is refused.
void line_server_connection::finish_variable()
{
    if (std::holds_alternative<error_message>(partial_answer_.outcome))
        return fail_connection();
    if (!steps_.empty())
        return;
    send_statement();
    write();
}

void line_server_connection::finish_begin()
{
    if (auto* error = std::get_if<error_message>(&partial_answer_.outcome))
    {
        proof_ = properties_of(error->code).proof;
        answer_ = std::make_unique<line_answer>(std::move(partial_answer_));
        if (status_ == transaction_status::idle)
            return report_answer();
        send_rollback();
        return write();
    }
    is_from_primary_ =
        pending_.wrapping != transaction_wrapping::begin_read_only;
    send_statement();
    write();
}

void line_server_connection::finish_statement()
{
    answer_ = std::make_unique<line_answer>(std::move(partial_answer_));
    if (auto const* error = std::get_if<error_message>(&answer_->outcome))
    {
        proof_ = properties_of(error->code).proof;
        is_from_primary_ = false;
    }
    else if (pending_.is_write)
        is_from_primary_ = true;
    wrote_in_transaction_ = status_ != transaction_status::idle &&
                            (wrote_in_transaction_ || pending_.is_write);
    if (steps_.empty())
        report_answer();
}

void line_server_connection::finish_rollback()
{
    if (status_ != transaction_status::idle)
        return fail_connection();
    answer_->ready.status = status_;
    report_answer();
}

void line_server_connection::report_answer()
{
    // Whether variables that were set inside a transaction keep their values
    // depends on how it ended.
    if (status_ == transaction_status::idle &&
        std::exchange(changed_in_transaction_, false))
        connection_variables_ = unknown_variables();
    server_answer out;
    out.summary.is_error =
        std::holds_alternative<error_message>(answer_->outcome);
    out.summary.status = answer_->ready.status;
    out.summary.position = answer_->ready.position;
    out.summary.proof = proof_;
    out.summary.is_from_primary = is_from_primary_;
    out.payload = std::move(answer_);
    observer_.answered(std::move(out));
}

// The position comes with the answer to a RESET, which also shows that the
// server still answers. Whether the server is the primary is checked by a
// read-write BEGIN, which only a primary accepts; a transaction without a
// statement takes none of the server's execution slots.
void line_server_connection::query_position(bool verify_primary)
{
    is_from_primary_ = false;
    checked_position_.reset();
    auto& out = socket_.out();
    if (verify_primary)
    {
        codec_.append_begin(out, false, std::nullopt);
        expect(step::primary_check);
        codec_.append_rollback(out);
    }
    else
    {
        connection_variables_ = {};
        codec_.append_reset(out);
    }
    expect(step::position);
    write();
}

void line_server_connection::finish_primary_check()
{
    is_from_primary_ =
        !std::holds_alternative<error_message>(partial_answer_.outcome);
    checked_position_ = partial_answer_.ready.position;
}

void line_server_connection::finish_position()
{
    observer_.position_read(
        {checked_position_ ? checked_position_ : partial_answer_.ready.position,
         is_from_primary_ && checked_position_.has_value()});
}

void line_server_connection::query_status(
    std::function<void(row_message const&)> answered)
{
    status_answered_ = std::move(answered);
    codec_.append_status_query(socket_.out());
    expect(step::status);
    write();
}

void line_server_connection::finish_status()
{
    if (partial_answer_.rows.size() == 1)
        status_answered_(partial_answer_.rows.front());
}

} // namespace basilreach::daemon
