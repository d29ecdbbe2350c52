#ifndef BASILREACH_DAEMON_CONTROL_API_CODEC_HPP
#define BASILREACH_DAEMON_CONTROL_API_CODEC_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <basilreach/control/leader.hpp>
#include <basilreach/control/server_monitor.hpp>
#include <basilreach/daemon/http_message.hpp>

namespace basilreach::daemon
{

// ---- Calls of the control API, by operators and servers ----

struct put_rules
{
    std::uint64_t version = 0;
    std::string text;

    friend bool operator==(put_rules const&, put_rules const&) = default;
};

struct get_rules
{
    friend bool operator==(get_rules const&, get_rules const&) = default;
};

struct report_server
{
    control::server_report report;

    friend bool operator==(report_server const&,
                           report_server const&) = default;
};

struct deregister_server
{
    server_name server;

    friend bool operator==(deregister_server const&,
                           deregister_server const&) = default;
};

struct set_data_centre_service
{
    data_centre_name data_centre;
    bool in_service = true;

    friend bool operator==(set_data_centre_service const&,
                           set_data_centre_service const&) = default;
};

using control_call = std::variant<put_rules,
                                  get_rules,
                                  report_server,
                                  deregister_server,
                                  set_data_centre_service>;

enum class call_outcome : std::uint8_t
{
    done,
    // The call is invalid; sending it again does not help.
    invalid,
    // Another host leads.
    redirect,
    // This host cannot answer now, or the outcome is unknown.
    unavailable
};

struct call_answer
{
    call_outcome outcome = call_outcome::done;
    // The rules for get_rules, otherwise the reason why a call is invalid.
    std::string text;
    // IP address of the leader, for call_outcome::redirect.
    std::string leader;

    friend bool operator==(call_answer const&, call_answer const&) = default;
};

// Converts between HTTP messages and calls. A deployment implements it for its
// own names and formats. It has no state.
class control_api_codec
{
public:
    virtual ~control_api_codec() = default;

    // Returns the call, or the response to a request that is no valid call.
    [[nodiscard]] virtual std::variant<control_call, http_response>
    decode_call(http_request const& it) const = 0;

    // `own_address` is the IP:PORT at which the request arrived.
    [[nodiscard]] virtual http_response
    encode_answer(http_request const& request,
                  control_call const& call,
                  call_answer const& answer,
                  std::string const& own_address) const = 0;

    [[nodiscard]] virtual bool
    is_readiness_check(http_request const& it) const = 0;

    // Returns the request that makes a server the primary of its group. The
    // holder is the name of this daemon.
    [[nodiscard]] virtual http_request
    encode_promotion(control::promote const& promotion,
                     daemon_name const& holder) const = 0;
};

} // namespace basilreach::daemon

#endif
