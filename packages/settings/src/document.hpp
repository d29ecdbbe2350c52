#ifndef BASILREACH_SETTINGS_SRC_DOCUMENT_HPP
#define BASILREACH_SETTINGS_SRC_DOCUMENT_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <basilreach/settings/parse.hpp>

namespace basilreach::settings::detail
{

// Return the path of a member of an object or of an element of a list.
[[nodiscard]] std::string join(std::string const& path, std::string_view name);
[[nodiscard]] std::string join(std::string const& path, std::size_t index);

// A JSON text with the line of each value, and the errors found in it so far.
class document
{
public:
    document(std::string_view file, std::string_view text);

    // Records an error at the line of the field, or of the nearest object
    // around it.
    void report(std::string const& field,
                settings_reason reason,
                std::string expected);

    // Returns whether an error was reported for the field or a part of it.
    [[nodiscard]] bool is_refused(std::string_view field) const;

    // Discarded when the text is not JSON.
    nlohmann::json root;
    settings_errors errors;

private:
    struct level
    {
        std::string path;
        std::optional<std::size_t> index;
        std::string key;
        std::set<std::string> keys;
    };

    std::string next_path();
    void observe(nlohmann::json::parse_event_t event,
                 nlohmann::json const& parsed,
                 std::size_t line);

    std::string file_;
    std::map<std::string, std::size_t> lines_;
    std::vector<level> levels_;
};

} // namespace basilreach::settings::detail

#endif
