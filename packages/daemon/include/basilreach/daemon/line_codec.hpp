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

// Errors that a line protocol reports, by what they tell of the statement.
enum class statement_error : std::uint8_t
{
    // Nothing of the caller's attempt has been kept.
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

// ---- From callers ----

struct session_start
{
    std::string database;
    // Empty when the caller presented none.
    std::string key;

    friend bool operator==(session_start const&,
                           session_start const&) = default;
};

struct client_command
{
    std::string id;
    command_kind kind = command_kind::unknown;
    // The statement as the caller sent it.
    std::string text;
    // The variable of `set`, the statement's name elsewhere.
    std::string name;
    // The value of `set`, the shape of a preparation, the arguments of
    // `execute`.
    std::string value;

    friend bool operator==(client_command const&,
                           client_command const&) = default;
};

struct session_end
{
    friend bool operator==(session_end const&, session_end const&) = default;
};

using client_message = std::variant<session_start, client_command, session_end>;

// ---- From servers ----

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
    // Shows the caller that the server ran the statement.
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

// A message and the bytes that it took.
template <class Message>
struct decoded_message
{
    Message message;
    std::size_t size = 0;
};

// Reads the first message of the bytes; nothing while it is not complete.
template <class Message>
using decode_result =
    result<std::optional<decoded_message<Message>>, line_error>;

// Prepared statements are named alike on every server connection, by what they
// are, so that connections can be shared.
struct prepared_shape
{
    bool writes = false;
    std::string shape;

    friend auto operator<=>(prepared_shape const&,
                            prepared_shape const&) = default;
};

// The words of a line protocol. It has no state and decides nothing.
class line_codec
{
public:
    virtual ~line_codec() = default;

    [[nodiscard]] virtual decode_result<client_message>
    decode_client_message(std::string_view bytes) const = 0;
    [[nodiscard]] virtual decode_result<server_message>
    decode_server_message(std::string_view bytes) const = 0;

    // ---- To callers ----

    virtual void append_ready(std::string& out,
                              ready_message const& it) const = 0;
    virtual void append_row(std::string& out, row_message const& it) const = 0;
    // Without a proof the proxy itself has carried the command out.
    virtual void append_complete(std::string& out,
                                 complete_message const& it) const = 0;
    virtual void append_error(std::string& out,
                              error_message const& it) const = 0;

    // ---- To servers ----

    virtual void append_start(std::string& out,
                              group_name const& group,
                              workspace_name const& workspace,
                              server_name const& server) const = 0;
    // A caller's statement, with the position that the server must have.
    virtual void append_statement(std::string& out,
                                  std::string const& id,
                                  std::optional<log_position> const& after,
                                  std::string const& text) const = 0;
    // Statements of the proxy's own.
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
    // The text that runs a prepared statement under its name on servers.
    [[nodiscard]] virtual std::string
    execute_text(prepared_shape const& it,
                 std::string const& arguments) const = 0;
    // The position that the row of a status query reports.
    [[nodiscard]] virtual std::optional<log_position>
    read_status(row_message const& it) const = 0;
};

} // namespace basilreach::daemon

#endif
