#ifndef BASILREACH_SETTINGS_SRC_FIELDS_HPP
#define BASILREACH_SETTINGS_SRC_FIELDS_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <basilreach/rules/digest.hpp>
#include <basilreach/rules/name_syntax.hpp>
#include <basilreach/settings/daemon_settings.hpp>
#include <basilreach/settings/endpoint.hpp>

namespace basilreach::settings::detail
{

using std::chrono::milliseconds;

// The accepted format of a text.
struct text_format
{
    bool (*accepts)(std::string_view);
    std::string_view expected;
};

inline constexpr text_format any_text{
    [](std::string_view text) { return !text.empty(); }, "a non-empty text"};
inline constexpr text_format name_format{
    rules::is_name, "1 to 63 letters, digits, '_', '-' or '.'"};
inline constexpr text_format endpoint_format{
    [](std::string_view text) { return parse_endpoint(text).has_value(); },
    "a numeric IP address and a port, such as 127.0.0.1:5432"};
inline constexpr text_format digest_format{
    [](std::string_view text) { return rules::parse_digest(text).has_value(); },
    "64 hexadecimal digits"};

// The accepted values of a field: a format for texts, an inclusive range for
// numbers and for durations in milliseconds.
struct bounds
{
    text_format const* format = &any_text;
    std::uint64_t low = 0;
    std::uint64_t high = std::numeric_limits<std::uint32_t>::max();
};

constexpr bounds range(std::uint64_t low, std::uint64_t high)
{
    return {&any_text, low, high};
}

constexpr bounds range(milliseconds low, milliseconds high)
{
    return range(static_cast<std::uint64_t>(low.count()),
                 static_cast<std::uint64_t>(high.count()));
}

enum class presence : std::uint8_t
{
    optional,
    required
};

// A field of a JSON object and the member that it sets. The member's type
// determines the accepted JSON type.
template <class Owner>
struct field
{
    using member = std::variant<std::string Owner::*,
                                std::optional<std::string> Owner::*,
                                std::uint32_t Owner::*,
                                bool Owner::*,
                                double Owner::*,
                                statement_protocol Owner::*,
                                dispatch::dispatch_mode Owner::*,
                                std::vector<std::string> Owner::*,
                                duration Owner::*,
                                daemon_name Owner::*,
                                data_centre_name Owner::*,
                                rules::key_digest Owner::*,
                                log_level Owner::*,
                                std::set<daemon_role> Owner::*,
                                std::vector<control_host_settings> Owner::*,
                                duration_settings Owner::*,
                                limit_settings Owner::*,
                                dispatch_settings Owner::*,
                                log_settings Owner::*>;

