#ifndef BASILREACH_DAEMON_HTTP_MESSAGE_HPP
#define BASILREACH_DAEMON_HTTP_MESSAGE_HPP

#include <string>
#include <utility>
#include <vector>

namespace basilreach::daemon
{

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request
{
    std::string method;
    // Path and query.
    std::string target;
    http_headers headers;
    std::string body;

    friend bool operator==(http_request const&, http_request const&) = default;
};

struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;

    friend bool operator==(http_response const&,
                           http_response const&) = default;
};

} // namespace basilreach::daemon

#endif
