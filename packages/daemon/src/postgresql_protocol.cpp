// Implements the traffic threads' protocol interface for PostgreSQL.
#include <utility>

#include <basilreach/daemon/libpq_connection.hpp>
#include <basilreach/daemon/postgresql_client_connection.hpp>
#include <basilreach/daemon/protocol.hpp>
#include <basilreach/traffic/statement.hpp>

namespace basilreach::daemon
{

namespace
{

traffic::transaction_status to_status(PGTransactionStatusType it)
{
    if (it == PQTRANS_INERROR)
        return traffic::transaction_status::failed_transaction;
    return it == PQTRANS_INTRANS ? traffic::transaction_status::in_transaction
                                 : traffic::transaction_status::idle;
}

// Adds READ ONLY to a statement that begins a transaction. The line feed is
// needed when the statement ends with a line comment.
statement declare_read_only(statement it)
{
    it.text.erase(it.text.find_last_not_of("; \t\r\n") + 1);
    it.text += "\nREAD ONLY";
    return it;
}

// Whether the statement must run read-only. The answer of a read is relayed
// without waiting for a majority, so a write that is declared as a read must
// fail at the primary as it does at a replica.
bool needs_read_only(postgresql_client_connection const& client,
                     send_options const& options)
{
    if (options.on_read_only_connection || client.is_in_transaction() ||
        client.current().mode != statement_mode::run)
        return false;
    return client.is_read_only() || options.on_read_route;
}

server_answer to_server_answer(libpq_answer it)
{
    auto const status = PQresultStatus(it.result.get());
    server_answer out;
    out.summary.is_error = status != PGRES_TUPLES_OK &&
                           status != PGRES_COMMAND_OK &&
                           status != PGRES_EMPTY_QUERY;
    out.summary.status = to_status(it.status);
    out.summary.position = it.position;
    out.payload = std::make_unique<libpq_answer>(std::move(it));
    return out;
}

libpq_observer to_libpq_observer(server_observer it)
{
    libpq_observer out;
    out.opened = std::move(it.opened);
    out.lost = std::move(it.lost);
    out.position_read = [position_read = std::move(it.position_read)](
                            std::optional<log_position> position)
    {
        position_read({position, false});
    };
    out.answered = [answered = std::move(it.answered)](libpq_answer answer)
    {
        answered(to_server_answer(std::move(answer)));
    };
    return out;
}

class postgresql_server_connection : public server_connection
{
public:
    postgresql_server_connection(event_loop& loop,
                                 settings::daemon_settings const& settings,
                                 settings::backend_credential const& credential,
                                 server_observer observer)
        : connection_(loop,
                      settings,
                      credential,
                      to_libpq_observer(std::move(observer)))
    {
    }

    void open(traffic::open_connection const& target) override
    {
        connection_.open({target.address, target.read_only});
    }

    void send(client_connection const& client,
              send_options const& options) override
    {
        auto const& session =
            static_cast<postgresql_client_connection const&>(client);
        auto const& statement = session.current();
        if (!needs_read_only(session, options))
            return connection_.send(statement, false);
        auto const verb = traffic::classify(statement.text);
        if (verb == traffic::statement_verb::begin_read_write)
            connection_.send(declare_read_only(statement), false);
        else
            connection_.send(statement, verb == traffic::statement_verb::other);
    }

    void query_position(bool /*verify_primary*/) override
    {
        connection_.query_position();
    }

    void close() override
    {
        connection_.close();
    }

private:
    libpq_connection connection_;
};

class postgresql_protocol : public protocol
{
public:
    postgresql_protocol(settings::daemon_settings const& settings,
                        settings::backend_credential const& credential)
        : settings_(settings), credential_(credential)
    {
    }

    [[nodiscard]] std::unique_ptr<client_connection>
    make_client_connection(ACE_SOCK_Stream const& stream) const override
    {
        return std::make_unique<postgresql_client_connection>(
            stream, settings_.limits.message_bytes);
    }

    [[nodiscard]] std::unique_ptr<server_connection>
    make_server_connection(event_loop& loop,
                           server_observer observer) const override
    {
        return std::make_unique<postgresql_server_connection>(
            loop, settings_, credential_, std::move(observer));
    }

private:
    settings::daemon_settings const& settings_;
    settings::backend_credential const& credential_;
};

} // namespace

std::unique_ptr<protocol>
make_postgresql_protocol(settings::daemon_settings const& settings,
                         settings::backend_credential const& credential)
{
    return std::make_unique<postgresql_protocol>(settings, credential);
}

} // namespace basilreach::daemon
