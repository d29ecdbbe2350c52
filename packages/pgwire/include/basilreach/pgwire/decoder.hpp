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

// Default limit for the size of a message in bytes, without its type byte.
inline constexpr std::size_t default_message_limit = 1 << 20;

// Size limit of a startup packet in bytes, the same as PostgreSQL's. The limit
// is low because the client has not been authenticated yet.
inline constexpr std::size_t startup_packet_limit = 10'000;

// Limit for the number of parameters in a startup packet. Without it, a packet
// of many short parameters would take twenty times its size in memory.
inline constexpr std::size_t startup_parameters_max = 64;

// Decodes the byte stream of one client. It buffers bytes only while a message
// is incomplete, and holds no memory between messages.
class decoder
{
public:
    // The limit in bytes applies to the size of one message and must be below
    // 2 GiB. The decoder refuses a larger message as soon as it has the length
    // field, and allocates no more than the limit for a message.
    explicit decoder(std::size_t message_limit = default_message_limit);

    // Returns the next message and removes its bytes from the front of input.
    // Returns nothing when input holds no further whole message: the rest of
    // input has then been buffered, and input is empty. After an error every
    // call returns the same error.
    result<std::optional<frontend_message>, wire_error>
    next(std::string_view& input);

    // Sets the limit for the following messages and for an incomplete one.
    void set_message_limit(std::size_t message_limit);

    // Returns the bytes of memory allocated for an incomplete message.
    [[nodiscard]] std::size_t buffered_capacity() const noexcept;

private:
    using outcome = result<std::optional<frontend_message>, wire_error>;

    [[nodiscard]] std::size_t header_size() const noexcept;
    result<std::size_t, wire_error> message_size(std::string_view header) const;
    outcome decode(std::string_view message);
    void buffer_input(std::string_view& input, std::size_t total_size);

    std::size_t message_limit_;
    // The received bytes of an incomplete message.
    std::vector<char> partial_;
    std::optional<wire_error> error_;
    bool in_startup_phase_ = true;
};

} // namespace basilreach::pgwire

#endif
