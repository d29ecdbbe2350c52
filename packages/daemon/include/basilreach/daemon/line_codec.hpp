#ifndef BASILREACH_DAEMON_LINE_CODEC_HPP
#define BASILREACH_DAEMON_LINE_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <basilreach/base/log_position.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/result.hpp>
#include <basilreach/traffic/event.hpp>

namespace basilreach::daemon
{

// The errors of a line protocol, grouped by what they state about the
// statement.
enum class statement_error : std::uint8_t
{
    // The statement and the transaction that it belongs to have no effect.
    busy,
    aborted,
    behind_position,
    not_primary,
    wrong_server,
    too_many,
    // The statement may have had its effect.
    in_doubt,
    timeout,
    // The statement ran and failed.
    failed,
    // The request was not valid, so nothing ran.
    unknown_statement_name,
    unknown_database,
    unknown_key,
    malformed
};

enum class command_kind : std::uint8_t
{
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set,
    prepare_read,
    prepare_write,
    execute,
    deallocate,
    unknown
};

// ---- Messages of clients ----

struct session_start
{
    std::string database;
    // Empty when the client presented none.
    std::string key;

    friend bool operator==(session_start const&,
                           session_start const&) = default;
};

struct client_command
{
    std::string id;
    command_kind kind = command_kind::unknown;
    // The statement as the client sent it.
    std::string text;
    // The variable of `set`; the prepared statement's name in other commands.
    std::string name;
    // The value of `set`, the query shape of `prepare_read` and
    // `prepare_write`, the arguments of `execute`.
    std::string value;

    friend bool operator==(client_command const&,
                           client_command const&) = default;
};

struct session_end
{
    friend bool operator==(session_end const&, session_end const&) = default;
};

using client_message = std::variant<session_start, client_command, session_end>;

// ---- Messages of servers ----

struct ready_message
{
    traffic::transaction_status status = traffic::transaction_status::idle;
    std::optional<log_position> position;

    friend bool operator==(ready_message const&,
                           ready_message const&) = default;
};

struct row_message
{
    std::string text;

    friend bool operator==(row_message const&, row_message const&) = default;
};

struct complete_message
{
    // The server's proof to the client that it ran the statement. Empty when
    // the proxy itself carried out the command.
    std::string proof;

    friend bool operator==(complete_message const&,
                           complete_message const&) = default;
};

struct error_message
{
    statement_error code = statement_error::failed;
    std::string detail;

    friend bool operator==(error_message const&,
                           error_message const&) = default;
};

using server_message =
    std::variant<ready_message, row_message, complete_message, error_message>;

enum class line_error : std::uint8_t
{
    malformed,
    too_long
};

// A message and its size in bytes.
template <class Message>
struct decoded_message
{
    Message message;
    std::size_t size = 0;
};

// The first message of the input, or nothing while it is incomplete.
template <class Message>
using decode_result =
    result<std::optional<decoded_message<Message>>, line_error>;

// What a prepared statement runs. At servers a prepared statement is named
// after it and not after the name that the client chose, so that sessions can
// share server connections.
struct prepared_shape
{
    bool writes = false;
    std::string shape;

    friend auto operator<=>(prepared_shape const&,
                            prepared_shape const&) = default;
};

// Encodes and decodes the messages of a line protocol. A codec has no state.
class line_codec
{
public:
    virtual ~line_codec() = default;

    [[nodiscard]] virtual decode_result<client_message>
    decode_client_message(std::string_view bytes) const = 0;
    [[nodiscard]] virtual decode_result<server_message>
    decode_server_message(std::string_view bytes) const = 0;

    // ---- Messages to clients ----

    virtual void append_ready(std::string& out,
                              ready_message const& it) const = 0;
    virtual void append_row(std::string& out, row_message const& it) const = 0;
    // Without a proof the message says that the proxy itself carried out the
    // command.
    virtual void append_complete(std::string& out,
                                 complete_message const& it) const = 0;
    virtual void append_error(std::string& out,
                              error_message const& it) const = 0;

    // ---- Messages to servers ----

    virtual void append_start(std::string& out,
                              group_name const& group,
                              workspace_name const& workspace,
                              server_name const& server) const = 0;
    // A client's statement, with the position that the server must have
    // reached.
    virtual void append_statement(std::string& out,
                                  std::string const& id,
                                  std::optional<log_position> const& after,
                                  std::string const& text) const = 0;
    // Statements that the proxy sends on its own behalf.
    virtual void
    append_begin(std::string& out,
                 bool read_only,
                 std::optional<log_position> const& after) const = 0;
    virtual void append_rollback(std::string& out) const = 0;
    virtual void append_reset(std::string& out) const = 0;
    virtual void append_set(std::string& out,
                            std::string const& name,
                            std::string const& value) const = 0;
    virtual void append_prepare(std::string& out,
                                prepared_shape const& it) const = 0;
    virtual void append_status_query(std::string& out) const = 0;
    // Returns the statement that executes a prepared statement by its name at
    // servers.
    [[nodiscard]] virtual std::string
    execute_text(prepared_shape const& it,
                 std::string const& arguments) const = 0;
    // Returns the position that a status query's row reports.
    [[nodiscard]] virtual std::optional<log_position>
    read_status(row_message const& it) const = 0;
};

} // namespace basilreach::daemon

#endif
