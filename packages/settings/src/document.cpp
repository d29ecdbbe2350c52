#include "document.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace basilreach::settings::detail
{

namespace
{

using json = nlohmann::json;

// Counts the lines that the JSON parser has read. The parser reads one
// character past the end of a number, so a line feed is only counted once
// another character is read after it.
struct line_counter
{
    std::size_t line = 1;
    char previous = 0;

    void consume(char c)
    {
        if (previous == '\n')
            ++line;
        previous = c;
    }
};

class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = char const*;
    using reference = char const&;

    counting_iterator(char const* it, line_counter* counter)
        : it_(it), counter_(counter)
    {
    }

    reference operator*() const
    {
        return *it_;
    }

    counting_iterator& operator++()
    {
        counter_->consume(*it_++);
        return *this;
    }

    counting_iterator operator++(int)
    {
        auto const before = *this;
        ++*this;
        return before;
    }

    friend bool operator==(counting_iterator const& left,
                           counting_iterator const& right)
    {
        return left.it_ == right.it_;
    }

private:
    char const* it_;
    line_counter* counter_;
};

} // namespace

std::string join(std::string const& path, std::string_view name)
{
    return path.empty() ? std::string{name} : path + "." + std::string{name};
}

std::string join(std::string const& path, std::size_t index)
{
    return path + "[" + std::to_string(index) + "]";
}

document::document(std::string_view file, std::string_view text) : file_(file)
{
    line_counter counter;
    root = json::parse(
        counting_iterator(text.data(), &counter),
        counting_iterator(text.data() + text.size(), &counter),
        [&](int /*depth*/, json::parse_event_t event, json& parsed)
        {
            on_parse_event(event, parsed, counter.line);
            return true;
        },
        false, true);
    if (root.is_discarded())
        errors.push_back({file_, counter.line, "", settings_reason::syntax,
                          "JSON with comments"});
}

void document::report(std::string const& field,
                      settings_reason reason,
                      std::string expected)
{
    auto path = field;
    auto it = lines_.find(path);
    while (it == lines_.end() && !path.empty())
    {
        auto const cut = path.find_last_of(".[");
        path.resize(cut == std::string::npos ? 0 : cut);
        it = lines_.find(path);
    }
    std::optional<std::size_t> line;
    if (it != lines_.end())
        line = it->second;
    errors.push_back({file_, line, field, reason, std::move(expected)});
}

bool document::has_error_at(std::string_view field) const
{
    return std::any_of(errors.begin(), errors.end(),
                       [&](settings_error const& it)
                       {
                           return it.field.starts_with(field) &&
                                  (it.field.size() == field.size() ||
                                   it.field[field.size()] == '.' ||
                                   it.field[field.size()] == '[');
                       });
}

std::string document::next_path()
{
    if (open_containers_.empty())
        return {};
    auto& it = open_containers_.back();
    return it.index ? join(it.path, (*it.index)++) : join(it.path, it.key);
}

void document::on_parse_event(json::parse_event_t event,
                              json const& parsed,
                              std::size_t line)
{
    using event_t = json::parse_event_t;
    if (event == event_t::key)
    {
        auto& it = open_containers_.back();
        it.key = parsed.get<std::string>();
        auto const path = join(it.path, it.key);
        lines_[path] = line;
        if (!it.keys.insert(it.key).second)
            report(path, settings_reason::duplicate_field,
                   "each field at most once");
    }
    else if (event == event_t::object_end || event == event_t::array_end)
        open_containers_.pop_back();
    else
    {
        auto const path = next_path();
        lines_.try_emplace(path, line);
        if (event == event_t::object_start)
            open_containers_.push_back({path, std::nullopt, {}, {}});
        else if (event == event_t::array_start)
            open_containers_.push_back({path, 0, {}, {}});
    }
}

} // namespace basilreach::settings::detail
