#ifndef BASILREACH_RULES_DIGEST_HPP
#define BASILREACH_RULES_DIGEST_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <basilreach/rules/rule_set.hpp>

namespace basilreach::rules
{

// Returns the SHA-256 digest of a key in the form in which a client sends it.
[[nodiscard]] key_digest digest_of_key(std::string_view key);

// Compares two digests in constant time, wherever they differ.
[[nodiscard]] bool equal_digests(key_digest const& left,
                                 key_digest const& right) noexcept;

// Parses 64 hexadecimal digits; returns nothing for any other text.
[[nodiscard]] std::optional<key_digest> parse_digest(std::string_view text);

// Returns 64 lowercase hexadecimal digits.
[[nodiscard]] std::string print_digest(key_digest const& digest);

// Returns the id of a change of the rules file: the SHA-256 of the base version
// in decimal, a line feed and the text, as 64 lowercase hexadecimal digits. A
// change that is sent again thus has the same id as before.
[[nodiscard]] std::string change_id_of(std::uint64_t base_version,
                                       std::string_view text);

} // namespace basilreach::rules

#endif
