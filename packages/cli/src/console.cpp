#include <basilreach/cli/console.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include <libpq-fe.h>
#include <poll.h>

#include <basilreach/rules/name_syntax.hpp>
#include <basilreach/settings/endpoint.hpp>

namespace basilreach::cli
{

namespace
{

using clock = std::chrono::steady_clock;
using connection_ptr = std::unique_ptr<PGconn, decltype(&PQfinish)>;
using result_ptr = std::unique_ptr<PGresult, decltype(&PQclear)>;

constexpr std::string_view timeout_message = "no answer before the timeout";
constexpr std::string_view wrong_key_sqlstate = "28P01";

// Waits until the socket of a connection is ready. Returns false when the
// deadline has passed or poll() fails.
bool wait_for(PGconn* connection, short events, clock::time_point deadline)
{
    for (;;)
    {
        auto const remaining = std::chrono::ceil<std::chrono::milliseconds>(
            deadline - clock::now());
        if (remaining.count() <= 0)
            return false;
        pollfd it{PQsocket(connection), events, 0};
        auto const n = poll(&it, 1, static_cast<int>(remaining.count()));
        if (n > 0)
            return true;
        if (n < 0 && errno != EINTR)
            return false;
    }
}

std::string error_of(PGconn const* connection)
{
    std::string message = PQerrorMessage(connection);
    while (!message.empty() && message.back() == '\n')
        message.pop_back();
    return message;
}

connection_ptr start_connection(settings::endpoint const& at,
                                std::string const& key)
{
    auto const port = std::to_string(at.port);
    std::string const database{rules::admin_console_name};
    // Encryption is disabled: daemons offer none, and each attempt to negotiate
    // it would cost a round trip. Every parameter is given, so that libpq takes
    // none of them from an environment variable.
    std::array<char const*, 10> const names{
        "hostaddr", "port",       "dbname",          "user",     "password",
        "sslmode",  "gssencmode", "channel_binding", "passfile", nullptr};
    std::array<char const*, 10> const values{
        at.ip.c_str(), port.c_str(), database.c_str(), "operator",  key.c_str(),
        "disable",     "disable",    "disable",        "/dev/null", nullptr};
    return {PQconnectStartParams(names.data(), values.data(), 0), &PQfinish};
}

// Completes the connection. Returns nothing when it is ready, or the outcome of
// the attempt when it fails.
std::optional<attempt_outcome> connect(PGconn* connection,
                                       clock::time_point deadline)
{
    if (connection == nullptr)
        return unreachable{"out of memory"};
    if (PQstatus(connection) == CONNECTION_BAD)
        return unreachable{error_of(connection)};
    PQsetNoticeProcessor(
        connection, [](void*, char const*) {}, nullptr);
    // Only the verbose message contains the SQLSTATE of a refused connection.
    PQsetErrorVerbosity(connection, PQERRORS_VERBOSE);
    for (auto state = PGRES_POLLING_WRITING; state != PGRES_POLLING_OK;
         state = PQconnectPoll(connection))
    {
        if (state == PGRES_POLLING_FAILED)
        {
            auto message = error_of(connection);
            auto const at = message.find(wrong_key_sqlstate);
            if (at == std::string::npos)
                return unreachable{std::move(message)};
            // The message follows the SQLSTATE; hints are on later lines.
            auto const text =
                std::min(at + wrong_key_sqlstate.size() + 2, message.size());
            return rejected{
                std::string{wrong_key_sqlstate},
                message.substr(text, message.find('\n', text) - text)};
        }
        if (!wait_for(connection,
                      state == PGRES_POLLING_READING ? POLLIN : POLLOUT,
                      deadline))
            return unreachable{std::string{timeout_message}};
    }
    return std::nullopt;
}

attempt_outcome read_result(PGresult const* answer)
{
    auto const status = PQresultStatus(answer);
    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK)
    {
        // When a connection breaks, libpq creates an error result without an
        // SQLSTATE.
        auto const* const state = PQresultErrorField(answer, PG_DIAG_SQLSTATE);
        if (state == nullptr)
            return unanswered{"the connection ended before the answer"};
        auto const* const text =
            PQresultErrorField(answer, PG_DIAG_MESSAGE_PRIMARY);
        return rejected{state, text == nullptr ? "" : text};
    }
    answered it;
    auto const columns = PQnfields(answer);
    for (int n = 0; n != columns; ++n)
        it.table.columns.emplace_back(PQfname(answer, n));
    for (int row = 0; row != PQntuples(answer); ++row)
    {
        auto& cells = it.table.rows.emplace_back();
        for (int n = 0; n != columns; ++n)
            cells.emplace_back(
                PQgetvalue(answer, row, n),
                static_cast<std::size_t>(PQgetlength(answer, row, n)));
    }
    return it;
}

// Sends a command over a ready connection and reads its answer. After a failure
// it is unknown whether the daemon ran the command, since part of it may have
// been sent.
attempt_outcome
execute(PGconn* connection, std::string const& text, clock::time_point deadline)
{
    PQsetnonblocking(connection, 1);
    if (PQsendQuery(connection, text.c_str()) == 0)
        return unanswered{error_of(connection)};
    for (int unsent = PQflush(connection);
         unsent != 0 || PQisBusy(connection) != 0;
         unsent = unsent == 0 ? 0 : PQflush(connection))
    {
        if (unsent < 0)
            return unanswered{error_of(connection)};
        auto const events =
            static_cast<short>(unsent == 0 ? POLLIN : POLLIN | POLLOUT);
        if (!wait_for(connection, events, deadline))
            return unanswered{std::string{timeout_message}};
        if (PQconsumeInput(connection) == 0)
            return unanswered{error_of(connection)};
    }
    result_ptr const answer{PQgetResult(connection), &PQclear};
    if (!answer)
        return unanswered{"no answer"};
    return read_result(answer.get());
}

} // namespace

transport console_transport(std::string operator_key,
                            std::chrono::milliseconds timeout)
{
    return [key = std::move(operator_key),
            timeout](std::string const& address,
                     std::string const& text) -> attempt_outcome
    {
        auto const at = settings::parse_endpoint(address);
        if (!at)
            return unreachable{"not a numeric IP address and a port"};
        auto const deadline = clock::now() + timeout;
        auto const connection = start_connection(*at, key);
        if (auto failed = connect(connection.get(), deadline))
            return *std::move(failed);
        return execute(connection.get(), text, deadline);
    };
}

} // namespace basilreach::cli
