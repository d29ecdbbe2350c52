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
struct command_token
{
    // Without the enclosing quotes. A doubled quote in the text is one quote.
    std::string text;
    // Byte of the command at which the token starts, counted from 1.
    std::size_t column = 0;
    bool is_quoted = false;
};

// Splits a command into tokens, without a semicolon at its end.
[[nodiscard]] result<std::vector<command_token>, admin_error>
scan(std::string_view text);

} // namespace basilreach::admin::detail

#endif
