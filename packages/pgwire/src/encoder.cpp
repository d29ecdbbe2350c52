#include <basilreach/pgwire/encoder.hpp>

#include <cstddef>

namespace basilreach::pgwire
{

namespace
{

// Appends one message to a string. The destructor writes the length field.
class message_writer
{
public:
    message_writer(std::string& out, char type) : out_(out)
    {
        out_.push_back(type);
        start_ = out_.size();
        out_.append(4, '\0');
    }

    message_writer(message_writer const&) = delete;
    message_writer& operator=(message_writer const&) = delete;

    ~message_writer()
    {
        store(start_, static_cast<std::uint32_t>(out_.size() - start_));
    }

    message_writer& u32(std::uint32_t value)
    {
        out_.append(4, '\0');
        store(out_.size() - 4, value);
        return *this;
    }

    message_writer& u16(std::size_t value)
    {
        out_.push_back(static_cast<char>(value >> 8U & 0xffU));
        out_.push_back(static_cast<char>(value & 0xffU));
        return *this;
    }

    message_writer& byte(char value)
    {
        out_.push_back(value);
        return *this;
    }

    message_writer& bytes(std::string_view value)
    {
        out_.append(value);
        return *this;
    }

    message_writer& text(std::string_view value)
    {
        out_.append(value.substr(0, value.find('\0')));
        out_.push_back('\0');
        return *this;
    }

private:
    void store(std::size_t offset, std::uint32_t value)
    {
        for (std::size_t n = 0; n != 4; ++n)
            out_[offset + n] = static_cast<char>(value >> (24 - 8 * n) & 0xffU);
    }

    std::string& out_;
    std::size_t start_ = 0;
};

void append_fields(std::string& out, char type, error_fields const& fields)
{
    message_writer writer{out, type};
    writer.byte('S').text(fields.severity);
    writer.byte('V').text(fields.severity);
    writer.byte('C').text(fields.sqlstate);
    writer.byte('M').text(fields.message);
    if (!fields.detail.empty())
        writer.byte('D').text(fields.detail);
    if (!fields.hint.empty())
        writer.byte('H').text(fields.hint);
    writer.byte('\0');
}

} // namespace

void append_authentication_cleartext_password(std::string& out)
{
    message_writer{out, 'R'}.u32(3);
}

void append_authentication_ok(std::string& out)
{
    message_writer{out, 'R'}.u32(0);
}

void append_parameter_status(std::string& out,
                             std::string_view name,
                             std::string_view value)
{
    message_writer{out, 'S'}.text(name).text(value);
}

void append_backend_key_data(std::string& out,
                             std::uint32_t process,
                             std::uint32_t secret)
{
    message_writer{out, 'K'}.u32(process).u32(secret);
}

void append_ready_for_query(std::string& out, ready_status status)
{
    message_writer{out, 'Z'}.byte(static_cast<char>(status));
}

void append_row_description(std::string& out, std::span<column const> columns)
{
    message_writer writer{out, 'T'};
    writer.u16(columns.size());
    for (auto const& it : columns)
    {
        // Table and column number are 0 and the type modifier is -1: the column
        // belongs to no table and its type has no modifier.
        writer.text(it.name).u32(0).u16(0).u32(it.type);
        writer.u16(static_cast<std::uint16_t>(it.type_size)).u32(UINT32_MAX);
        writer.u16(static_cast<std::uint16_t>(it.format));
    }
}

void append_data_row(std::string& out,
                     std::span<std::optional<std::string_view> const> values)
{
    message_writer writer{out, 'D'};
    writer.u16(values.size());
    for (auto const& it : values)
    {
        if (it)
            writer.u32(static_cast<std::uint32_t>(it->size())).bytes(*it);
        else
            writer.u32(UINT32_MAX);
    }
}

void append_command_complete(std::string& out, std::string_view tag)
{
    message_writer{out, 'C'}.text(tag);
}

void append_empty_query_response(std::string& out)
{
    message_writer{out, 'I'};
}

void append_error_response(std::string& out, error_fields const& error)
{
    append_fields(out, 'E', error);
}

void append_notice_response(std::string& out, error_fields const& notice)
{
    append_fields(out, 'N', notice);
}

void append_parse_complete(std::string& out)
{
    message_writer{out, '1'};
}

void append_bind_complete(std::string& out)
{
    message_writer{out, '2'};
}

void append_close_complete(std::string& out)
{
    message_writer{out, '3'};
}

void append_parameter_description(std::string& out,
                                  std::span<std::uint32_t const> types)
{
    message_writer writer{out, 't'};
    writer.u16(types.size());
    for (auto const it : types)
        writer.u32(it);
}

void append_no_data(std::string& out)
{
    message_writer{out, 'n'};
}

void append_portal_suspended(std::string& out)
{
    message_writer{out, 's'};
}

} // namespace basilreach::pgwire
