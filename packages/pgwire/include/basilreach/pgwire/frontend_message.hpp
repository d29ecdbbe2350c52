#ifndef BASILREACH_PGWIRE_FRONTEND_MESSAGE_HPP
#define BASILREACH_PGWIRE_FRONTEND_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <basilreach/pgwire/parameter_list.hpp>

namespace basilreach::pgwire
{

// The first message of a session: protocol version 3 and its parameters, such
// as user, database and options.
struct startup_message
{
    // Minor version of the protocol that the client requests.
    std::uint16_t minor_version = 0;
    std::vector<std::pair<std::string, std::string>> parameters;

    // Returns the value of a parameter, or an empty string if it is absent.
    [[nodiscard]] std::string_view value(std::string_view name) const;

    friend bool operator==(startup_message const&,
                           startup_message const&) = default;
};

// Requests TLS (SSLRequest). The answer is one byte.
struct ssl_request
{
    friend bool operator==(ssl_request const&, ssl_request const&) = default;
};

// Requests GSSAPI encryption (GSSENCRequest). The answer is one byte.
struct gss_encryption_request
{
    friend bool operator==(gss_encryption_request const&,
                           gss_encryption_request const&) = default;
};

// Requests, on a separate connection, the cancellation of a statement.
struct cancel_request
{
    std::uint32_t process = 0;
    std::uint32_t secret = 0;

    friend bool operator==(cancel_request const&,
                           cancel_request const&) = default;
};

// The answer to a password request.
struct password_message
{
    std::string password;

    friend bool operator==(password_message const&,
                           password_message const&) = default;
};

// A simple query.
struct query
{
    std::string text;

    friend bool operator==(query const&, query const&) = default;
};

// Prepares a statement.
struct parse
{
    // Empty for the unnamed statement.
    std::string statement;
    std::string text;
    std::vector<std::uint32_t> parameter_types;

    friend bool operator==(parse const&, parse const&) = default;
};

// Creates a portal from a prepared statement and values.
struct bind
{
    // Empty for the unnamed portal.
    std::string portal;
    std::string statement;
    // 0 is text, 1 is binary. No format means text for all parameters, and one
    // format applies to all of them.
    std::vector<std::int16_t> parameter_formats;
    parameter_list parameters;
    std::vector<std::int16_t> result_formats;

    friend bool operator==(bind const&, bind const&) = default;
};

// What a Describe or Close message refers to.
enum class target_kind : char
{
    statement = 'S',
    portal = 'P'
};

// Requests a description of the parameters and columns of a statement or
// portal.
struct describe_target
{
    target_kind kind = target_kind::statement;
    std::string name;

    friend bool operator==(describe_target const&,
                           describe_target const&) = default;
};

// Closes a statement or portal.
struct close_target
{
    target_kind kind = target_kind::statement;
    std::string name;

    friend bool operator==(close_target const&, close_target const&) = default;
};

// Runs a portal.
struct execute
{
    std::string portal;
    // Zero means all rows.
    std::int32_t max_rows = 0;

    friend bool operator==(execute const&, execute const&) = default;
};

// Ends a series of messages of the extended query protocol.
struct sync
{
    friend bool operator==(sync const&, sync const&) = default;
};

// Requests the answers to the messages sent so far.
struct flush
{
    friend bool operator==(flush const&, flush const&) = default;
};

// Ends the session.
struct terminate
{
    friend bool operator==(terminate const&, terminate const&) = default;
};

// Messages of the protocol that the proxy does not support.
enum class unsupported_kind : std::uint8_t
{
    copy_data,
    copy_done,
    copy_fail,
    function_call
};

// A message that the proxy does not support. Its content is skipped.
struct unsupported
{
    unsupported_kind kind = unsupported_kind::copy_data;

    friend bool operator==(unsupported const&, unsupported const&) = default;
};

using frontend_message = std::variant<startup_message,
                                      ssl_request,
                                      gss_encryption_request,
                                      cancel_request,
                                      password_message,
                                      query,
                                      parse,
                                      bind,
                                      describe_target,
                                      close_target,
                                      execute,
                                      sync,
                                      flush,
                                      terminate,
                                      unsupported>;

} // namespace basilreach::pgwire

#endif
