#include <basilreach/daemon/http_reader.hpp>

#include <utility>

#include <http_parser.h>

namespace basilreach::daemon
{

namespace
{

// Larger bodies are refused as malformed.
constexpr std::size_t max_body_bytes = std::size_t{8} << 20U;

void append_fields(std::string& out,
                   http_headers const& headers,
                   std::string const& body)
{
    for (auto const& [name, value] : headers)
    {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
}

} // namespace

struct http_reader::callbacks
{
    static http_reader& self(http_parser* it)
    {
        return *static_cast<http_reader*>(it->data);
    }

    static int on_url(http_parser* it, char const* at, std::size_t n)
    {
        self(it).target_.append(at, n);
        return 0;
    }

    static int on_field(http_parser* it, char const* at, std::size_t n)
    {
        auto& reader = self(it);
        if (reader.headers_.empty() || std::exchange(reader.in_value_, false))
            reader.headers_.emplace_back();
        reader.headers_.back().first.append(at, n);
        return 0;
    }

    static int on_value(http_parser* it, char const* at, std::size_t n)
    {
        auto& reader = self(it);
        reader.in_value_ = true;
        reader.headers_.back().second.append(at, n);
        return 0;
    }

    static int on_body(http_parser* it, char const* at, std::size_t n)
    {
        auto& reader = self(it);
        if (reader.body_.size() + n > max_body_bytes)
            return 1;
        reader.body_.append(at, n);
        return 0;
    }

    static int on_complete(http_parser* it)
    {
        self(it).state_ = progress::complete;
        http_parser_pause(it, 1);
        return 0;
    }

    static http_parser_settings make()
    {
        http_parser_settings out;
        http_parser_settings_init(&out);
        out.on_url = on_url;
        out.on_header_field = on_field;
        out.on_header_value = on_value;
        out.on_body = on_body;
        out.on_message_complete = on_complete;
        return out;
    }
};

http_reader::http_reader(http_kind kind)
    : parser_(std::make_unique<http_parser>())
{
    http_parser_init(parser_.get(),
                     kind == http_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_->data = this;
}

http_reader::~http_reader() = default;

std::size_t http_reader::read(std::string_view bytes)
{
    static http_parser_settings const settings = callbacks::make();
    auto const used = http_parser_execute(parser_.get(), &settings,
                                          bytes.data(), bytes.size());
    if (state_ == progress::complete)
    {
        http_parser_pause(parser_.get(), 0);
        return used;
    }
    if (HTTP_PARSER_ERRNO(parser_.get()) != HPE_OK || parser_->upgrade != 0)
        state_ = progress::malformed;
    return used;
}

void http_reader::read_end()
{
    (void)read({});
}

http_request http_reader::take_request()
{
    http_request out;
    out.method = http_method_str(static_cast<http_method>(parser_->method));
    out.target = std::exchange(target_, {});
    out.headers = std::exchange(headers_, {});
    out.body = std::exchange(body_, {});
    state_ = progress::incomplete;
    return out;
}

http_response http_reader::take_response()
{
    http_response out;
    out.status = static_cast<int>(parser_->status_code);
    out.headers = std::exchange(headers_, {});
    out.body = std::exchange(body_, {});
    state_ = progress::incomplete;
    return out;
}

void append_request(std::string& out,
                    http_request const& it,
                    std::string const& host)
{
    out += it.method + ' ' + it.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    append_fields(out, it.headers, it.body);
}

void append_response(std::string& out, http_response const& it)
{
    auto const status = static_cast<http_status>(it.status);
    out += "HTTP/1.1 " + std::to_string(it.status) + ' ' +
           http_status_str(status) + "\r\n";
    append_fields(out, it.headers, it.body);
}

} // namespace basilreach::daemon
