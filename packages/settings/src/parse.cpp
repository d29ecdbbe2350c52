#include <basilreach/settings/parse.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include <basilreach/rules/digest.hpp>
#include <basilreach/rules/name_syntax.hpp>
#include <basilreach/settings/endpoint.hpp>
#include <basilreach/settings/read_file.hpp>

namespace basilreach::settings
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr auto reason_names = std::to_array<std::string_view>(
    {"unreadable file", "syntax error", "unknown field", "duplicate field",
     "missing field", "wrong type", "out of range", "bad format",
     "inconsistent"});

// Counts the lines that the JSON parser has consumed. The parser reads one
// character past a number, so a line feed counts once another character
// follows it.
struct line_counter
{
    std::size_t line = 1;
    char last = 0;

    void consume(char c)
    {
        if (last == '\n')
            ++line;
        last = c;
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

std::string join(std::string const& path, std::string_view name)
{
    return path.empty() ? std::string{name} : path + "." + std::string{name};
}

std::string join(std::string const& path, std::size_t index)
{
    return path + "[" + std::to_string(index) + "]";
}

// A JSON text with the line of each value, and the errors found in it so far.
class document
{
public:
    document(std::string_view file, std::string_view text) : file_(file)
    {
        line_counter counter;
        root = json::parse(
            counting_iterator(text.data(), &counter),
            counting_iterator(text.data() + text.size(), &counter),
            [&](int /*depth*/, json::parse_event_t event, json& parsed)
            {
                observe(event, parsed, counter.line);
                return true;
            },
            false, true);
        if (root.is_discarded())
            errors = {{file_, counter.line, "", settings_reason::syntax,
                       "JSON with comments"}};
    }

    // Records an error at the line of the field, or of the nearest object
    // around it.
    void report(std::string const& field,
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

    // Returns whether an error was reported for the field or a part of it.
    [[nodiscard]] bool is_refused(std::string_view field) const
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

    json root;
    settings_errors errors;

private:
    struct level
    {
        std::string path;
        std::optional<std::size_t> index;
        std::string key;
        std::set<std::string> keys;
    };

    std::string next_path()
    {
        if (levels_.empty())
            return {};
        auto& it = levels_.back();
        return it.index ? join(it.path, (*it.index)++) : join(it.path, it.key);
    }

    void
    observe(json::parse_event_t event, json const& parsed, std::size_t line)
    {
        using event_t = json::parse_event_t;
        if (event == event_t::key)
        {
            auto& it = levels_.back();
            it.key = parsed.get<std::string>();
            auto const path = join(it.path, it.key);
            lines_[path] = line;
            if (!it.keys.insert(it.key).second)
                report(path, settings_reason::duplicate_field,
                       "each field once");
        }
        else if (event == event_t::object_end || event == event_t::array_end)
            levels_.pop_back();
        else
        {
            auto const path = next_path();
            lines_.try_emplace(path, line);
            if (event == event_t::object_start)
                levels_.push_back({path, std::nullopt, {}, {}});
            else if (event == event_t::array_start)
                levels_.push_back({path, 0, {}, {}});
        }
    }

    std::string file_;
    std::map<std::string, std::size_t> lines_;
    std::vector<level> levels_;
};

// What a text must look like.
struct text_format
{
    bool (*accepts)(std::string_view);
    std::string_view expected;
};

constexpr text_format any_text{
    [](std::string_view text) { return !text.empty(); }, "a non-empty text"};
constexpr text_format name_format{rules::is_name,
                                  "1 to 63 letters, digits, '_', '-' or '.'"};
constexpr text_format endpoint_format{
    [](std::string_view text) { return parse_endpoint(text).has_value(); },
    "a numeric IP address and a port, such as 127.0.0.1:5432"};
constexpr text_format digest_format{
    [](std::string_view text) { return rules::parse_digest(text).has_value(); },
    "64 hexadecimal digits"};

// Accepted values: a format for texts, an inclusive range for numbers and for
// durations in milliseconds.
struct bounds
{
    text_format const* format = &any_text;
    std::uint64_t low = 0;
    std::uint64_t high = std::numeric_limits<std::uint32_t>::max();
};

constexpr bounds range(std::uint64_t low, std::uint64_t high)
{
    return {&any_text, low, high};
}

constexpr bounds range(milliseconds low, milliseconds high)
{
    return range(static_cast<std::uint64_t>(low.count()),
                 static_cast<std::uint64_t>(high.count()));
}

enum class presence : std::uint8_t
{
    optional,
    required
};

// A field of an object. Its kind is the type of the member that it sets.
template <class Owner>
struct field
{
    using member = std::variant<std::string Owner::*,
                                std::optional<std::string> Owner::*,
                                std::uint32_t Owner::*,
                                duration Owner::*,
                                daemon_name Owner::*,
                                data_centre_name Owner::*,
                                rules::key_digest Owner::*,
                                log_level Owner::*,
                                std::set<daemon_role> Owner::*,
                                std::vector<control_host> Owner::*,
                                duration_settings Owner::*,
                                limit_settings Owner::*,
                                log_settings Owner::*>;

    std::string_view name;
    member target;
    presence needed = presence::optional;
    bounds accepted = {};
};

// The table of fields of each object.
template <class Owner>
struct fields_of;

template <>
struct fields_of<control_host>
{
    using self = control_host;
    static constexpr auto table = std::to_array<field<self>>({
        {"name", &self::name, presence::required, {&name_format}},
        {"address", &self::address, presence::required, {&endpoint_format}},
        {"data_centre", &self::data_centre, presence::required, {&name_format}},
    });
};

template <>
struct fields_of<duration_settings>
{
    using self = duration_settings;
    using ms = milliseconds;
    static constexpr auto table = std::to_array<field<self>>({
        {"control_lease_ms",
         &self::control_lease,
         {},
         range(ms{100}, ms{60000})},
        {"lease_renewal_ms",
         &self::lease_renewal,
         {},
         range(ms{10}, ms{10000})},
        {"request_timeout_ms",
         &self::request_timeout,
         {},
         range(ms{10}, ms{600000})},
        {"read_try_timeout_ms",
         &self::read_try_timeout,
         {},
         range(ms{1}, ms{600000})},
        {"replica_wait_ms", &self::replica_wait, {}, range(ms{0}, ms{1000})},
        {"probe_after_ms", &self::probe_after, {}, range(ms{100}, ms{600000})},
        {"drain_period_ms", &self::drain_period, {}, range(ms{0}, ms{600000})},
        {"drain_deadline_ms",
         &self::drain_deadline,
         {},
         range(ms{0}, ms{3600000})},
        {"lost_host_hold_ms",
         &self::lost_host_hold,
         {},
         range(ms{0}, ms{600000})},
        {"election_timeout_min_ms",
         &self::election_timeout_min,
         {},
         range(ms{50}, ms{30000})},
        {"election_timeout_max_ms",
         &self::election_timeout_max,
         {},
         range(ms{50}, ms{30000})},
        {"heartbeat_ms", &self::heartbeat, {}, range(ms{5}, ms{10000})},
    });
};

template <>
struct fields_of<limit_settings>
{
    using self = limit_settings;
    static constexpr auto table = std::to_array<field<self>>({
        {"queue_per_workspace",
         &self::queue_per_workspace,
         {},
         range(1, 1000000)},
        {"message_bytes", &self::message_bytes, {}, range(8192, 1ULL << 30U)},
    });
};

template <>
struct fields_of<log_settings>
{
    using self = log_settings;
    static constexpr auto table = std::to_array<field<self>>({
        {"directory", &self::directory},
        {"level", &self::level},
    });
};

template <>
struct fields_of<daemon_settings>
{
    using self = daemon_settings;
    static constexpr auto table = std::to_array<field<self>>({
        {"name", &self::name, presence::required, {&name_format}},
        {"data_centre", &self::data_centre, presence::required, {&name_format}},
        {"roles", &self::roles, presence::required},
        {"data_directory", &self::data_directory},
        {"traffic_threads", &self::traffic_threads, {}, range(1, 256)},
        {"client_listen",
         &self::client_listen,
         presence::required,
         {&endpoint_format}},
        {"control_listen", &self::control_listen, {}, {&endpoint_format}},
        {"control_hosts", &self::control_hosts, presence::required,
         range(1, 19)},
        {"operator_key_sha256",
         &self::operator_key,
         presence::required,
         {&digest_format}},
        {"backend_credential_file", &self::backend_credential_file},
        {"backend_database", &self::backend_database},
        {"positions_query", &self::positions_query},
        {"initial_rules_file", &self::initial_rules_file},
        {"durations", &self::durations},
        {"limits", &self::limits},
        {"log", &self::log},
    });
};

template <>
struct fields_of<backend_credential>
{
    using self = backend_credential;
    static constexpr auto table = std::to_array<field<self>>({
        {"user", &self::user, presence::required},
        {"password", &self::password, presence::required},
    });
};

constexpr auto role_words =
    std::to_array<std::pair<std::string_view, daemon_role>>(
        {{"entry", daemon_role::entry}, {"control", daemon_role::control}});

constexpr auto level_words =
    std::to_array<std::pair<std::string_view, log_level>>(
        {{"debug", log_level::debug},
         {"info", log_level::info},
         {"warning", log_level::warning},
         {"error", log_level::error}});

// Where a value stands and what it may be.
struct place
{
    document& in;
    std::string path;
    json const& value;
    bounds accepted;

    void refuse(settings_reason reason, std::string_view expected) const
    {
        in.report(path, reason, std::string{expected});
    }
};

template <class Owner>
void read_object(place const& at, Owner& out);

std::optional<std::string> read_text(place const& at)
{
    auto const& format = *at.accepted.format;
    if (!at.value.is_string())
    {
        at.refuse(settings_reason::wrong_type, format.expected);
        return std::nullopt;
    }
    auto text = at.value.get<std::string>();
    // A zero byte would cut the text short in every system call.
    if (format.accepts(text) && text.find('\0') == std::string::npos)
        return text;
    at.refuse(settings_reason::bad_format, format.expected);
    return std::nullopt;
}

std::optional<std::uint64_t> read_number(place const& at)
{
    auto const& [format, low, high] = at.accepted;
    auto const expected = "a whole number from " + std::to_string(low) +
                          " to " + std::to_string(high);
    if (!at.value.is_number_integer())
    {
        at.refuse(settings_reason::wrong_type, expected);
        return std::nullopt;
    }
    if (at.value.is_number_unsigned())
    {
        auto const number = at.value.get<std::uint64_t>();
        if (number >= low && number <= high)
            return number;
    }
    at.refuse(settings_reason::out_of_range, expected);
    return std::nullopt;
}

template <class Value, std::size_t Size>
std::optional<Value>
read_word(place const& at,
          std::array<std::pair<std::string_view, Value>, Size> const& words)
{
    std::string expected;
    for (auto const& [word, value] : words)
    {
        if (at.value.is_string() &&
            at.value.get_ref<std::string const&>() == word)
            return value;
        expected +=
            (expected.empty() ? "" : " or ") + ('"' + std::string{word}) + '"';
    }
    at.refuse(at.value.is_string() ? settings_reason::bad_format
                                   : settings_reason::wrong_type,
              expected);
    return std::nullopt;
}

void read_value(place const& at, std::string& out)
{
    if (auto text = read_text(at))
        out = std::move(*text);
}

void read_value(place const& at, std::optional<std::string>& out)
{
    out = read_text(at);
}

template <class Tag>
void read_value(place const& at, name<Tag>& out)
{
    if (auto text = read_text(at))
        out = name<Tag>{std::move(*text)};
}

void read_value(place const& at, std::uint32_t& out)
{
    if (auto const number = read_number(at))
        out = static_cast<std::uint32_t>(*number);
}

void read_value(place const& at, duration& out)
{
    if (auto const number = read_number(at))
        out = milliseconds{*number};
}

void read_value(place const& at, rules::key_digest& out)
{
    if (auto const text = read_text(at))
        out = *rules::parse_digest(*text);
}

void read_value(place const& at, log_level& out)
{
    out = read_word(at, level_words).value_or(out);
}

// Calls read(place) for each element of a list of accepted length.
template <class Read>
void read_list(place const& at, bounds const& length, Read read)
{
    auto const expected = "a list of " + std::to_string(length.low) + " to " +
                          std::to_string(length.high) + " elements";
    if (!at.value.is_array())
        return at.refuse(settings_reason::wrong_type, expected);
    if (at.value.size() < length.low || at.value.size() > length.high)
        return at.refuse(settings_reason::out_of_range, expected);
    for (std::size_t n = 0; n != at.value.size(); ++n)
        read(place{at.in, join(at.path, n), at.value[n], {}});
}

void read_value(place const& at, std::set<daemon_role>& out)
{
    read_list(at, range(1, role_words.size()),
              [&](place const& element)
              {
                  auto const role = read_word(element, role_words);
                  if (role && !out.insert(*role).second)
                      element.refuse(settings_reason::inconsistent,
                                     "each role once");
              });
}

void read_value(place const& at, std::vector<control_host>& out)
{
    std::set<daemon_name> names;
    read_list(at, at.accepted,
              [&](place const& element)
              {
                  control_host host;
                  read_object(element, host);
                  if (!host.name.empty() && !names.insert(host.name).second)
                      element.refuse(settings_reason::inconsistent,
                                     "each control host once");
                  out.push_back(std::move(host));
              });
}

template <class Owner>
requires requires
{
    fields_of<Owner>::table;
}
void read_value(place const& at, Owner& out)
{
    read_object(at, out);
}

template <class Owner>
void read_object(place const& at, Owner& out)
{
    if (!at.value.is_object())
        return at.refuse(settings_reason::wrong_type, "an object");
    constexpr auto& table = fields_of<Owner>::table;
    for (auto const& member : at.value.items())
        if (std::none_of(table.begin(), table.end(),
                         [&](auto const& it)
                         { return it.name == member.key(); }))
            at.in.report(join(at.path, member.key()),
                         settings_reason::unknown_field,
                         "a field of docs/settings.md");
    for (auto const& it : table)
    {
        auto const path = join(at.path, it.name);
        auto const found = at.value.find(it.name);
        if (found != at.value.end())
            std::visit(
                [&](auto target) {
                    read_value(place{at.in, path, *found, it.accepted},
                               out.*target);
                },
                it.target);
        else if (it.needed == presence::required)
            at.in.report(path, settings_reason::missing_field,
                         "this field to be given");
    }
}

// A condition between two fields, checked when both by themselves are
// accepted. An error is reported at the first.
struct agreement
{
    std::string_view field;
    std::string_view other;
    settings_reason reason;
    bool (*holds)(daemon_settings const&);
    std::string_view expected;
};

constexpr auto agreements = std::to_array<agreement>({
    {"data_directory", "roles", settings_reason::missing_field,
     [](daemon_settings const& it)
     { return !it.roles.contains(daemon_role::control) || it.data_directory; },
     "a directory, because the control role is on"},
    {"control_listen", "roles", settings_reason::missing_field,
     [](daemon_settings const& it)
     { return !it.roles.contains(daemon_role::control) || it.control_listen; },
     "an address, because the control role is on"},
    {"backend_credential_file", "roles", settings_reason::missing_field,
     [](daemon_settings const& it)
     {
         return !it.roles.contains(daemon_role::entry) ||
                it.backend_credential_file;
     },
     "a file, because the entry role is on"},
    // A daemon must be able to lose one renewal and still keep its lease.
    {"durations.lease_renewal_ms", "durations.control_lease_ms",
     settings_reason::inconsistent,
     [](daemon_settings const& it)
     { return 2 * it.durations.lease_renewal <= it.durations.control_lease; },
     "at most half of control_lease_ms"},
    {"durations.read_try_timeout_ms", "durations.request_timeout_ms",
     settings_reason::inconsistent,
     [](daemon_settings const& it)
     { return it.durations.read_try_timeout <= it.durations.request_timeout; },
     "at most request_timeout_ms"},
    {"durations.election_timeout_max_ms", "durations.election_timeout_min_ms",
     settings_reason::inconsistent,
     [](daemon_settings const& it)
     {
         return it.durations.election_timeout_min <
                it.durations.election_timeout_max;
     },
     "more than election_timeout_min_ms, so that candidates differ"},
    // A follower must be able to lose one heartbeat without an election.
    {"durations.heartbeat_ms", "durations.election_timeout_min_ms",
     settings_reason::inconsistent,
     [](daemon_settings const& it) {
         return 2 * it.durations.heartbeat <= it.durations.election_timeout_min;
     },
     "at most half of election_timeout_min_ms"},
});

void check_agreements(document& in, daemon_settings const& settings)
{
    for (auto const& it : agreements)
        if (!in.is_refused(it.field) && !in.is_refused(it.other) &&
            !it.holds(settings))
            in.report(std::string{it.field}, it.reason,
                      std::string{it.expected});
}

void check_agreements(document& /*in*/, backend_credential const& /*value*/)
{
}

template <class Value>
result<Value, settings_errors> parse(std::string_view file,
                                     std::string_view text)
{
    document in{file, text};
    Value value;
    if (!in.root.is_discarded())
    {
        read_object(place{in, "", in.root, {}}, value);
        if (in.root.is_object())
            check_agreements(in, value);
    }
    if (!in.errors.empty())
    {
        std::stable_sort(in.errors.begin(), in.errors.end(),
                         [](auto const& left, auto const& right)
                         { return left.line < right.line; });
        return failure(std::move(in.errors));
    }
    return success(std::move(value));
}

template <class Value>
result<Value, settings_errors> load(std::string const& file)
{
    auto const text = read_file(file);
    if (!text)
        return failure(
            settings_errors{{file, std::nullopt, "",
                             settings_reason::unreadable, "a readable file"}});
    return parse<Value>(file, *text);
}

} // namespace

result<daemon_settings, settings_errors>
parse_daemon_settings(std::string_view file, std::string_view text)
{
    return parse<daemon_settings>(file, text);
}

result<backend_credential, settings_errors>
parse_backend_credential(std::string_view file, std::string_view text)
{
    return parse<backend_credential>(file, text);
}

result<daemon_settings, settings_errors>
load_daemon_settings(std::string const& file)
{
    return load<daemon_settings>(file);
}

result<backend_credential, settings_errors>
load_backend_credential(std::string const& file)
{
    return load<backend_credential>(file);
}

std::string_view to_string(settings_reason reason) noexcept
{
    return reason_names[static_cast<std::size_t>(reason)];
}

std::string to_string(settings_error const& error)
{
    auto text = error.file + ":";
    if (error.line)
        text += std::to_string(*error.line) + ":";
    if (!error.field.empty())
        text += " " + error.field + ":";
    text += " ";
    text += to_string(error.reason);
    return text + ", expected " + error.expected;
}

} // namespace basilreach::settings
