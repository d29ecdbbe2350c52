#include <basilreach/daemon/line_client_connection.hpp>

#include <utility>

#include <basilreach/daemon/statement_errors.hpp>

namespace basilreach::daemon
{

namespace
{

using traffic::statement_verb;
using traffic::transaction_opening;
using traffic::transaction_status;

// Bytes buffered for a client that sends while its statement is in progress.
// Beyond this limit its connection is not read.
constexpr std::size_t input_limit = std::size_t{4} << 20U;

// Bytes of answers that wait for the client to read them. Beyond this limit its
// messages are not handled, so that there is at most one answer more.
constexpr std::size_t answer_limit = std::size_t{64} << 10U;

} // namespace

// Indexed by the alternatives of client_message.
line_client_connection::message_handler const
    line_client_connection::message_handlers[] = {
        &line_client_connection::on_start, &line_client_connection::on_command,
        &line_client_connection::on_end};

// Indexed by command_kind.
line_client_connection::command_handler const
    line_client_connection::command_handlers[] = {
        &line_client_connection::run_begin,
        &line_client_connection::run_begin,
        &line_client_connection::run_commit,
        &line_client_connection::run_rollback,
        &line_client_connection::run_read,
        &line_client_connection::run_write,
        &line_client_connection::run_set,
        &line_client_connection::run_prepare,
        &line_client_connection::run_prepare,
        &line_client_connection::run_execute,
        &line_client_connection::run_deallocate,
        &line_client_connection::run_unknown};

line_client_connection::line_client_connection(ACE_SOCK_Stream const& stream,
                                               line_codec const& codec)
    : codec_(codec), socket_(*this)
{
    static_assert(std::size(message_handlers) ==
                  std::variant_size_v<client_message>);
    static_assert(std::size(command_handlers) ==
                  static_cast<std::size_t>(command_kind::unknown) + 1);
    socket_.accept(stream);
}

ACE_HANDLE line_client_connection::get_handle() const
{
    return socket_.handle();
}

void line_client_connection::attach(client_owner const& owner)
{
    owner_ = &owner;
    is_held_ = false;
    socket_.attach(*owner.loop);
}

void line_client_connection::detach()
{
    socket_.detach();
    owner_ = nullptr;
}

void line_client_connection::start_session(std::uint64_t session)
{
    session_ = session;
    phase_ = phase::ready;
    append_ready(std::nullopt);
    write();
    process();
}

group_positions line_client_connection::presented_positions() const
{
    return {};
}

int line_client_connection::handle_input(ACE_HANDLE /*handle*/)
{
    if (!socket_.receive(in_))
        disconnect();
    else
        process();
    if (owner_ != nullptr && phase_ != phase::closing)
        owner_->buffered(*this);
    return 0;
}

int line_client_connection::handle_output(ACE_HANDLE /*handle*/)
{
    write();
    // The messages that waited for the answers to be read.
    process();
    if (owner_ != nullptr && phase_ != phase::closing)
        owner_->buffered(*this);
    return 0;
}

// Handles messages until a statement is in progress. The remaining bytes stay
// in the input buffer.
void line_client_connection::process()
{
    if (is_processing_ || phase_ == phase::closing)
        return;
    is_processing_ = true;
    std::size_t used = 0;
    while ((phase_ == phase::startup || phase_ == phase::ready) &&
           socket_.out().size() < answer_limit)
    {
        auto read =
            codec_.decode_client_message(std::string_view(in_).substr(used));
        if (!read)
        {
            close_with_error(statement_error::malformed);
            break;
        }
        if (!read.value())
            break;
        used += read.value()->size;
        auto& message = read.value()->message;
        (this->*message_handlers[message.index()])(message);
        if (socket_.out().size() >= answer_limit)
            write();
    }
    in_.erase(0, used);
    // The buffer of a large message is released.
    if (in_.empty())
        in_ = {};
    is_processing_ = false;
    write();
    update_reading();
}

void line_client_connection::update_reading()
{
    if (phase_ != phase::closing)
        socket_.pause_reading(is_held_ || in_.size() > input_limit ||
                              socket_.out().size() >= answer_limit);
}

std::size_t line_client_connection::buffered_bytes() const
{
    return in_.capacity() + socket_.out().capacity() +
           current_.text.capacity() + current_.value.capacity() +
           variable_bytes_;
}

void line_client_connection::hold_reading(bool held)
{
    is_held_ = held;
    update_reading();
}

void line_client_connection::close_at_once()
{
    disconnect();
}

void line_client_connection::on_start(client_message& it)
{
    if (phase_ != phase::startup)
        return close_with_error(statement_error::malformed);
    auto const& start = std::get<session_start>(it);
    auto identity = owner_->authenticate(
        start.database, start.key.empty()
                            ? std::nullopt
                            : std::optional<std::string_view>(start.key));
    if (!identity || identity->is_admin)
        return deny(start.database);
    identity_ = std::move(*identity);
    phase_ = phase::handing_over;
    owner_->authenticated(*this);
}

void line_client_connection::deny(std::string_view database)
{
    auto const reason = owner_->denial_reason(database);
    owner_->refused(database, reason);
    close_with_error(
        to_statement_error(reason, traffic::refusal_outcome::not_run));
}

void line_client_connection::on_end(client_message& /*it*/)
{
    disconnect();
}

void line_client_connection::on_command(client_message& it)
{
    if (phase_ != phase::ready)
        return close_with_error(statement_error::malformed);
    current_ = std::move(std::get<client_command>(it));
    bool const ends = current_.kind == command_kind::commit ||
                      current_.kind == command_kind::rollback;
    if (status_ == transaction_status::failed_transaction && !ends)
        return fail(statement_error::malformed);
    (this->*command_handlers[static_cast<std::size_t>(current_.kind)])();
}

void line_client_connection::run_begin()
{
    if (status_ != transaction_status::idle)
        return fail(statement_error::malformed);
    is_read_only_transaction_ = current_.kind == command_kind::begin_read_only;
    opening_ = is_read_only_transaction_ ? transaction_opening::read_only
                                         : transaction_opening::read_write;
    status_ = transaction_status::in_transaction;
    complete();
}

void line_client_connection::run_commit()
{
    if (status_ == transaction_status::idle)
        return fail(statement_error::malformed);
    // A failed transaction that is open at no server ends here.
    if (status_ == transaction_status::failed_transaction &&
        !has_server_transaction_)
    {
        leave_transaction(transaction_status::idle);
        return fail(statement_error::aborted);
    }
    submit(statement_verb::commit);
}

void line_client_connection::run_rollback()
{
    if (status_ == transaction_status::idle)
        return fail(statement_error::malformed);
    if (has_server_transaction_)
        return submit(statement_verb::rollback);
    leave_transaction(transaction_status::idle);
    complete();
}

void line_client_connection::run_read()
{
    submit(statement_verb::read);
}

void line_client_connection::run_write()
{
    if (is_read_only_transaction_ &&
        status_ == transaction_status::in_transaction)
        return fail(statement_error::not_primary);
    submit(statement_verb::write);
}

void line_client_connection::run_set()
{
    auto& value = variables_.values[current_.name];
    variable_bytes_ = variable_bytes_ - value.size() + current_.value.size();
    value = current_.value;
    complete();
}

void line_client_connection::run_prepare()
{
    auto& shape = variables_.statements[current_.name];
    variable_bytes_ =
        variable_bytes_ - shape.shape.size() + current_.value.size();
    shape = prepared_shape{current_.kind == command_kind::prepare_write,
                           current_.value};
    complete();
}

void line_client_connection::run_execute()
{
    auto const found = variables_.statements.find(current_.name);
    if (found == variables_.statements.end())
        return fail(statement_error::unknown_statement_name);
    if (found->second.writes)
        run_write();
    else
        run_read();
}

void line_client_connection::run_deallocate()
{
    auto const found = variables_.statements.find(current_.name);
    if (found == variables_.statements.end())
        return fail(statement_error::unknown_statement_name);
    variable_bytes_ -= found->second.shape.size();
    variables_.statements.erase(found);
    complete();
}

void line_client_connection::run_unknown()
{
    fail(statement_error::malformed);
}

void line_client_connection::submit(statement_verb verb)
{
    phase_ = phase::busy;
    submitted_at_ = read_clock();
    owner_->submit(*this, verb,
                   has_server_transaction_ ? transaction_opening::opened
                                           : opening_);
}

void line_client_connection::store_answer(
    std::unique_ptr<answer_payload> answer)
{
    answer_.reset(static_cast<line_answer*>(answer.release()));
}

void line_client_connection::leave_transaction(transaction_status status)
{
    status_ = status;
    opening_ = transaction_opening::none;
    has_server_transaction_ = false;
    if (status == transaction_status::idle)
        is_read_only_transaction_ = false;
}

void line_client_connection::relay(
    std::optional<group_position> const& position)
{
    if (phase_ == phase::closing || !answer_)
        return;
    auto const answer = std::move(answer_);
    auto& out = socket_.out();
    for (auto const& it : answer->rows)
        codec_.append_row(out, it);
    auto const* error = std::get_if<error_message>(&answer->outcome);
    if (error != nullptr)
        codec_.append_error(out, *error);
    else
        codec_.append_complete(out,
                               std::get<complete_message>(answer->outcome));
    bool const was_open = status_ != transaction_status::idle;
    bool const ends = current_.kind == command_kind::commit ||
                      current_.kind == command_kind::rollback;
    if (answer->ready.status != transaction_status::idle)
    {
        status_ = answer->ready.status;
        opening_ = transaction_opening::none;
        has_server_transaction_ = true;
    }
    else
        // An error that leaves no transaction open at the server, such as a
        // refused BEGIN, fails the client's transaction.
        leave_transaction(error != nullptr && was_open && !ends
                              ? transaction_status::failed_transaction
                              : transaction_status::idle);
    phase_ = phase::ready;
    append_ready(position ? position->position : answer->ready.position);
    write();
    process();
}

void line_client_connection::refuse(traffic::refuse const& it)
{
    if (phase_ == phase::closing)
        return;
    answer_.reset();
    if (it.close_session)
        return close_with_error(to_statement_error(it.reason, it.outcome));
    if (status_ != transaction_status::idle)
        leave_transaction(current_.kind == command_kind::commit ||
                                  current_.kind == command_kind::rollback
                              ? transaction_status::idle
                              : transaction_status::failed_transaction);
    phase_ = phase::ready;
    codec_.append_error(socket_.out(),
                        {to_statement_error(it.reason, it.outcome),
                         describe_retry(it.retry_after)});
    append_ready(std::nullopt);
    write();
    process();
}

void line_client_connection::abort_transaction()
{
    if (status_ != transaction_status::idle)
        leave_transaction(transaction_status::failed_transaction);
}

// Without a statement in progress a client of a line protocol expects no
// message, so the connection is closed without one.
void line_client_connection::end(traffic::refusal_reason /*reason*/)
{
    disconnect();
}

void line_client_connection::send_console_reply(
    messages::admin_reply const& /*reply*/)
{
}

void line_client_connection::complete()
{
    codec_.append_complete(socket_.out(), {});
    append_ready(std::nullopt);
}

void line_client_connection::fail(statement_error code)
{
    if (status_ == transaction_status::in_transaction)
    {
        status_ = transaction_status::failed_transaction;
        opening_ = transaction_opening::none;
    }
    codec_.append_error(socket_.out(), {code, {}});
    append_ready(std::nullopt);
}

void line_client_connection::close_with_error(statement_error code)
{
    codec_.append_error(socket_.out(), {code, {}});
    (void)socket_.flush();
    disconnect();
}

void line_client_connection::append_ready(std::optional<log_position> position)
{
    codec_.append_ready(socket_.out(), {status_, position});
}

void line_client_connection::write()
{
    if (phase_ != phase::closing && !socket_.flush())
        disconnect();
}

void line_client_connection::disconnect()
{
    if (std::exchange(phase_, phase::closing) == phase::closing)
        return;
    auto const* const owner = owner_;
    socket_.close();
    owner->closed(*this);
}

} // namespace basilreach::daemon
