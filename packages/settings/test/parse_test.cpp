#include <basilreach/settings/parse.hpp>

#include <algorithm>
#include <string>

#include <doctest/doctest.h>

#include <basilreach/settings/endpoint.hpp>

namespace basilreach::settings
{

using namespace std::chrono_literals;

namespace
{

std::string const digest(64, 'a');

// Returns a file with the required fields only, followed by `more` fields.
std::string minimal_settings(std::string const& more = "")
{
    return R"({ // entry role
  "name": "entry-1",
  "data_centre": "bne",
  "roles": ["entry"],
  "client_listen": "127.0.0.1:6432",
  "control_hosts": [
    {"name": "c1", "address": "127.0.0.1:7000", "data_centre": "bne"}],
  "operator_key_sha256": ")" +
           digest + R"(",
  "backend_credential_file": "credential.json")" +
           more + "}";
}

// Returns the errors of a text, each as "LINE FIELD REASON".
std::string errors_of(std::string const& text)
{
    auto const parsed = parse_daemon_settings("f", text);
    std::string all;
    if (parsed.has_error())
        for (auto const& it : parsed.error())
            all += std::to_string(it.line.value_or(0)) + " " + it.field + " " +
                   std::string{to_string(it.reason)} + "\n";
    return all;
}

} // namespace

TEST_CASE("absent fields have their default values")
{
    auto const parsed = parse_daemon_settings("f", minimal_settings());
    REQUIRE(parsed.has_value());
    auto const& it = parsed.value();
    CHECK(it.roles == std::set{daemon_role::entry});
    CHECK(it.control_hosts.size() == 1);
    CHECK(it.positions_query ==
          "SELECT term, position FROM basilreach.position()");
    CHECK(it.durations == duration_settings{});
    CHECK(it.durations.control_lease == 3s);
    CHECK(it.limits.queue_per_workspace == 1000);
}

TEST_CASE("given fields replace the defaults")
{
    auto const parsed = parse_daemon_settings(
        "f", minimal_settings(R"(, "durations": {"replica_wait_ms": 7},
          "limits": {"queue_per_workspace": 5}, "log": {"level": "debug"})"));
    REQUIRE(parsed.has_value());
    CHECK(parsed.value().durations.replica_wait == 7ms);
    CHECK(parsed.value().limits.queue_per_workspace == 5);
    CHECK(parsed.value().log.level == log_level::debug);
}

TEST_CASE("all errors are reported together, each with its line")
{
    CHECK(errors_of(R"({
  "name": 5,
  "data_centre": "no spaces",
  "roles": ["entry", "judge"],
  "client_listen": "localhost:6432",
  "control_hosts": [
    {"name": "c1", "address": "127.0.0.1:0",
     "place": "bne"}],
  "operator_key_sha256": "ab",
  "traffic_threads": 0,
  "traffic_threads": 1.5,
  "durations": {
    "heartbeat_ms": -1
  },
  "colour": null
})") == R"(2 name wrong type
3 data_centre bad format
4 roles[1] bad format
5 client_listen bad format
7 control_hosts[0].address bad format
7 control_hosts[0].data_centre missing field
8 control_hosts[0].place unknown field
9 operator_key_sha256 bad format
11 traffic_threads duplicate field
11 traffic_threads wrong type
13 durations.heartbeat_ms out of range
15 colour unknown field
)");
}

TEST_CASE("fields that contradict each other are rejected")
{
    CHECK(errors_of(minimal_settings(R"(,
  "durations": {"control_lease_ms": 900, "request_timeout_ms": 999,
    "election_timeout_min_ms": 100, "election_timeout_max_ms": 100})")) ==
          R"(10 durations.lease_renewal_ms inconsistent
10 durations.read_try_timeout_ms inconsistent
10 durations.heartbeat_ms inconsistent
11 durations.election_timeout_max_ms inconsistent
)");
}

TEST_CASE("the fields that a role uses are required")
{
    auto text = minimal_settings(R"(, "data_directory": "d")");
    text.replace(text.find("\"entry\""), 7, "\"control\"");
    CHECK(errors_of(text) == "1 control_listen missing field\n");
    text = minimal_settings();
    text.replace(text.find("backend_cred"), 23, "colour");
    CHECK(errors_of(text) == "1 backend_credential_file missing field\n"
                             "9 colour unknown field\n");
}

// Guards against a daemon that others expect to run statements and that
// cannot be reached or does not speak their protocol.
TEST_CASE("a holder has an address, the line protocol and one traffic thread")
{
    std::string const lines = R"(,
  "protocol": "lines", "traffic_threads": 1)";
    auto const address = R"(, "listen": "127.0.0.1:6500"})";
    auto const holders = R"(, "dispatch": {"mode": "holders")";
    auto const parsed =
        parse_daemon_settings("f", minimal_settings(lines + holders + address));
    REQUIRE(parsed.has_value());
    CHECK(
        parsed.value().dispatch ==
        dispatch_settings{"127.0.0.1:6500", dispatch::dispatch_mode::holders});
    CHECK(errors_of(minimal_settings(lines + holders + "}")) ==
          "10 dispatch.listen missing field\n");
    CHECK(errors_of(minimal_settings(std::string{holders} + address)) ==
          "9 dispatch.mode inconsistent\n");
    CHECK(errors_of(minimal_settings(R"(, "dispatch": {"mode": "local"})")) ==
          "");
    CHECK(errors_of(minimal_settings(R"(, "dispatch": {"mode": "all"})")) ==
          "9 dispatch.mode bad format\n");
}

TEST_CASE("a syntax error is reported once, with its line")
{
    CHECK(errors_of("{\n\"name\": \n]") == "3  syntax error\n");
    CHECK(errors_of("[]") == "1  wrong type\n");
}

TEST_CASE("the example settings file is valid and has both roles")
{
    auto const loaded = load_daemon_settings(BASILREACH_SOURCE_DIR
                                             "/examples/entry_control.json");
    REQUIRE(loaded.has_value());
    CHECK(loaded.value().roles.size() == 2);
    CHECK(loaded.value().control_hosts.size() == 3);
}

TEST_CASE("an unreadable file is an error and not read as an empty file")
{
    auto const loaded = load_daemon_settings("/nonexistent/settings.json");
    REQUIRE(loaded.has_error());
    CHECK(to_string(loaded.error().front()) ==
          "/nonexistent/settings.json: unreadable file, expected a readable "
          "file");
    CHECK(load_daemon_settings("/").error().front().reason ==
          settings_reason::unreadable);
}

TEST_CASE("errors in a credential file never contain the password")
{
    auto const parsed =
        parse_backend_credential("f", R"({"user": "u", "password": 12345})");
    REQUIRE(parsed.has_error());
    CHECK(to_string(parsed.error().front()) ==
          "f:1: password: wrong type, expected a non-empty text");
    CHECK(parse_backend_credential("f", R"({"user":"u","password":"p"})")
              .value() == backend_credential{"u", "p"});
}

TEST_CASE("an endpoint needs a numeric IP address and a port")
{
    CHECK(parse_endpoint("127.0.0.1:80") == endpoint{"127.0.0.1", 80});
    CHECK(parse_endpoint("[::1]:80") == endpoint{"::1", 80});
    for (auto const* it : {"localhost:80", "127.0.0.1", "127.0.0.1:", "::1:80",
                           "127.0.0.1:65536", "127.0.0.1:80x", "[]:80", ""})
        CHECK_FALSE(parse_endpoint(it).has_value());
}

} // namespace basilreach::settings
