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

// Returns the path of a member of an object, or of an element of an array.
[[nodiscard]] std::string join(std::string const& path, std::string_view name);
[[nodiscard]] std::string join(std::string const& path, std::size_t index);

// A parsed JSON text with the line of each value, and the errors found in it.
class document
{
public:
    document(std::string_view file, std::string_view text);

    // Records an error with the line of the field, or of the nearest enclosing
    // value if the field is missing.
    void report(std::string const& field,
                settings_reason reason,
                std::string expected);

    // Returns whether an error was reported for the field or a value in it.
    [[nodiscard]] bool has_error_at(std::string_view field) const;

    // Discarded if the text is not JSON.
    nlohmann::json root;
    settings_errors errors;

private:
    // An object or array that the parser has not reached the end of.
    struct container
    {
        std::string path;
        std::optional<std::size_t> index;
        std::string key;
        std::set<std::string> keys;
    };

    std::string next_path();
    void on_parse_event(nlohmann::json::parse_event_t event,
                        nlohmann::json const& parsed,
                        std::size_t line);

    std::string file_;
    std::map<std::string, std::size_t> lines_;
    std::vector<container> open_containers_;
};

} // namespace basilreach::settings::detail

#endif
