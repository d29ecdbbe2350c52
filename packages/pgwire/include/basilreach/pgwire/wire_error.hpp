#ifndef BASILREACH_PGWIRE_WIRE_ERROR_HPP
#define BASILREACH_PGWIRE_WIRE_ERROR_HPP

#include <cstdint>

namespace basilreach::pgwire
{

// Why a byte stream cannot be decoded. After an error the start of the next
// message is unknown, so the connection is closed (SQLSTATE 08P01).
enum class wire_error : std::uint8_t
{
    // The length field is negative or less than its own size.
    invalid_length,
    // The message is larger than the decoder's limit.
    too_large,
    // No message of the protocol has this type byte.
    unknown_message_type,
    // The startup packet requests a protocol version other than 3.
    unsupported_version,
    // A string has no terminating zero within the message.
    missing_terminator,
    // The message ends inside a field.
    truncated,
    // Bytes follow the last field of the message.
    trailing_bytes,
    // A field has a value that the protocol does not allow.
    invalid_field,
    // The startup packet has more parameters than startup_parameters_max.
    too_many_parameters
};

// Returns a short description for an ErrorResponse or a log line.
[[nodiscard]] char const* describe(wire_error error);

} // namespace basilreach::pgwire

#endif
