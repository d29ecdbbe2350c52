#include <basilreach/pgwire/decoder.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>

namespace basilreach::pgwire
{

namespace
{

constexpr std::size_t length_size = 4;
constexpr std::uint32_t cancel_request_code = 80877102;
constexpr std::uint32_t ssl_request_code = 80877103;
constexpr std::uint32_t gss_encryption_request_code = 80877104;
constexpr std::uint32_t supported_major_version = 3;

std::uint32_t load_u32(std::string_view bytes)
{
    std::uint32_t value = 0;
    for (std::size_t n = 0; n != 4; ++n)
        value = value << 8U | static_cast<unsigned char>(bytes[n]);
    return value;
}

// Reads the fields of one message. After the first error, every read returns an
// empty value and the error is kept, so that callers check for an error once,
// after the last field.
class field_reader
{
public:
    explicit field_reader(std::string_view payload) : rest_(payload)
    {
    }

    std::string_view bytes(std::size_t count)
    {
        if (count > rest_.size())
        {
            fail(wire_error::truncated);
            return {};
        }
        auto const value = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return value;
    }

    std::uint32_t u32()
    {
        auto const value = bytes(4);
        return value.empty() ? 0 : load_u32(value);
    }

    std::uint16_t u16()
    {
        auto const value = bytes(2);
        if (value.empty())
            return 0;
        return static_cast<std::uint16_t>(static_cast<unsigned char>(value[0])
                                              << 8U |
                                          static_cast<unsigned char>(value[1]));
    }

    std::string_view text()
    {
        auto const end = rest_.find('\0');
        if (end == std::string_view::npos)
        {
            fail(wire_error::missing_terminator);
            return {};
        }
        auto const value = rest_.substr(0, end);
        rest_.remove_prefix(end + 1);
        return value;
    }

    // Reads a 16-bit count of fields of at least minimum_size bytes each. Fails
    // if the message cannot hold that many, before memory is allocated for
    // them.
    std::size_t count(std::size_t minimum_size)
    {
        std::size_t const value = u16();
        if (value * minimum_size <= rest_.size())
            return value;
        fail(wire_error::truncated);
        return 0;
    }

    void fail(wire_error error)
    {
        if (!error_)
            error_ = error;
        rest_ = {};
    }

    [[nodiscard]] std::size_t remaining() const
    {
        return rest_.size();
    }

