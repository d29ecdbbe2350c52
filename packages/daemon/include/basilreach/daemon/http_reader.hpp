#ifndef BASILREACH_DAEMON_HTTP_READER_HPP
#define BASILREACH_DAEMON_HTTP_READER_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <basilreach/daemon/http_message.hpp>

struct http_parser;

namespace basilreach::daemon
{

enum class http_kind : unsigned char
{
    request,
    response
};

// Parses HTTP/1.1 messages one after the other, with the http_parser library.
class http_reader
{
public:
    explicit http_reader(http_kind kind);
    ~http_reader();
    http_reader(http_reader const&) = delete;
    http_reader& operator=(http_reader const&) = delete;

    enum class progress : unsigned char
    {
        incomplete,
        // A message is complete. The caller must retrieve it before the next
        // read().
        complete,
        malformed
    };

    // Parses bytes up to the end of a message. Returns the number of bytes
    // used.
    std::size_t read(std::string_view bytes);

    // Reports the end of the connection, which completes a response without a
    // Content-Length.
    void read_end();

    [[nodiscard]] progress state() const
    {
        return state_;
    }

    [[nodiscard]] http_request take_request();
    [[nodiscard]] http_response take_response();

private:
    struct callbacks;

    std::unique_ptr<http_parser> parser_;
    progress state_ = progress::incomplete;
    std::string target_;
    http_headers headers_;
    std::string body_;
    bool in_value_ = false;
};

// Appends the serialized message.
void append_request(std::string& out,
                    http_request const& it,
                    std::string const& host);
void append_response(std::string& out, http_response const& it);

} // namespace basilreach::daemon

#endif
