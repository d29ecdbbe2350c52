#include <basilreach/cli/command_line.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <istream>
#include <iterator>
#include <ostream>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <basilreach/base/result.hpp>
#include <basilreach/rules/digest.hpp>
#include <basilreach/rules/parse.hpp>
#include <basilreach/rules/print.hpp>
#include <basilreach/settings/read_file.hpp>

#include "placement_report.hpp"

namespace basilreach::cli
{

namespace
{

using arguments = std::span<std::string const>;

// The table that a daemon answered with, and whether an attempt without a
// definite answer may have run the command before.
struct reply
{
    admin::result_table table;
    bool may_have_run = false;
};

struct subcommand
{
    // One or two words, for instance "rules check".
    std::string_view name;
    // Names of the arguments. Optional ones are in brackets.
    std::string_view parameters;
    std::string_view help;
    exit_status (*run)(environment const&, subcommand const&, arguments);
    // Only for run_admin_command(): the template of the admin command, in which
    // $1 stands for the first argument, and the function that prints the
    // answer.
    std::string_view command = {};
    exit_status (*print)(environment const&, reply const&) = nullptr;
};

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty())
    {
        auto const end = std::min(text.find(' '), text.size());
        parts.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

exit_status
fail(environment const& env, exit_status status, std::string_view message)
{
    env.err << "basilreach: " << message << '\n';
    return status;
}

// Files

std::optional<std::string> read_file(environment const& env,
                                     std::string const& file)
{
    auto text = settings::read_file(file);
    if (!text)
        fail(env, exit_status::usage, "cannot read " + file);
    return text;
}

void print_errors(environment const& env,
                  std::string const& file,
                  std::vector<rules::rule_error> const& errors)
{
    for (auto const& it : errors)
        env.err << file << ':' << rules::to_string(it) << '\n';
}

struct rules_file
{
    std::string text;
    rules::rule_set rules;
};

// Reads and checks a rules file. Prints its errors.
result<rules_file, exit_status> read_rules(environment const& env,
                                           std::string const& file)
{
    auto text = read_file(env, file);
    if (!text)
        return failure(exit_status::usage);
    auto parsed = rules::parse_rules(*text);
    if (parsed.has_value())
        return success(rules_file{*std::move(text), std::move(parsed).value()});
    print_errors(env, file, parsed.error());
    return failure(exit_status::refused);
}

// Answers

exit_status report(environment const& env, rejected const& it, bool /*is_show*/)
{
    fail(env, exit_status::refused, it.message + " (" + it.sqlstate + ")");
    return exit_status::refused;
}

exit_status
report(environment const& env, unreachable const& it, bool /*is_show*/)
{
    return fail(env, exit_status::no_daemon,
                "no daemon reached: " + it.message);
}

exit_status report(environment const& env, unanswered const& it, bool is_show)
{
    if (is_show)
        return fail(env, exit_status::no_daemon,
                    "no daemon answered: " + it.message);
    return fail(env, exit_status::unknown, "outcome unknown: " + it.message);
}

exit_status
report(environment const& /*env*/, answered const& /*it*/, bool /*is_show*/)
{
    return exit_status::done;
}

// Sends a command and returns its answer. Any other outcome is printed and
// returned as an exit status.
result<reply, exit_status> send_command(environment const& env,
                                        admin::admin_command const& command)
{
    auto sent = env.submit(command);
    if (!sent)
        return failure(exit_status::usage);
    if (auto* const answer = std::get_if<answered>(&sent->outcome))
        return success(reply{std::move(answer->table), sent->may_have_run});
    auto const is_show = std::holds_alternative<admin::show>(command);
    auto const status =
        std::visit([&](auto const& it) { return report(env, it, is_show); },
                   sent->outcome);
    if (sent->may_have_run && status == exit_status::refused)
        return failure(is_show ? exit_status::no_daemon
                               : fail(env, exit_status::unknown,
                                      "outcome unknown: an earlier attempt was "
                                      "not answered"));
    return failure(status);
}

exit_status report_unreadable_answer(environment const& env)
{
    return fail(env, exit_status::unknown, "the answer cannot be decoded");
}

exit_status print_change(environment const& env, reply const& it)
{
    using admin::change_outcome;
    auto const change = admin::decode_change(it.table);
    if (!change)
        return report_unreadable_answer(env);
    auto const version = std::to_string(change->version);
    if (change->outcome == change_outcome::accepted ||
        change->outcome == change_outcome::repeated)
    {
        env.out << admin::to_string(change->outcome);
        // STOP has no version.
        if (change->version != 0)
            env.out << ": version " << version;
        env.out << '\n';
        return exit_status::done;
    }
    std::string message{admin::to_string(change->outcome)};
    if (change->outcome == change_outcome::conflict)
        message += ": change " + change->change_id + " has version " + version;
    if (change->outcome == change_outcome::superseded)
        message += ": the stored sequence number is " + version;
    if (!change->reason.empty())
        message += ": " + change->reason;
    fail(env, exit_status::refused, message);
    // The refusal may be a consequence of an earlier attempt that took effect.
    if (it.may_have_run)
        return fail(env, exit_status::unknown,
                    "outcome unknown: an earlier attempt was not answered");
    return exit_status::refused;
}

// Writes a cell with backslashes, tabs and line feeds escaped, so that each row
// is one line and tabs only separate cells.
void print_escaped(std::ostream& out, std::string_view cell)
{
    for (char const c : cell)
    {
        constexpr std::string_view special = "\\\t\n";
        auto const n = special.find(c);
        if (n == std::string_view::npos)
            out << c;
        else
            out << '\\' << "\\tn"[n];
    }
}

template <class Row>
exit_status print_table(environment const& env, reply const& it)
{
    if (!admin::decode_rows<Row>(it.table))
        return report_unreadable_answer(env);
    auto const print_line = [&](std::vector<std::string> const& cells)
    {
        for (std::size_t n = 0; n != cells.size(); ++n)
        {
            env.out << (n == 0 ? "" : "\t");
            print_escaped(env.out, cells[n]);
        }
        env.out << '\n';
    };
    print_line(it.table.columns);
    for (auto const& cells : it.table.rows)
        print_line(cells);
    return exit_status::done;
}

exit_status print_metrics(environment const& env, reply const& it)
{
    auto const rows = admin::decode_rows<admin::metric_row>(it.table);
    if (!rows)
        return report_unreadable_answer(env);
    for (auto const& row : *rows)
    {
        env.out << row.name;
        if (!row.labels.empty())
            env.out << '{' << row.labels << '}';
        env.out << ' ' << row.value << '\n';
    }
    return exit_status::done;
}

exit_status print_rules_text(environment const& env, reply const& it)
{
    auto const rows = admin::decode_rows<admin::rules_row>(it.table);
    if (!rows || rows->size() != 1)
        return report_unreadable_answer(env);
    env.out << rows->front().text;
    env.err << "version " << rows->front().version << '\n';
    return exit_status::done;
}

// Subcommands

// Fetches the rules in force. Any other outcome is printed and returned as an
// exit status.
result<admin::rules_row, exit_status>
fetch_current_rules(environment const& env)
{
    auto answer = send_command(env, admin::show{admin::show_subject::rules});
    if (answer.has_error())
        return failure(answer.error());
    auto const rows =
        admin::decode_rows<admin::rules_row>(answer.value().table);
    if (!rows || rows->size() != 1)
        return failure(report_unreadable_answer(env));
    return success(rows->front());
}

exit_status
check_rules(environment const& env, subcommand const& /*self*/, arguments args)
{
    auto const file = read_rules(env, args[0]);
    if (file.has_error())
        return file.error();
    auto const& it = file.value().rules;
    env.out << args[0] << ": " << it.workspaces.size() << " workspaces, "
            << it.keys.size() << " keys, " << it.routes.size() << " routes, "
            << it.server_limits.size() << " server limits\n";
    return exit_status::done;
}

exit_status
diff_files(environment const& env, subcommand const& /*self*/, arguments args)
{
    // The last file has the new rules. The old ones come from the first of two
    // files, or from the running system.
    auto const after = read_rules(env, args.back());
    if (after.has_error())
        return after.error();
    rules::rule_set before;
    if (args.size() == 2)
    {
        auto const file = read_rules(env, args[0]);
        if (file.has_error())
            return file.error();
        before = file.value().rules;
    }
    else
    {
        auto const running = fetch_current_rules(env);
        if (running.has_error())
            return running.error();
        auto parsed = rules::parse_rules(running.value().text);
        if (parsed.has_error())
            return report_unreadable_answer(env);
        before = std::move(parsed).value();
    }
    for (auto const& it : rules::diff_rules(before, after.value().rules))
        env.out << rules::to_string(it);
    return exit_status::done;
}

// Fetches the members and groups. Any other outcome is printed and returned as
// an exit status.
result<placement_input, exit_status> fetch_placement(environment const& env)
{
    auto answer = send_command(env, admin::show{admin::show_subject::status});
    if (answer.has_error())
        return failure(answer.error());
    auto const rows =
        admin::decode_rows<admin::status_row>(answer.value().table);
    if (!rows)
        return failure(report_unreadable_answer(env));
    return success(read_placement(*rows));
}

// The placement is computed here and not at a control host, whose work for one
// command would grow with the product of workspaces and daemons.
exit_status show_placement(environment const& env,
                           subcommand const& /*self*/,
                           arguments args)
{
    auto const input = fetch_placement(env);
    if (input.has_error())
        return input.error();
    auto const running = fetch_current_rules(env);
    if (running.has_error())
        return running.error();
    auto const parsed = rules::parse_rules(running.value().text);
    if (parsed.has_error())
        return report_unreadable_answer(env);
    auto const mode = args.empty() || args[0] != "holders"
                          ? dispatch::dispatch_mode::automatic
                          : dispatch::dispatch_mode::holders;
    env.out << "workspace\tgroup\tdata_centre\tholder\n";
    for (auto const& it : list_holders(input.value(), parsed.value(), mode))
        env.out << it.workspace << '\t' << it.group << '\t' << it.data_centre
                << '\t' << it.holder << '\n';
    env.err << "revision " << input.value().revision << '\n';
    return exit_status::done;
}

exit_status
apply_file(environment const& env, subcommand const& /*self*/, arguments args)
{
    auto file = read_rules(env, args[0]);
    if (file.has_error())
        return file.error();
    auto base = env.base;
    if (!base)
    {
        auto const running = fetch_current_rules(env);
        if (running.has_error())
            return running.error();
        base = running.value().version;
    }
    auto& text = file.value().text;
    auto id = rules::change_id_of(*base, text);
    auto answer =
        send_command(env, admin::apply_rules{*base, id, std::move(text)});
    // The leader recognises a change that is sent again by its content id. If
    // an earlier attempt had been accepted, the outcome would be "repeated", so
    // a refusal is final. Other commands carry no such id.
    if (answer.has_value())
        answer.value().may_have_run = false;
    auto status =
        answer.has_error() ? answer.error() : print_change(env, answer.value());
    if (answer.has_value())
        if (auto const change = admin::decode_change(answer.value().table))
            print_errors(env, args[0], change->errors);
    // With the same base version, the command sends the same change again and
    // not a second change.
    if (status == exit_status::unknown)
        env.err << "basilreach: to send it again: rules apply --base=" << *base
                << ' ' << args[0] << '\n';
    return status;
}

exit_status digest_key(environment const& env,
                       subcommand const& /*self*/,
                       arguments /*args*/)
{
    std::string key{std::istreambuf_iterator<char>{env.in}, {}};
    if (key.ends_with('\n'))
        key.pop_back();
    if (key.ends_with('\r'))
        key.pop_back();
    if (key.empty() || key.find('\n') != std::string::npos)
        return fail(env, exit_status::usage,
                    "standard input must hold one line with the key");
    env.out << rules::print_digest(rules::digest_of_key(key)) << '\n';
    return exit_status::done;
}

// Inserts the arguments into the subcommand's template and sends the resulting
// admin command.
exit_status run_admin_command(environment const& env,
                              subcommand const& self,
                              arguments args)
{
    std::string text;
    // The column at which each argument starts in the text.
    std::vector<std::size_t> columns;
    for (auto const part : split(self.command))
    {
        text += text.empty() ? "" : " ";
        if (part.starts_with('$'))
        {
            columns.push_back(text.size() + 1);
            text += admin::quote(args[columns.size() - 1]);
        }
        else
            text += part;
    }
    auto const command = admin::parse_command(text);
    if (command.has_error())
    {
        auto const& error = command.error();
        auto const at = std::find(columns.begin(), columns.end(), error.column);
        auto const n = static_cast<std::size_t>(at - columns.begin());
        // The message does not contain the argument, which may be a key given
        // by mistake instead of its digest.
        return fail(env, exit_status::usage,
                    n == columns.size()
                        ? admin::to_string(error)
                        : std::string{split(self.parameters)[n]} +
                              ": expected " + error.expected);
    }
    auto const answer = send_command(env, command.value());
    return answer.has_error() ? answer.error()
                              : self.print(env, answer.value());
}

constexpr auto subcommands = std::to_array<subcommand>({
    {"rules check", "FILE", "check a rules file without a daemon", check_rules},
    {"rules diff", "FILE [FILE2]",
     "compare two rules files, or the rules in force with a file", diff_files},
    {"rules apply", "FILE", "put a rules file into force", apply_file},
    {"rules show", "", "print the rules in force", run_admin_command,
     "SHOW RULES", print_rules_text},
    {"rules history", "",
     "print the latest changes of the rules and their outcomes",
     run_admin_command, "SHOW HISTORY", print_table<admin::history_row>},
    {"key digest", "", "read a key from standard input and print its digest",
     digest_key},
    {"key withdraw", "DIGEST", "withdraw the key with this digest at once",
     run_admin_command, "WITHDRAW KEY $1", print_change},
    {"status", "", "print the database groups, servers and daemons",
     run_admin_command, "SHOW STATUS", print_table<admin::status_row>},
    {"show", "[MODE]",
     "list which daemon holds which workspace, if dispatch.mode is MODE: auto "
     "(default) or holders",
     show_placement},
    {"metrics", "", "print the metrics of one daemon", run_admin_command,
     "SHOW METRICS", print_metrics},
    {"verdict", "SERVER up|down SEQUENCE",
     "report that a backend server is up or down; SEQUENCE must be higher than "
     "in the last report on the server",
     run_admin_command, "VERDICT $1 $2 SEQUENCE $3", print_change},
    {"server announce", "SERVER GROUP DATA_CENTRE ADDRESS SEQUENCE",
     "add a backend server to a group, or update it; SEQUENCE must be higher "
     "than in its last announcement",
     run_admin_command,
     "ANNOUNCE SERVER $1 GROUP $2 DATA CENTRE $3 ADDRESS $4 SEQUENCE $5",
     print_change},
    {"server leaving", "SERVER SEQUENCE",
     "announce that a backend server is leaving its group", run_admin_command,
     "ANNOUNCE LEAVING $1 SEQUENCE $2", print_change},
    {"data-centre stop", "NAME",
     "take the backend servers of a data centre out of service",
     run_admin_command, "DATA CENTRE STOP $1", print_change},
    {"data-centre start", "NAME",
     "take the backend servers of a data centre back into service",
     run_admin_command, "DATA CENTRE START $1", print_change},
    {"control add", "NAME ADDRESS DATA_CENTRE",
     "add a control host to the consensus group", run_admin_command,
     "ADD CONTROL HOST $1 ADDRESS $2 DATA CENTRE $3", print_change},
    {"control remove", "NAME", "remove a control host from the consensus group",
     run_admin_command, "REMOVE CONTROL HOST $1", print_change},
    {"stop", "", "drain and stop the first daemon in --daemon",
     run_admin_command, "STOP", print_change},
});

// Returns whether the command line starts with the name of the subcommand.
bool matches(subcommand const& it, arguments command_line)
{
    auto const expected = split(it.name);
    return command_line.size() >= expected.size() &&
           std::equal(expected.begin(), expected.end(), command_line.begin());
}

} // namespace

exit_status run(environment const& env,
                std::span<std::string const> command_line)
{
    auto const* const it = std::find_if(
        subcommands.begin(), subcommands.end(),
        [&](subcommand const& entry) { return matches(entry, command_line); });
    if (it == subcommands.end())
        return fail(env, exit_status::usage,
                    "unknown command; see basilreach --help");
    auto const args = command_line.subspan(split(it->name).size());
    auto const parameters = split(it->parameters);
    auto const required = std::count_if(parameters.begin(), parameters.end(),
                                        [](std::string_view name)
                                        { return !name.starts_with('['); });
    if (args.size() < static_cast<std::size_t>(required) ||
        args.size() > parameters.size())
        return fail(env, exit_status::usage,
                    "usage: basilreach " + std::string{it->name} +
                        (parameters.empty() ? "" : " ") +
                        std::string{it->parameters});
    return it->run(env, *it, args);
}

std::string help_text()
{
    std::string text = "usage: basilreach [FLAGS] COMMAND\n\ncommands:\n";
    for (auto const& it : subcommands)
    {
        text += "  " + std::string{it.name};
        text += (it.parameters.empty() ? "" : " ") + std::string{it.parameters};
        text += "\n      " + std::string{it.help} + "\n";
    }
    return text + R"(
exit status:
  0  done
  1  refused, or another change was accepted first
  2  wrong flags or arguments, or an unreadable file
  3  no daemon answered, and nothing was changed
  4  outcome unknown: the change may have been made
)";
}

} // namespace basilreach::cli