    std::string_view name;
    member target;
    presence needed = presence::optional;
    bounds accepted = {};
};

// The table of the fields of a JSON object that sets an Owner.
template <class Owner>
struct fields_of;

template <>
struct fields_of<control_host_settings>
{
    using self = control_host_settings;
    static constexpr auto table = std::to_array<field<self>>({
        {"name", &self::name, presence::required, {&name_format}},
        {"address", &self::address, presence::required, {&endpoint_format}},
        {"data_centre", &self::data_centre, presence::required, {&name_format}},
    });
};

template <>
struct fields_of<duration_settings>
{
    using self = duration_settings;
    using ms = milliseconds;
    static constexpr auto table = std::to_array<field<self>>({
        {"control_lease_ms",
         &self::control_lease,
         {},
         range(ms{100}, ms{60000})},
        {"lease_renewal_ms",
         &self::lease_renewal,
         {},
         range(ms{10}, ms{10000})},
        {"request_timeout_ms",
         &self::request_timeout,
         {},
         range(ms{10}, ms{600000})},
        {"read_try_timeout_ms",
         &self::read_try_timeout,
         {},
         range(ms{1}, ms{600000})},
        {"replica_wait_ms", &self::replica_wait, {}, range(ms{0}, ms{1000})},
        {"token_wait_ms", &self::token_wait, {}, range(ms{0}, ms{60000})},
        {"probe_after_ms", &self::probe_after, {}, range(ms{100}, ms{600000})},
        {"drain_period_ms", &self::drain_period, {}, range(ms{0}, ms{600000})},
        {"drain_deadline_ms",
         &self::drain_deadline,
         {},
         range(ms{0}, ms{3600000})},
        {"startup_timeout_ms",
         &self::startup_timeout,
         {},
         range(ms{100}, ms{600000})},
        {"stop_grace_s", &self::stop_grace_s, {}, range(0, 3600)},
        {"lost_host_hold_ms",
         &self::lost_host_hold,
         {},
         range(ms{0}, ms{600000})},
        {"election_timeout_min_ms",
         &self::election_timeout_min,
         {},
         range(ms{50}, ms{30000})},
        {"election_timeout_max_ms",
         &self::election_timeout_max,
         {},
         range(ms{50}, ms{30000})},
        {"heartbeat_ms", &self::heartbeat, {}, range(ms{5}, ms{10000})},
        {"server_silence_ms",
         &self::server_silence,
         {},
         range(ms{100}, ms{600000})},
    });
};

template <>
struct fields_of<limit_settings>
{
    using self = limit_settings;
    static constexpr auto table = std::to_array<field<self>>({
        {"queue_per_workspace",
         &self::queue_per_workspace,
         {},
         range(1, 1000000)},
        {"message_bytes", &self::message_bytes, {}, range(8192, 1ULL << 30U)},
        {"client_buffer_bytes",
         &self::client_buffer_bytes,
         {},
         range(1ULL << 20U, 1ULL << 31U)},
        {"rate_window_s", &self::rate_window_s, {}, range(0, 60)},
        {"rate_overage", &self::rate_overage, {}, range(0, 1)},
        {"rate_slack", &self::rate_slack, {}, range(0, 1000000)},
        {"floor_rate", &self::floor_rate, {}, range(0, 1)},
        {"floor_burst", &self::floor_burst, {}, range(0, 1)},
    });
};

template <>
struct fields_of<dispatch_settings>
{
    using self = dispatch_settings;
    static constexpr auto table = std::to_array<field<self>>({
        {"listen", &self::listen, {}, {&endpoint_format}},
        {"mode", &self::mode},
    });
};

template <>
struct fields_of<log_settings>
{
    using self = log_settings;
    static constexpr auto table = std::to_array<field<self>>({
        {"directory", &self::directory},
        {"level", &self::level},
    });
};

template <>
struct fields_of<daemon_settings>
{
    using self = daemon_settings;
    static constexpr auto table = std::to_array<field<self>>({
        {"name", &self::name, presence::required, {&name_format}},
        {"data_centre", &self::data_centre, presence::required, {&name_format}},
        {"roles", &self::roles, presence::required},
        {"data_directory", &self::data_directory},
        {"traffic_threads", &self::traffic_threads, {}, range(1, 256)},
        {"client_listen",
         &self::client_listen,
         presence::required,
         {&endpoint_format}},
        {"control_listen", &self::control_listen, {}, {&endpoint_format}},
        {"control_hosts", &self::control_hosts, {}, range(1, 19)},
        {"seeds", &self::seeds, {}, {&endpoint_format, 1, 19}},
        {"peer_port", &self::peer_port, {}, range(1, 65535)},
        {"first_start", &self::first_start},
        {"tolerated_losses", &self::tolerated_losses, {}, range(0, 9)},
        {"protocol", &self::protocol},
        {"readiness_listen", &self::readiness_listen, {}, {&endpoint_format}},
        {"operator_listen", &self::operator_listen, {}, {&endpoint_format}},
        {"metrics_listen", &self::metrics_listen, {}, {&endpoint_format}},
        {"promotion_service", &self::promotion_service, {}, {&endpoint_format}},
        {"serve_without_lease", &self::serve_without_lease},
        {"overload_control", &self::overload_control},
        {"operator_key_sha256",
         &self::operator_key,
         presence::required,
         {&digest_format}},
        {"backend_credential_file", &self::backend_credential_file},
        {"backend_database", &self::backend_database},
        {"positions_query", &self::positions_query},
        {"initial_rules_file", &self::initial_rules_file},
        {"durations", &self::durations},
        {"limits", &self::limits},
        {"dispatch", &self::dispatch},
        {"log", &self::log},
    });
};

template <>
struct fields_of<backend_credential>
{
    using self = backend_credential;
    static constexpr auto table = std::to_array<field<self>>({
        {"user", &self::user, presence::required},
        {"password", &self::password, presence::required},
    });
};

inline constexpr auto role_keywords =
    std::to_array<std::pair<std::string_view, daemon_role>>(
        {{"entry", daemon_role::entry}, {"control", daemon_role::control}});

inline constexpr auto protocol_keywords =
    std::to_array<std::pair<std::string_view, statement_protocol>>(
        {{"postgresql", statement_protocol::postgresql},
         {"lines", statement_protocol::lines}});

inline constexpr auto dispatch_keywords =
    std::to_array<std::pair<std::string_view, dispatch::dispatch_mode>>(
        {{"local", dispatch::dispatch_mode::local},
         {"holders", dispatch::dispatch_mode::holders},
         {"auto", dispatch::dispatch_mode::automatic}});

inline constexpr auto level_keywords =
    std::to_array<std::pair<std::string_view, log_level>>(
        {{"debug", log_level::debug},
         {"info", log_level::info},
         {"warning", log_level::warning},
         {"error", log_level::error}});

} // namespace basilreach::settings::detail

#endif
