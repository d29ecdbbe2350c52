#ifndef BASILREACH_MESSAGES_CODEC_HPP
#define BASILREACH_MESSAGES_CODEC_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <basilreach/base/result.hpp>
#include <basilreach/control/command.hpp>
#include <basilreach/control/control_state.hpp>
#include <basilreach/messages/message.hpp>

namespace basilreach::messages
{

enum class decode_error : std::uint8_t
{
    // The bytes are not a valid FlatBuffers buffer, or a required part is
    // missing.
    malformed,
    // The kind of the message or of a part of it is unknown.
    unknown_kind,
    // A digest does not have 32 bytes.
    bad_digest
};

// Returns the encoding of a message, without a frame.
[[nodiscard]] std::string encode(message const& it);

// Returns the encoding of a message as a frame, as it is sent over a link.
[[nodiscard]] std::string encode_frame(message const& it);

[[nodiscard]] result<message, decode_error> decode(std::string_view bytes);

// Encode and decode a command as an entry of the replicated log, and the
// control state as a snapshot of the log.
[[nodiscard]] std::string encode_command(control::command const& it);

[[nodiscard]] result<control::command, decode_error>
decode_command(std::string_view bytes);

[[nodiscard]] std::string encode_parts(control::control_parts const& it);

[[nodiscard]] result<control::control_parts, decode_error>
decode_parts(std::string_view bytes);

} // namespace basilreach::messages

#endif
