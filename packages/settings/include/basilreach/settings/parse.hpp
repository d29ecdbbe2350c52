#ifndef BASILREACH_SETTINGS_PARSE_HPP
#define BASILREACH_SETTINGS_PARSE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <basilreach/base/result.hpp>
#include <basilreach/settings/daemon_settings.hpp>

namespace basilreach::settings
{

enum class settings_reason : std::uint8_t
{
    unreadable,
    syntax,
    unknown_field,
    duplicate_field,
    missing_field,
    wrong_type,
    out_of_range,
    bad_format,
    inconsistent
};

// An error in a settings file.
struct settings_error
{
    std::string file;
    // Counts from 1; absent if the file could not be read.
    std::optional<std::size_t> line;
    // Path of the field, for instance "control_hosts[1].address"; empty for the
    // whole file.
    std::string field;
    settings_reason reason = settings_reason::syntax;
    // A description of the expected value. Never contains the actual value,
    // which may be a password.
    std::string expected;

    friend bool operator==(settings_error const&,
                           settings_error const&) = default;
};

using settings_errors = std::vector<settings_error>;

// Parses the text of a settings file; returns all its errors together. The file
// name is only used in the errors.
[[nodiscard]] result<daemon_settings, settings_errors>
parse_daemon_settings(std::string_view file, std::string_view text);

// Parses the text of the file with the backend credential.
[[nodiscard]] result<backend_credential, settings_errors>
parse_backend_credential(std::string_view file, std::string_view text);

// Reads and parses a file; a file that cannot be read is reported as an error.
[[nodiscard]] result<daemon_settings, settings_errors>
load_daemon_settings(std::string const& file);
[[nodiscard]] result<backend_credential, settings_errors>
load_backend_credential(std::string const& file);

// Returns a description, for instance "unknown field".
[[nodiscard]] std::string_view to_string(settings_reason reason) noexcept;

// Returns "FILE:LINE: FIELD: REASON, expected EXPECTED".
[[nodiscard]] std::string to_string(settings_error const& error);

} // namespace basilreach::settings

#endif
