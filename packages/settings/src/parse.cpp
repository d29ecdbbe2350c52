#include <basilreach/settings/parse.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <set>
#include <utility>
#include <variant>

#include <basilreach/settings/endpoint.hpp>
#include <basilreach/settings/read_file.hpp>

#include "document.hpp"
#include "fields.hpp"

namespace basilreach::settings
{

namespace
{

using json = nlohmann::json;
using detail::bounds;
using detail::dispatch_keywords;
using detail::document;
using detail::fields_of;
using detail::join;
using detail::level_keywords;
using detail::milliseconds;
using detail::presence;
using detail::protocol_keywords;
using detail::range;
using detail::role_keywords;

constexpr auto reason_names = std::to_array<std::string_view>(
    {"unreadable file", "syntax error", "unknown field", "duplicate field",
     "missing field", "wrong type", "out of range", "bad format",
     "inconsistent"});

// A JSON value with its path in the document and its accepted values.
struct field_value
{
    document& in;
    std::string path;
    json const& value;
    bounds accepted;

    void report_error(settings_reason reason, std::string_view expected) const
    {
        in.report(path, reason, std::string{expected});
    }
};

template <class Owner>
void read_object(field_value const& at, Owner& out);

std::optional<std::string> read_text(field_value const& at)
{
    auto const& format = *at.accepted.format;
    if (!at.value.is_string())
    {
        at.report_error(settings_reason::wrong_type, format.expected);
        return std::nullopt;
    }
    auto text = at.value.get<std::string>();
    // System calls would truncate the text at a zero byte.
    if (format.accepts(text) && text.find('\0') == std::string::npos)
        return text;
    at.report_error(settings_reason::bad_format, format.expected);
    return std::nullopt;
}

std::optional<std::uint64_t> read_number(field_value const& at)
{
    auto const& [format, low, high] = at.accepted;
    auto const expected = "a whole number from " + std::to_string(low) +
                          " to " + std::to_string(high);
    if (!at.value.is_number_integer())
    {
        at.report_error(settings_reason::wrong_type, expected);
        return std::nullopt;
    }
    if (at.value.is_number_unsigned())
    {
        auto const number = at.value.get<std::uint64_t>();
        if (number >= low && number <= high)
            return number;
    }
    at.report_error(settings_reason::out_of_range, expected);
    return std::nullopt;
}

template <class Value, std::size_t Size>
std::optional<Value> read_keyword(
    field_value const& at,
    std::array<std::pair<std::string_view, Value>, Size> const& keywords)
{
    std::string expected;
    for (auto const& [keyword, value] : keywords)
    {
        if (at.value.is_string() &&
            at.value.get_ref<std::string const&>() == keyword)
            return value;
        expected += (expected.empty() ? "" : " or ") +
                    ('"' + std::string{keyword}) + '"';
    }
    at.report_error(at.value.is_string() ? settings_reason::bad_format
                                         : settings_reason::wrong_type,
                    expected);
    return std::nullopt;
}

void read_value(field_value const& at, std::string& out)
{
    if (auto text = read_text(at))
        out = std::move(*text);
}

void read_value(field_value const& at, std::optional<std::string>& out)
{
    out = read_text(at);
}

template <class Tag>
void read_value(field_value const& at, name<Tag>& out)
{
    if (auto text = read_text(at))
        out = name<Tag>{std::move(*text)};
}

void read_value(field_value const& at, std::uint32_t& out)
{
    if (auto const number = read_number(at))
        out = static_cast<std::uint32_t>(*number);
}

void read_value(field_value const& at, duration& out)
{
    if (auto const number = read_number(at))
        out = milliseconds{*number};
}

void read_value(field_value const& at, rules::key_digest& out)
{
    if (auto const text = read_text(at))
        out = *rules::parse_digest(*text);
}

void read_value(field_value const& at, log_level& out)
{
    out = read_keyword(at, level_keywords).value_or(out);
}

void read_value(field_value const& at, statement_protocol& out)
{
    out = read_keyword(at, protocol_keywords).value_or(out);
}

void read_value(field_value const& at, dispatch::dispatch_mode& out)
{
    out = read_keyword(at, dispatch_keywords).value_or(out);
}

void read_value(field_value const& at, double& out)
{
    auto const& [format, low, high] = at.accepted;
    auto const expected =
        "a number from " + std::to_string(low) + " to " + std::to_string(high);
    if (!at.value.is_number())
        return at.report_error(settings_reason::wrong_type, expected);
    auto const number = at.value.get<double>();
    if (number >= static_cast<double>(low) &&
        number <= static_cast<double>(high))
        out = number;
    else
        at.report_error(settings_reason::out_of_range, expected);
}

void read_value(field_value const& at, bool& out)
{
    if (at.value.is_boolean())
        out = at.value.get<bool>();
    else
        at.report_error(settings_reason::wrong_type, "true or false");
}

// Calls read(field_value) for each element of a list, if its length is
// accepted.
template <class Read>
void read_list(field_value const& at, bounds const& length, Read read)
{
    auto const expected = "a list of " + std::to_string(length.low) + " to " +
                          std::to_string(length.high) + " elements";
    if (!at.value.is_array())
        return at.report_error(settings_reason::wrong_type, expected);
    if (at.value.size() < length.low || at.value.size() > length.high)
        return at.report_error(settings_reason::out_of_range, expected);
    for (std::size_t n = 0; n != at.value.size(); ++n)
        read(field_value{at.in, join(at.path, n), at.value[n], {}});
}

void read_value(field_value const& at, std::set<daemon_role>& out)
{
    read_list(at, range(1, role_keywords.size()),
              [&](field_value const& element)
              {
                  auto const role = read_keyword(element, role_keywords);
                  if (role && !out.insert(*role).second)
                      element.report_error(settings_reason::inconsistent,
                                           "each role at most once");
              });
}

void read_value(field_value const& at, std::vector<control_host_settings>& out)
{
    std::set<daemon_name> names;
    read_list(at, at.accepted,
              [&](field_value const& element)
              {
                  control_host_settings host;
                  read_object(element, host);
                  if (!host.name.empty() && !names.insert(host.name).second)
                      element.report_error(settings_reason::inconsistent,
                                           "each control host at most once");
                  out.push_back(std::move(host));
              });
}

void read_value(field_value const& at, std::vector<std::string>& out)
{
    read_list(at, range(at.accepted.low, at.accepted.high),
              [&](field_value element)
              {
                  element.accepted.format = at.accepted.format;
                  if (auto text = read_text(element))
                      out.push_back(std::move(*text));
              });
}

template <class Owner>
requires requires
{
    fields_of<Owner>::table;
}
void read_value(field_value const& at, Owner& out)
{
    read_object(at, out);
}

template <class Owner>
void read_object(field_value const& at, Owner& out)
{
    if (!at.value.is_object())
        return at.report_error(settings_reason::wrong_type, "an object");
    constexpr auto& table = fields_of<Owner>::table;
    for (auto const& member : at.value.items())
        if (std::none_of(table.begin(), table.end(),
                         [&](auto const& it)
                         { return it.name == member.key(); }))
            at.in.report(join(at.path, member.key()),
                         settings_reason::unknown_field,
                         "a field listed in docs/settings.md");
    for (auto const& it : table)
    {
        auto const path = join(at.path, it.name);
        auto const found = at.value.find(it.name);
        if (found != at.value.end())
            std::visit(
                [&](auto target) {
                    read_value(field_value{at.in, path, *found, it.accepted},
                               out.*target);
                },
                it.target);
        else if (it.needed == presence::required)
            at.in.report(path, settings_reason::missing_field,
                         "a value, because this field is required");
    }
}

// A condition on two fields, checked if neither has an error of its own. An
// error is reported for the first field.
struct consistency_check
{
    std::string_view field;
    std::string_view other;
    settings_reason reason;
    bool (*holds)(daemon_settings const&);
    std::string_view expected;
};

// Returns whether the daemon runs statements for others.
bool is_holder(daemon_settings const& it)
{
    return it.dispatch.mode != dispatch::dispatch_mode::local &&
           it.roles.contains(daemon_role::entry);
}

constexpr auto consistency_checks = std::to_array<consistency_check>({
    {"data_directory", "roles", settings_reason::missing_field,
     [](daemon_settings const& it)
     { return !it.roles.contains(daemon_role::control) || it.data_directory; },
     "a directory, because the control role is on"},
    {"control_listen", "roles", settings_reason::missing_field,
     [](daemon_settings const& it)
     { return !it.roles.contains(daemon_role::control) || it.control_listen; },
     "an address, because the control role is on"},
    {"backend_credential_file", "roles", settings_reason::missing_field,
     [](daemon_settings const& it)
     {
         return !it.roles.contains(daemon_role::entry) ||
                it.protocol != statement_protocol::postgresql ||
                it.backend_credential_file;
     },
     "a file, because the entry role is on"},
    {"control_hosts", "seeds", settings_reason::missing_field,
     [](daemon_settings const& it)
     { return it.control_hosts.empty() != it.seeds.empty(); },
     "either control_hosts or seeds, and not both"},
    {"peer_port", "seeds", settings_reason::missing_field,
     [](daemon_settings const& it)
     { return it.seeds.empty() || it.peer_port != 0; },
     "a port, because seeds are given"},
    {"dispatch.listen", "dispatch.mode", settings_reason::missing_field,
     [](daemon_settings const& it)
     { return !is_holder(it) || it.dispatch.listen; },
     "an address, because the mode is not local"},
    {"dispatch.mode", "protocol", settings_reason::inconsistent,
     [](daemon_settings const& it)
     { return !is_holder(it) || it.protocol == statement_protocol::lines; },
     "\"local\", because the protocol is not lines"},
    // The links belong to the one traffic thread.
    {"dispatch.mode", "traffic_threads", settings_reason::inconsistent,
     [](daemon_settings const& it)
     { return !is_holder(it) || it.traffic_threads == 1; },
     "\"local\", because traffic_threads is not 1"},
    // A daemon must keep its lease if one renewal is lost.
    {"durations.lease_renewal_ms", "durations.control_lease_ms",
     settings_reason::inconsistent,
     [](daemon_settings const& it)
     { return 2 * it.durations.lease_renewal <= it.durations.control_lease; },
     "at most half of control_lease_ms"},
    {"durations.read_try_timeout_ms", "durations.request_timeout_ms",
     settings_reason::inconsistent,
     [](daemon_settings const& it)
     { return it.durations.read_try_timeout <= it.durations.request_timeout; },
     "at most request_timeout_ms"},
    {"durations.election_timeout_max_ms", "durations.election_timeout_min_ms",
     settings_reason::inconsistent,
     [](daemon_settings const& it)
     {
         return it.durations.election_timeout_min <
                it.durations.election_timeout_max;
     },
     "more than election_timeout_min_ms, so that candidates start elections "
     "at different times"},
    // The loss of one heartbeat must not make a follower start an election.
    {"durations.heartbeat_ms", "durations.election_timeout_min_ms",
     settings_reason::inconsistent,
     [](daemon_settings const& it) {
         return 2 * it.durations.heartbeat <= it.durations.election_timeout_min;
     },
     "at most half of election_timeout_min_ms"},
});

void check_consistency(document& in, daemon_settings const& settings)
{
    for (auto const& it : consistency_checks)
        if (!in.has_error_at(it.field) && !in.has_error_at(it.other) &&
            !it.holds(settings))
            in.report(std::string{it.field}, it.reason,
                      std::string{it.expected});
}

// Adds a control host for each seed, named by its IP address.
void expand_seeds(daemon_settings& it)
{
    for (auto const& seed : it.seeds)
    {
        auto const ip = parse_endpoint(seed)->ip;
        it.control_hosts.push_back(
            {daemon_name{ip}, ip + ':' + std::to_string(it.peer_port), {}});
    }
}

void expand_seeds(backend_credential& /*it*/)
{
}

void check_consistency(document& /*in*/, backend_credential const& /*value*/)
{
}

template <class Value>
result<Value, settings_errors> parse(std::string_view file,
                                     std::string_view text)
{
    document in{file, text};
    Value value;
    if (!in.root.is_discarded())
    {
        read_object(field_value{in, "", in.root, {}}, value);
        if (in.root.is_object())
            check_consistency(in, value);
    }
    if (!in.errors.empty())
    {
        std::stable_sort(in.errors.begin(), in.errors.end(),
                         [](auto const& left, auto const& right)
                         { return left.line < right.line; });
        return failure(std::move(in.errors));
    }
    expand_seeds(value);
    return success(std::move(value));
}

template <class Value>
result<Value, settings_errors> load(std::string const& file)
{
    auto const text = read_file(file);
    if (!text)
        return failure(
            settings_errors{{file, std::nullopt, "",
                             settings_reason::unreadable, "a readable file"}});
    return parse<Value>(file, *text);
}

} // namespace

result<daemon_settings, settings_errors>
parse_daemon_settings(std::string_view file, std::string_view text)
{
    return parse<daemon_settings>(file, text);
}

result<backend_credential, settings_errors>
parse_backend_credential(std::string_view file, std::string_view text)
{
    return parse<backend_credential>(file, text);
}

result<daemon_settings, settings_errors>
load_daemon_settings(std::string const& file)
{
    return load<daemon_settings>(file);
}

result<backend_credential, settings_errors>
load_backend_credential(std::string const& file)
{
    return load<backend_credential>(file);
}

std::string_view to_string(settings_reason reason) noexcept
{
    return reason_names[static_cast<std::size_t>(reason)];
}

std::string to_string(settings_error const& error)
{
    auto text = error.file + ":";
    if (error.line)
        text += std::to_string(*error.line) + ":";
    if (!error.field.empty())
        text += " " + error.field + ":";
    text += " ";
    text += to_string(error.reason);
    return text + ", expected " + error.expected;
}

} // namespace basilreach::settings
