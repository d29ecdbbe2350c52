#ifndef BASILREACH_SETTINGS_READ_FILE_HPP
#define BASILREACH_SETTINGS_READ_FILE_HPP

#include <optional>
#include <string>

namespace basilreach::settings
{

// Returns the bytes of a file, or nothing if it cannot be read. A directory
// cannot be read; it is not treated as an empty file.
[[nodiscard]] std::optional<std::string> read_file(std::string const& file);

} // namespace basilreach::settings

#endif
