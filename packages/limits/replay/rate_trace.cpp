#include "rate_replay.hpp"

#include <charconv>
#include <cmath>
#include <optional>
#include <sstream>
#include <string_view>

namespace basilreach::limits::replay
{

namespace
{

// One line of a trace.
struct statement
{
    std::string word;
    std::map<std::string, double> fields;

    [[nodiscard]] double get(std::string const& field,
                             double default_value = 0) const
    {
        auto const it = fields.find(field);
        return it == fields.end() ? default_value : it->second;
    }

    [[nodiscard]] duration milliseconds(std::string const& field,
                                        double default_value = 0) const
    {
        return duration(std::llround(get(field, default_value) * 1e6));
    }

    [[nodiscard]] unsigned count(std::string const& field,
                                 unsigned default_value = 0) const
    {
        return static_cast<unsigned>(get(field, default_value));
    }
};

void read_hosts(rate_trace& to, statement const& it)
{
    to.hosts = it.count("count", to.hosts);
    to.threads = it.count("threads");
}

void read_network(rate_trace& to, statement const& it)
{
    to.latency = it.milliseconds("latency_ms", 0.5);
    to.jitter = it.milliseconds("jitter_ms");
    to.loss = it.get("loss");
    to.drift = it.get("drift");
}

void read_length(rate_trace& to, statement const& it)
{
    to.length = it.milliseconds("ms");
}

void read_limit(rate_trace& to, statement const& it)
{
    to.limits.push_back({instant(it.milliseconds("at_ms")),
                         static_cast<std::int64_t>(it.get("rate")),
                         static_cast<std::int64_t>(it.get("burst"))});
}

void read_arrivals(rate_trace& to, statement const& it)
{
    auto const first = it.count("first");
    to.arrivals.push_back({instant(it.milliseconds("from_ms")),
                           it.fields.contains("to_ms")
                               ? instant(it.milliseconds("to_ms"))
                               : instant(to.length),
                           first, it.count("last", first), it.get("rate"),
                           it.milliseconds("move_ms")});
}

template <fault_rule::kind Kind>
void read_fault(rate_trace& to, statement const& it)
{
    auto const first = it.count("first");
    to.faults.push_back({Kind, instant(it.milliseconds("from_ms")),
                         instant(it.milliseconds("to_ms")), first,
                         it.count("last", first)});
}

void read_expected(rate_trace& to, statement const& it)
{
    for (auto const& [name, value] : it.fields)
        to.expected[name] = value;
}

struct statement_kind
{
    std::string_view word;
    void (*read)(rate_trace&, statement const&);
};

constexpr statement_kind statement_kinds[] = {
    {"hosts", read_hosts},
    {"network", read_network},
    {"length", read_length},
    {"limit", read_limit},
    {"arrivals", read_arrivals},
    {"cut", read_fault<fault_rule::kind::cut>},
    {"restart", read_fault<fault_rule::kind::restart>},
    {"lose", read_fault<fault_rule::kind::lose>},
    {"leader", read_fault<fault_rule::kind::leader>},
    {"expect", read_expected},
};

std::optional<std::string> read_fields(std::istream& in, statement& it)
{
    std::string field;
    std::string text;
    while (in >> field)
    {
        double value = 0;
        if (!(in >> text))
            return field;
        auto const end = text.data() + text.size();
        if (std::from_chars(text.data(), end, value).ptr != end)
            return text;
        it.fields[field] = value;
    }
    return std::nullopt;
}

} // namespace

result<rate_trace, trace_error> read_rate_trace(std::istream& in)
{
    rate_trace trace;
    std::string line;
    for (unsigned n = 1; std::getline(in, line); ++n)
    {
        std::istringstream words(line.substr(0, line.find('#')));
        statement it;
        if (!(words >> it.word))
            continue;
        if (auto bad = read_fields(words, it))
            return failure(trace_error{n, *bad});
        bool is_known = false;
        for (auto const& kind : statement_kinds)
        {
            if (kind.word != it.word)
                continue;
            kind.read(trace, it);
            is_known = true;
        }
        if (!is_known)
            return failure(trace_error{n, it.word});
    }
    return trace;
}

} // namespace basilreach::limits::replay
