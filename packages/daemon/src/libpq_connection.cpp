#include <basilreach/daemon/libpq_connection.hpp>

#include <array>
#include <charconv>
#include <cstring>
#include <string_view>
#include <utility>

#include <ace/OS_NS_unistd.h>

#include <basilreach/settings/endpoint.hpp>

namespace basilreach::daemon
{

namespace
{

// The group's databases provide this function. It fails with a unique
// violation when the request id was used before. The statement that follows it
// in the same implicit transaction then does not run.
constexpr char claim_text[] = "SELECT basilreach.claim_request($1, $2)";
constexpr char unique_violation[] = "23505";

std::optional<std::uint64_t> read_number(PGresult const* it, int column)
{
    std::string_view const text(PQgetvalue(it, 0, column));
    std::uint64_t n = 0;
    auto const [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

std::optional<log_position> read_position(PGresult const* it)
{
    if (PQresultStatus(it) != PGRES_TUPLES_OK || PQntuples(it) != 1 ||
        PQnfields(it) != 2)
        return std::nullopt;
    auto const term = read_number(it, 0);
    auto const offset = read_number(it, 1);
    if (!term || !offset)
        return std::nullopt;
    return log_position{*term, *offset};
}

bool is_error(PGresult const* it)
{
    auto const status = PQresultStatus(it);
    return status == PGRES_FATAL_ERROR || status == PGRES_BAD_RESPONSE ||
           status == PGRES_PIPELINE_ABORTED;
}

// The parameters of a statement in the form that libpq expects.
struct bound_values
{
    explicit bound_values(statement const& it)
    {
        auto const n = it.parameters.size();
        for (std::size_t at = 0; at != n; ++at)
        {
            auto const value = it.parameters[at];
            values.push_back(value ? value->data() : nullptr);
            lengths.push_back(value ? static_cast<int>(value->size()) : 0);
            formats.push_back(format_of(it, at));
        }
        for (auto const type : it.parameter_types)
            types.push_back(type);
        // libpq reads as many types as there are values; 0 leaves the type to
        // the server.
        types.resize(std::max(types.size(), n), 0);
    }

    static int format_of(statement const& it, std::size_t at)
    {
        auto const& formats = it.parameter_formats;
        if (formats.empty())
            return 0;
        return formats.size() == 1 ? formats[0] : formats[at];
    }

    std::vector<Oid> types;
    std::vector<char const*> values;
    std::vector<int> lengths;
    std::vector<int> formats;
};

} // namespace

// Indexed by step.
libpq_connection::step_handler const libpq_connection::step_handlers[] = {
    &libpq_connection::on_prepare,   &libpq_connection::ignore,
    &libpq_connection::on_claim,     &libpq_connection::on_prepare,
    &libpq_connection::on_statement, &libpq_connection::on_statement_sync,
    &libpq_connection::on_position,  &libpq_connection::on_position_sync};

libpq_connection::libpq_connection(
    event_loop& loop,
    settings::daemon_settings const& settings,
    settings::backend_credential const& credential,
    libpq_observer observer)
    : loop_(loop), settings_(settings), credential_(credential),
      observer_(std::move(observer))
{
    reference_counting_policy().value(
        ACE_Event_Handler::Reference_Counting_Policy::DISABLED);
}

libpq_connection::~libpq_connection()
{
    close();
}

void libpq_connection::open(server_target const& target)
{
    auto const endpoint = settings::parse_endpoint(target.address);
    if (!endpoint)
        return fail_connection();
    auto const port = std::to_string(endpoint->port);
    std::array<char const*, 9> const keywords = {
        "hostaddr",   "port",    "user",    "password", "dbname",
        "gssencmode", "sslmode", "options", nullptr};
    std::array<char const*, 9> const values = {
        endpoint->ip.c_str(),
        port.c_str(),
        credential_.user.c_str(),
        credential_.password.c_str(),
        settings_.backend_database.c_str(),
        "disable",
        "disable",
        target.read_only ? "-c default_transaction_read_only=on" : "",
        nullptr};
    connection_ = PQconnectStartParams(keywords.data(), values.data(), 0);
    if (connection_ == nullptr || PQstatus(connection_) == CONNECTION_BAD)
        return fail_connection();
    PQsetnonblocking(connection_, 1);
    // libpq closes its socket itself when the server has closed the connection.
    // While this object is still registered with that handle, the reactor would
    // not watch a new connection that is given the same handle. The reactor
    // therefore watches a duplicate, which only this class closes.
    handle_ = ACE_OS::dup(PQsocket(connection_));
    if (handle_ == ACE_INVALID_HANDLE)
        return fail_connection();
    is_connecting_ = true;
    watch(true);
}

void libpq_connection::watch(bool for_writing)
{
    if (!is_registered_)
    {
        is_registered_ = true;
        loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
    }
    if (for_writing == wants_write_)
        return;
    wants_write_ = for_writing;
    if (for_writing)
        loop_.reactor().schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    else
        loop_.reactor().cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

ACE_HANDLE libpq_connection::get_handle() const
{
    return handle_;
}

void libpq_connection::close()
{
    if (connection_ == nullptr)
        return;
    if (is_registered_)
        loop_.reactor().remove_handler(this,
                                       ACE_Event_Handler::ALL_EVENTS_MASK |
                                           ACE_Event_Handler::DONT_CALL);
    is_registered_ = false;
    wants_write_ = false;
    if (handle_ != ACE_INVALID_HANDLE)
        ACE_OS::close(std::exchange(handle_, ACE_INVALID_HANDLE));
    PQfinish(connection_);
    connection_ = nullptr;
}

void libpq_connection::fail_connection()
{
    close();
    observer_.lost();
}

int libpq_connection::handle_input(ACE_HANDLE /*handle*/)
{
    if (is_connecting_)
        continue_connecting();
    else if (PQconsumeInput(connection_) == 0)
        fail_connection();
    else
        read_results();
    return 0;
}

int libpq_connection::handle_output(ACE_HANDLE /*handle*/)
{
    if (is_connecting_)
        continue_connecting();
    else
        flush();
    return 0;
}

void libpq_connection::continue_connecting()
{
    switch (PQconnectPoll(connection_))
    {
    case PGRES_POLLING_READING:
        return watch(false);
    case PGRES_POLLING_WRITING:
        return watch(true);
    case PGRES_POLLING_OK:
        is_connecting_ = false;
        watch(false);
        if (PQenterPipelineMode(connection_) == 0)
            return fail_connection();
        return observer_.opened();
    default:
        return fail_connection();
    }
}

void libpq_connection::expect(step it)
{
    steps_.push_back(it);
}

bool libpq_connection::queue_statement(statement const& it, bool read_only)
{
    if (it.mode == statement_mode::describe)
    {
        std::vector<Oid> const types(it.parameter_types.begin(),
                                     it.parameter_types.end());
        expect(step::prepare);
        expect(step::statement);
        return PQsendPrepare(connection_, "", it.text.c_str(),
                             static_cast<int>(types.size()),
                             types.data()) != 0 &&
               PQsendDescribePrepared(connection_, "") != 0;
    }
    if (read_only)
    {
        expect(step::begin);
        if (PQsendQueryParams(connection_, "BEGIN READ ONLY", 0, nullptr,
                              nullptr, nullptr, nullptr, 0) == 0)
            return false;
    }
    if (!it.request_id.empty())
    {
        std::array<char const*, 2> const values = {it.workspace.c_str(),
                                                   it.request_id.c_str()};
        expect(step::claim);
        if (PQsendQueryParams(connection_, claim_text, 2, nullptr,
                              values.data(), nullptr, nullptr, 0) == 0)
            return false;
    }
    bound_values const bound(it);
    expect(step::statement);
    return PQsendQueryParams(connection_, it.text.c_str(),
                             static_cast<int>(bound.values.size()),
                             bound.types.data(), bound.values.data(),
                             bound.lengths.data(), bound.formats.data(),
                             it.result_format) != 0;
}

void libpq_connection::queue_position()
{
    expect(step::position);
    expect(step::position_sync);
    if (PQsendQueryParams(connection_, settings_.positions_query.c_str(), 0,
                          nullptr, nullptr, nullptr, nullptr, 0) == 0 ||
        PQpipelineSync(connection_) == 0)
        return fail_connection();
    flush();
}

void libpq_connection::send(statement const& it, bool read_only)
{
    answer_ = {};
    is_position_only_ = false;
    bool const is_queued = queue_statement(it, read_only);
    expect(step::statement_sync);
    if (!is_queued || PQpipelineSync(connection_) == 0)
        return fail_connection();
    // Ends the transaction also when the statement has failed.
    if (read_only)
    {
        expect(step::rollback);
        if (PQsendQueryParams(connection_, "ROLLBACK", 0, nullptr, nullptr,
                              nullptr, nullptr, 0) == 0)
            return fail_connection();
    }
    queue_position();
}

void libpq_connection::query_position()
{
    answer_ = {};
    is_position_only_ = true;
    queue_position();
}

void libpq_connection::flush()
{
    auto const left = PQflush(connection_);
    if (left < 0)
        return fail_connection();
    watch(left == 1);
}

// Reads the results that libpq returns without blocking. The results of a query
// end with a null result, those of a synchronisation point do not.
void libpq_connection::read_results()
{
    while (connection_ != nullptr && !steps_.empty() &&
           PQisBusy(connection_) == 0)
    {
        result_ptr it(PQgetResult(connection_));
        auto const next = steps_.front();
        bool const is_sync =
            next == step::statement_sync || next == step::position_sync;
        if (it == nullptr && is_sync)
        {
            if (PQstatus(connection_) == CONNECTION_BAD)
                return fail_connection();
            continue;
        }
        if (it == nullptr || is_sync)
            steps_.pop_front();
        if (it != nullptr)
            (this->*step_handlers[static_cast<std::size_t>(next)])(
                std::move(it));
    }
    // Without an outstanding step only the loss of the connection is noticed.
    if (connection_ != nullptr && PQstatus(connection_) == CONNECTION_BAD)
        fail_connection();
}

void libpq_connection::ignore(result_ptr /*it*/)
{
}

void libpq_connection::on_claim(result_ptr it)
{
    if (!is_error(it.get()))
        return;
    auto const* state = PQresultErrorField(it.get(), PG_DIAG_SQLSTATE);
    answer_.is_repeated =
        state != nullptr && std::strcmp(state, unique_violation) == 0;
    answer_.result = std::move(it);
}

void libpq_connection::on_prepare(result_ptr it)
{
    if (is_error(it.get()))
        answer_.result = std::move(it);
}

void libpq_connection::on_statement(result_ptr it)
{
    // The error of an earlier step is kept rather than the "pipeline aborted"
    // that follows from it.
    if (!answer_.result)
        answer_.result = std::move(it);
}

void libpq_connection::on_statement_sync(result_ptr /*it*/)
{
    answer_.status = PQtransactionStatus(connection_);
}

void libpq_connection::on_position(result_ptr it)
{
    answer_.position = read_position(it.get());
}

void libpq_connection::on_position_sync(result_ptr /*it*/)
{
    if (is_position_only_)
        return observer_.position_read(answer_.position);
    if (PQtransactionStatus(connection_) != PQTRANS_IDLE)
        answer_.position.reset();
    answer_.status = PQtransactionStatus(connection_);
    observer_.answered(std::exchange(answer_, {}));
}

} // namespace basilreach::daemon
