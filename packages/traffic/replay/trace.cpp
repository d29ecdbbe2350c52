#include <traffic_replay/trace.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <sstream>
#include <string_view>

#include <traffic_replay/simulated_deployment.hpp>

namespace basilreach::traffic::replay
{

namespace
{

constexpr std::array<std::string_view, 4> kinds = {"read", "write", "begin",
                                                   "commit"};
constexpr std::array<std::string_view, 4> ends = {"answered", "error",
                                                  "not_run", "unknown"};
constexpr std::array<std::string_view, 4> policies = {
    "session_position", "primary_after_write", "any_replica", "primary_only"};

// Returns the index of a word, or the array's size.
std::size_t find_word(auto const& words, std::string const& word)
{
    return static_cast<std::size_t>(
        std::find(words.begin(), words.end(), word) - words.begin());
}

// State of a trace that is being run. Commands read their fields from the rest
// of the line.
struct trace_run
{
    simulated_deployment_settings settings;
    std::optional<simulated_deployment> deployment;
    std::map<unsigned, statement_outcome> ended;
    std::vector<std::string> failures;
    std::vector<std::string> expected_violations;
    std::istringstream line;
    std::size_t line_number = 0;

    void report_failure(std::string const& text)
    {
        failures.push_back("line " + std::to_string(line_number) + ": " + text);
    }

    template <class T = unsigned>
    T field()
    {
        T it{};
        if (!(line >> it))
            report_failure("field missing");
        return it;
    }

    duration milliseconds()
    {
        return duration(static_cast<duration::rep>(field<double>() * 1e6));
    }

    std::size_t word(auto const& words)
    {
        auto const it = find_word(words, field<std::string>());
        if (it == words.size())
            report_failure("unknown word");
        return it % words.size();
    }

    bool flag(std::string_view yes)
    {
        return field<std::string>() == yes;
    }

    // Settings, before the first timed command.
    void hosts()
    {
        settings.hosts = field();
    }

    void lag()
    {
        settings.lag = milliseconds();
    }

    void reads()
    {
        settings.engine.reads = static_cast<read_policy>(word(policies));
    }

    void violates()
    {
        expected_violations.push_back(field<std::string>());
    }

    // Timed commands.
    void client()
    {
        deployment->add_client(field());
    }

    void issue()
    {
        auto const id = field();
        ended.erase(id);
        deployment->issue(id, static_cast<statement_kind>(word(kinds)));
    }

    void move()
    {
        auto const id = field();
        deployment->move_client(id, field(), false);
    }

    void lose_server()
    {
        deployment->lose_server(field());
    }

    void restart_server()
    {
        deployment->restart_server(field());
    }

    void lose_host()
    {
        deployment->lose_host(field());
    }

    void isolate()
    {
        auto const server = field();
        deployment->isolate(server, field());
    }

    void heal()
    {
        deployment->heal();
    }

    void set_lag()
    {
        auto const server = field();
        deployment->set_lag(server, milliseconds());
    }

    void silence()
    {
        auto const server = field();
        deployment->silence(server, flag("run"));
    }

    void lose_connections()
    {
        deployment->lose_connections(field());
    }

    void delay()
    {
        auto const server = field();
        deployment->delay_answers(server, milliseconds());
    }

    void verdict()
    {
        auto const server = field();
        deployment->verdict(server, flag("down"));
    }

    // Expected outcomes.
    void expect_end()
    {
        auto const id = field();
        auto const wanted = field<std::string>();
        auto const it = ended.find(id);
        std::string const seen =
            it == ended.end()
                ? "busy"
                : std::string(ends[static_cast<std::size_t>(it->second)]);
        if (seen != wanted)
            report_failure("client " + std::to_string(id) + " " + seen);
    }

    void expect_primary()
    {
        auto const seen = deployment->primary();
        if (!seen || *seen != field() || deployment->term() != field())
            report_failure("primary " +
                           std::to_string(seen.value_or(no_client)) + " term " +
                           std::to_string(deployment->term()));
    }

    void expect_count(std::uint64_t engine_counts::*count)
    {
        auto const seen = deployment->counts().*count;
        if (seen != field<std::uint64_t>())
            report_failure("count " + std::to_string(seen));
    }

    void expect_replica_reads()
    {
        expect_count(&engine_counts::reads_at_replicas);
    }

    void expect_primary_reads()
    {
        expect_count(&engine_counts::reads_at_primaries);
    }

    void expect_silent()
    {
        expect_count(&engine_counts::silent_connections);
    }

    void start()
    {
        deployment.emplace(settings, 1);
        deployment->on_finished = [this](unsigned id, statement_outcome end)
        {
            ended[id] = end;
        };
    }

    void finish()
    {
        if (!deployment)
            return report_failure("no timed command");
        std::vector<std::string> seen;
        for (auto const& it : deployment->finish())
        {
            auto const text = print(it);
            seen.push_back(text.substr(0, text.find(' ')));
        }
        if (seen != expected_violations)
            for (auto const& it : seen)
                report_failure("violation " + it);
        if (seen.size() < expected_violations.size())
            report_failure("expected violation missing");
    }
};

struct command
{
    std::string_view name;
    void (trace_run::*run)();
};

constexpr std::array settings_commands = {
    command{"hosts", &trace_run::hosts}, command{"lag_ms", &trace_run::lag},
    command{"reads", &trace_run::reads},
    command{"violates", &trace_run::violates}};

constexpr std::array timed_commands = {
    command{"client", &trace_run::client},
    command{"issue", &trace_run::issue},
    command{"move", &trace_run::move},
    command{"lose_server", &trace_run::lose_server},
    command{"restart_server", &trace_run::restart_server},
    command{"lose_host", &trace_run::lose_host},
    command{"isolate", &trace_run::isolate},
    command{"heal", &trace_run::heal},
    command{"lag_ms", &trace_run::set_lag},
    command{"silence", &trace_run::silence},
    command{"lose_connections", &trace_run::lose_connections},
    command{"delay_ms", &trace_run::delay},
    command{"verdict", &trace_run::verdict},
    command{"expect", &trace_run::expect_end},
    command{"expect_primary", &trace_run::expect_primary},
    command{"expect_replica_reads", &trace_run::expect_replica_reads},
    command{"expect_primary_reads", &trace_run::expect_primary_reads},
    command{"expect_silent", &trace_run::expect_silent},
};

void run_command(trace_run& run, auto const& commands, std::string const& name)
{
    for (auto const& it : commands)
        if (it.name == name)
            return (run.*it.run)();
    run.report_failure("unknown command " + name);
}

void run_line(trace_run& run, std::string const& text)
{
    run.line = std::istringstream(text.substr(0, text.find('#')));
    std::string first;
    if (!(run.line >> first))
        return;
    if (first[0] < '0' || first[0] > '9')
        return run_command(run, settings_commands, first);
    if (!run.deployment)
        run.start();
    run.deployment->run(
        instant(duration(static_cast<duration::rep>(std::stod(first) * 1e6))));
    run_command(run, timed_commands, run.field<std::string>());
}

} // namespace

std::vector<std::string> run_trace(std::istream& in)
{
    trace_run run;
    for (std::string text; std::getline(in, text);)
    {
        ++run.line_number;
        run_line(run, text);
    }
    run.finish();
    return run.failures;
}

} // namespace basilreach::traffic::replay
