#ifndef BASILREACH_PGWIRE_DECODER_HPP
#define BASILREACH_PGWIRE_DECODER_HPP

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include <basilreach/base/result.hpp>
#include <basilreach/pgwire/frontend_message.hpp>
#include <basilreach/pgwire/wire_error.hpp>

namespace basilreach::pgwire
{

// Default for the size of a message in bytes, its type byte excluded.
inline constexpr std::size_t default_message_limit = 1 << 20;

// Size limit of a startup packet in bytes, the one of PostgreSQL. Such a packet
// comes from a client that has not been authenticated.
inline constexpr std::size_t startup_packet_limit = 10'000;

// Limit for the parameters in a startup packet. Without it, a packet of short
// parameters would occupy twenty times its size.
inline constexpr std::size_t startup_parameters_max = 64;

// Decodes the byte stream of one client. It buffers only the part of a message
// whose rest has not arrived, and holds no memory between messages.
class decoder
{
public:
    // Takes the limit in bytes for the size of one message. The limit must be
    // below 2 GiB. A decoder refuses a message over its limit when it has seen
    // the length, and allocates no more than the limit for a message.
    explicit decoder(std::size_t message_limit = default_message_limit);

    // Returns the next message and removes its bytes from the front of input.
    // Returns nothing when input holds no further whole message: the rest of
    // input has then been kept, and input is empty. After an error every call
    // returns the same error.
    result<std::optional<frontend_message>, wire_error>
    next(std::string_view& input);

    // Replaces the limit from the next message on.
    void set_message_limit(std::size_t message_limit);

    // Returns the bytes of memory held for a partial message.
    [[nodiscard]] std::size_t buffered_capacity() const noexcept;

private:
    using outcome = result<std::optional<frontend_message>, wire_error>;

    [[nodiscard]] std::size_t header_size() const noexcept;
    result<std::size_t, wire_error> message_size(std::string_view header) const;
    outcome decode(std::string_view message);
    void keep(std::string_view& input, std::size_t wanted_total);

    std::size_t message_limit_;
    // Bytes of a message that is not complete.
    std::vector<char> partial_;
    std::optional<wire_error> error_;
    bool startup_ = true;
};

} // namespace basilreach::pgwire

#endif