    [[nodiscard]] std::optional<wire_error> error() const
    {
        return error_;
    }

private:
    std::string_view rest_;
    std::optional<wire_error> error_;
};

std::vector<std::int16_t> read_formats(field_reader& fields)
{
    std::vector<std::int16_t> formats(fields.count(2));
    for (auto& it : formats)
    {
        it = static_cast<std::int16_t>(fields.u16());
        if (it != 0 && it != 1)
            fields.fail(wire_error::invalid_field);
    }
    return formats;
}

frontend_message read_startup(field_reader& fields, std::uint32_t version)
{
    startup_message message;
    message.minor_version = static_cast<std::uint16_t>(version & 0xffffU);
    while (!fields.error())
    {
        auto const name = fields.text();
        if (name.empty())
            break;
        if (message.parameters.size() == startup_parameters_max)
        {
            fields.fail(wire_error::too_many_parameters);
            break;
        }
        auto const value = fields.text();
        message.parameters.emplace_back(name, value);
    }
    return message;
}

frontend_message read_password(field_reader& fields)
{
    return password_message{std::string{fields.text()}};
}

frontend_message read_query(field_reader& fields)
{
    return query{std::string{fields.text()}};
}

frontend_message read_parse(field_reader& fields)
{
    parse message;
    message.statement = fields.text();
    message.text = fields.text();
    message.parameter_types.resize(fields.count(4));
    for (auto& it : message.parameter_types)
        it = fields.u32();
    return message;
}

frontend_message read_bind(field_reader& fields)
{
    bind message;
    message.portal = fields.text();
    message.statement = fields.text();
    message.parameter_formats = read_formats(fields);
    auto const count = fields.count(4);
    if (count != 0)
        message.parameters.reserve(count, fields.remaining() - 4 * count);
    for (std::size_t n = 0; n != count && !fields.error(); ++n)
    {
        auto const size = static_cast<std::int32_t>(fields.u32());
        if (size < -1)
            fields.fail(wire_error::invalid_length);
        else if (size == -1)
            message.parameters.push_back(std::nullopt);
        else
            message.parameters.push_back(
                fields.bytes(static_cast<std::size_t>(size)));
    }
    message.result_formats = read_formats(fields);
    return message;
}

target_kind read_target_kind(field_reader& fields)
{
    auto const kind = fields.bytes(1);
    if (kind == "P")
        return target_kind::portal;
    if (kind != "S")
        fields.fail(wire_error::invalid_field);
    return target_kind::statement;
}

template <class Message>
frontend_message read_target(field_reader& fields)
{
    Message message;
    message.kind = read_target_kind(fields);
    message.name = fields.text();
    return message;
}

frontend_message read_execute(field_reader& fields)
{
    execute message;
    message.portal = fields.text();
    message.max_rows = static_cast<std::int32_t>(fields.u32());
    return message;
}

template <class Message>
frontend_message read_empty(field_reader&)
{
    return Message{};
}

template <unsupported_kind Kind>
frontend_message read_unsupported(field_reader& fields)
{
    fields.bytes(fields.remaining());
    return unsupported{Kind};
}

using reader = frontend_message (*)(field_reader&);

constexpr std::array<reader, 256> make_readers()
{
    std::array<reader, 256> table{};
    table['p'] = read_password;
    table['Q'] = read_query;
    table['P'] = read_parse;
    table['B'] = read_bind;
    table['D'] = read_target<describe_target>;
    table['C'] = read_target<close_target>;
    table['E'] = read_execute;
    table['S'] = read_empty<sync>;
    table['H'] = read_empty<flush>;
    table['X'] = read_empty<terminate>;
    table['d'] = read_unsupported<unsupported_kind::copy_data>;
    table['c'] = read_unsupported<unsupported_kind::copy_done>;
    table['f'] = read_unsupported<unsupported_kind::copy_fail>;
    table['F'] = read_unsupported<unsupported_kind::function_call>;
    return table;
}

// Readers of the messages of the normal phase, by type byte.
constexpr auto readers = make_readers();

constexpr std::array descriptions{
    "invalid message length",     "message too large",
    "unknown message type",       "unsupported protocol version",
    "string without end",         "message ends inside a field",
    "bytes after last field",     "invalid field value",
    "too many startup parameters"};

} // namespace

char const* describe(wire_error error)
{
    return descriptions.at(static_cast<std::size_t>(error));
}

std::string_view startup_message::value(std::string_view name) const
{
    for (auto const& it : parameters)
        if (it.first == name)
            return it.second;
    return {};
}

decoder::decoder(std::size_t message_limit) : message_limit_(message_limit)
{
}

void decoder::set_message_limit(std::size_t message_limit)
{
    message_limit_ = message_limit;
}

std::size_t decoder::buffered_capacity() const noexcept
{
    return partial_.capacity();
}

std::size_t decoder::header_size() const noexcept
{
    return in_startup_phase_ ? length_size : length_size + 1;
}

// Returns the size of the whole message including its type byte.
result<std::size_t, wire_error>
decoder::message_size(std::string_view header) const
{
    if (!in_startup_phase_ &&
        readers[static_cast<unsigned char>(header[0])] == nullptr)
        return wire_error::unknown_message_type;
    auto const type_size = header_size() - length_size;
    std::size_t const length = load_u32(header.substr(type_size));
    if (length < length_size || length > INT32_MAX)
        return wire_error::invalid_length;
    auto const limit = in_startup_phase_
                           ? std::min(message_limit_, startup_packet_limit)
                           : message_limit_;
    if (length > limit)
        return wire_error::too_large;
    return length + type_size;
}

decoder::outcome decoder::next(std::string_view& input)
{
    if (error_)
        return *error_;
    for (;;)
    {
        bool const is_unbuffered = partial_.empty();
        std::string_view const pending =
            is_unbuffered ? input
                          : std::string_view{partial_.data(), partial_.size()};
        std::size_t required_size = header_size();
        if (pending.size() >= required_size)
        {
            auto const size = message_size(pending);
            if (!size)
            {
                error_ = size.error();
                partial_ = std::vector<char>{};
                return *error_;
            }
            required_size = size.value();
            if (pending.size() >= required_size)
            {
                auto message = decode(pending.substr(0, required_size));
                if (is_unbuffered)
                    input.remove_prefix(required_size);
                else
                    partial_ = std::vector<char>{};
                return message;
            }
        }
        if (input.empty())
            return std::optional<frontend_message>{};
        buffer_input(input, required_size);
    }
}

// Moves bytes from input to the buffer until the buffer has total_size bytes or
// input is empty. The buffer grows with the bytes that arrive and not with the
// length in the message header, which a client may set without sending the
// bytes.
void decoder::buffer_input(std::string_view& input, std::size_t total_size)
{
    auto const count = std::min(input.size(), total_size - partial_.size());
    auto const needed = partial_.size() + count;
    if (needed > partial_.capacity())
        partial_.reserve(
            std::min(total_size, std::max(needed, 2 * partial_.capacity())));
    partial_.insert(partial_.end(), input.begin(), input.begin() + count);
    input.remove_prefix(count);
}

decoder::outcome decoder::decode(std::string_view message)
{
    field_reader fields{message.substr(header_size())};
    frontend_message decoded;
    if (!in_startup_phase_)
        decoded = readers[static_cast<unsigned char>(message[0])](fields);
    else
    {
        std::uint32_t const code = fields.u32();
        if (code == ssl_request_code)
            decoded = ssl_request{};
        else if (code == gss_encryption_request_code)
            decoded = gss_encryption_request{};
        else if (code == cancel_request_code)
        {
            cancel_request request;
            request.process = fields.u32();
            request.secret = fields.u32();
            decoded = request;
        }
        else if (code >> 16U == supported_major_version)
            decoded = read_startup(fields, code);
        else
            fields.fail(wire_error::unsupported_version);
    }
    if (fields.remaining() != 0)
        fields.fail(wire_error::trailing_bytes);
    error_ = fields.error();
    if (error_)
        return *error_;
    if (std::holds_alternative<startup_message>(decoded))
        in_startup_phase_ = false;
    return std::optional<frontend_message>{std::move(decoded)};
}

} // namespace basilreach::pgwire
