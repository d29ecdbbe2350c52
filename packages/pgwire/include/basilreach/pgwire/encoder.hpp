#ifndef BASILREACH_PGWIRE_ENCODER_HPP
#define BASILREACH_PGWIRE_ENCODER_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace basilreach::pgwire
{

// PostgreSQL's identifiers (OID) of the types of columns in answers.
inline constexpr std::uint32_t int8_type = 20;
inline constexpr std::uint32_t text_type = 25;

// The answer to ssl_request and gss_encryption_request.
inline constexpr char encryption_refused = 'N';

// The transaction status in ReadyForQuery.
enum class ready_status : char
{
    idle = 'I',
    in_transaction = 'T',
    failed_transaction = 'E'
};

// One column of a RowDescription.
struct column
{
    std::string name;
    std::uint32_t type = text_type;
    // Size of the type in bytes, -1 for variable.
    std::int16_t type_size = -1;
    // 0 is text, 1 is binary.
    std::int16_t format = 0;

    friend bool operator==(column const&, column const&) = default;
};

// The fields of an ErrorResponse or NoticeResponse. An empty detail or hint is
// left out.
struct error_fields
{
    std::string severity = "ERROR";
    std::string sqlstate;
    std::string message;
    std::string detail;
    std::string hint;

    friend bool operator==(error_fields const&, error_fields const&) = default;
};

// Each function appends one message to out. The text of a string field is cut
// at its first zero byte, because the protocol cannot represent one.
void append_authentication_cleartext_password(std::string& out);
void append_authentication_ok(std::string& out);
void append_parameter_status(std::string& out,
                             std::string_view name,
                             std::string_view value);
void append_backend_key_data(std::string& out,
                             std::uint32_t process,
                             std::uint32_t secret);
void append_ready_for_query(std::string& out, ready_status status);
void append_row_description(std::string& out, std::span<column const> columns);
void append_data_row(std::string& out,
                     std::span<std::optional<std::string_view> const> values);
void append_command_complete(std::string& out, std::string_view tag);
void append_empty_query_response(std::string& out);
void append_error_response(std::string& out, error_fields const& error);
void append_notice_response(std::string& out, error_fields const& notice);
void append_parse_complete(std::string& out);
void append_bind_complete(std::string& out);
void append_close_complete(std::string& out);
void append_parameter_description(std::string& out,
                                  std::span<std::uint32_t const> types);
void append_no_data(std::string& out);
void append_portal_suspended(std::string& out);

} // namespace basilreach::pgwire

#endif
