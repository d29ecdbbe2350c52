#ifndef BASILREACH_RULES_TEXT_DELTA_HPP
#define BASILREACH_RULES_TEXT_DELTA_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilreach::rules
{

// Copies a range of the base, in bytes, and then inserts a text.
struct text_edit
{
    std::uint64_t offset = 0;
    std::uint64_t length = 0;
    std::string inserted;

    friend auto operator<=>(text_edit const&, text_edit const&) = default;
};

// How a text results from a base: the edits' texts one after another.
struct text_delta
{
    std::vector<text_edit> edits;

    friend auto operator<=>(text_delta const&, text_delta const&) = default;
};

// Returns the delta from the base to the text. The texts are compared by
// records, which end with a line or with a closing brace, so that one rule of
// either format is a record or a few. The size of the delta follows what has
// changed, in the order of the records too.
[[nodiscard]] text_delta make_text_delta(std::string_view base,
                                         std::string_view text);

// Returns the text, or nothing if an edit is beyond the base.
[[nodiscard]] std::optional<std::string>
apply_text_delta(std::string_view base, text_delta const& delta);

} // namespace basilreach::rules

#endif
