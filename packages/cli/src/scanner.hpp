#ifndef BASILREACH_CLI_SRC_SCANNER_HPP
#define BASILREACH_CLI_SRC_SCANNER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <basilreach/base/result.hpp>
#include <basilreach/cli/admin_command.hpp>

namespace basilreach::admin::detail
{

// A word, a symbol or a quoted text of a command.
struct token
{
    // Without quotes, with doubled quotes reduced.
    std::string text;
    std::size_t column = 0;
    bool is_quoted = false;
};

// Takes a command apart. A semicolon at its end is left out.
[[nodiscard]] result<std::vector<token>, admin_error>
scan(std::string_view text);

} // namespace basilreach::admin::detail

#endif
