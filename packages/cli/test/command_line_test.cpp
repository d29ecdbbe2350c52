#include <basilreach/cli/command_line.hpp>

#include <sstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <basilreach/rules/digest.hpp>

namespace basilreach::cli
{

namespace
{

std::string const example = BASILREACH_SOURCE_DIR "/examples/rules.txt";

// Runs a command line. Each command that it sends gets the next of the given
// answers.
struct fixture
{
    std::vector<submit_result> answers;
    std::optional<std::uint64_t> base = {};
    std::vector<admin::admin_command> sent = {};
    std::string out = {};
    std::string err = {};

    exit_status run(std::vector<std::string> const& words)
    {
        std::istringstream in_stream;
        std::ostringstream out_stream;
        std::ostringstream err_stream;
        auto const status =
            cli::run({in_stream, out_stream, err_stream, base,
                      [this](admin::admin_command const& it)
                      {
                          sent.push_back(it);
                          return std::optional{answers.at(sent.size() - 1)};
                      }},
                     words);
        out = out_stream.str();
        err = err_stream.str();
        return status;
    }
};

submit_result change(admin::change_answer const& it, bool may_have_run = false)
{
    return {answered{admin::encode(it)}, may_have_run};
}

submit_result rules_in_force(std::uint64_t version, std::string const& text)
{
    return {answered{admin::encode({admin::rules_row{version, "id", text}})},
            false};
}

using admin::change_outcome;

} // namespace

TEST_CASE("rules apply uses the version in force as the base version")
{
    fixture it{{rules_in_force(4, ""),
                change({change_outcome::accepted, 5, "id", "", {}})}};
    CHECK(it.run({"rules", "apply", example}) == exit_status::done);
    CHECK(it.out == "accepted: version 5\n");
    auto const& apply = std::get<admin::apply_rules>(it.sent.at(1));
    CHECK(apply.base_version == 4);
    CHECK(apply.change_id == rules::change_id_of(4, apply.text));
}

TEST_CASE(
    "with --base the rules in force are not fetched, and a conflict names "
    "the winning change")
{
    fixture it{{change({change_outcome::conflict, 9, "winner", "", {}})}, 8};
    CHECK(it.run({"rules", "apply", example}) == exit_status::refused);
    CHECK(it.err == "basilreach: conflict: change winner has version 9\n");
}

TEST_CASE("errors in the rules that the daemon finds are printed with the file "
          "name, line and column")
{
    fixture it{{change({change_outcome::refused,
                        0,
                        "id",
                        "",
                        {{1, 2, rules::rule_reason::bad_name, "x"}}})},
               8};
    CHECK(it.run({"rules", "apply", example}) == exit_status::refused);
    CHECK(it.err == "basilreach: refused\n" + example + ":1:2: bad name: x\n");
}

TEST_CASE("a refusal of rules is final even if an earlier attempt was not "
          "answered")
{
    fixture it{
        {change({change_outcome::refused, 0, "", "invalid rules", {}}, true)},
        8};
    CHECK(it.run({"rules", "apply", example}) == exit_status::refused);
}

TEST_CASE("after an unknown outcome, the command that sends the same change "
          "again is printed")
{
    fixture it{{rules_in_force(4, ""), {unanswered{"x"}, true}}};
    CHECK(it.run({"rules", "apply", example}) == exit_status::unknown);
    CHECK(it.err == "basilreach: outcome unknown: x\n"
                    "basilreach: to send it again: rules apply --base=4 " +
                        example + "\n");
}

// The verdict may be superseded by its own earlier attempt.
TEST_CASE("a superseded verdict has an unknown outcome if an earlier attempt "
          "was not answered")
{
    admin::change_answer const superseded{
        change_outcome::superseded, 7, "", "", {}};
    std::vector<std::string> const words{"verdict", "s", "down", "3"};
    fixture it{{change(superseded)}};
    CHECK(it.run(words) == exit_status::refused);
    CHECK(it.err ==
          "basilreach: superseded: the stored sequence number is 7\n");
    CHECK(fixture{{change(superseded, true)}}.run(words) ==
          exit_status::unknown);
}

TEST_CASE("an answer without a version is printed without one")
{
    fixture it{{change({change_outcome::accepted, 0, "", "", {}})}};
    CHECK(it.run({"stop"}) == exit_status::done);
    CHECK(it.out == "accepted\n");
}

TEST_CASE("each outcome without a valid answer has its exit status")
{
    auto const status_of = [](submit_result const& it, std::string const& word)
    {
        return fixture{{it}}.run({word});
    };
    CHECK(status_of({unreachable{}, false}, "stop") == exit_status::no_daemon);
    CHECK(status_of({unanswered{}, true}, "stop") == exit_status::unknown);
    CHECK(status_of({unanswered{}, true}, "status") == exit_status::no_daemon);
    CHECK(status_of({rejected{"57P03", ""}, false}, "stop") ==
          exit_status::refused);
    CHECK(status_of({rejected{"08007", ""}, true}, "stop") ==
          exit_status::unknown);
    CHECK(status_of({rejected{"08007", ""}, true}, "status") ==
          exit_status::no_daemon);
    CHECK(status_of({answered{}, false}, "stop") == exit_status::unknown);
}

TEST_CASE("arguments are quoted and cannot inject a command")
{
    fixture it{{change({change_outcome::accepted, 1, "", "", {}})}};
    CHECK(it.run({"server", "announce", "db-1", "g", "bne", "[::1]:5", "9"}) ==
          exit_status::done);
    CHECK(it.sent.front() == admin::admin_command{admin::announce_server{
                                 server_name{"db-1"}, group_name{"g"},
                                 data_centre_name{"bne"}, "[::1]:5", 9}});
    CHECK(fixture{}.run({"verdict", "s' UP SEQUENCE 1; --", "up", "1"}) ==
          exit_status::usage);
}

TEST_CASE("each row is printed on one line, with special characters escaped")
{
    fixture it{{{answered{admin::encode({admin::history_row{
                     1, "id", "ann:\ta\nb\\", "accepted"}})},
                 false}}};
    CHECK(it.run({"rules", "history"}) == exit_status::done);
    CHECK(it.out == "version\tchange_id\tauthor\tanswer\n"
                    "1\tid\tann:\\ta\\nb\\\\\taccepted\n");
    fixture metrics{
        {{answered{admin::encode({admin::metric_row{"n", "a=b", "1"},
                                  admin::metric_row{"m", "", "2"}})},
          false}}};
    CHECK(metrics.run({"metrics"}) == exit_status::done);
    CHECK(metrics.out == "n{a=b} 1\nm 2\n");
}

TEST_CASE("rules diff with one file compares the rules in force with the file")
{
    fixture it{
        {rules_in_force(1, "workspace z rate=1 burst=1 # asked by a: b")}};
    CHECK(it.run({"rules", "diff", "/dev/null"}) == exit_status::done);
    CHECK(it.out == "-workspace z rate=1 burst=1 # asked by a: b\n");
}

// Guards against a list that differs from what daemons compute: groups without
// holders, daemons without an address, a split of small workspaces.
TEST_CASE("show lists the holders of each workspace with the revision")
{
    std::vector<admin::status_row> const status{
        {"control", "state", "revision", "17"},
        {"group", "g", "term", "1"},
        {"group", "h", "term", "1"},
        {"daemon", "d1", "data_centre", "a"},
        {"daemon", "d1", "address", "127.0.0.1:1"},
        {"daemon", "d2", "data_centre", "b"},
        {"daemon", "d2", "address", "127.0.0.1:2"},
        {"daemon", "d3", "data_centre", "b"}};
    std::string const rules =
        "workspace big rate=9 burst=8 # asked by x: y\n"
        "workspace tiny rate=9 burst=7 # asked by x: y\n"
        "route r group=g workspaces=big # asked by x: y\n"
        "route s group=h workspaces=big # asked by x: y\n"
        "server_limit g connections=2 slots=1 # asked by x: y\n"
        "server_limit h connections=1 slots=1 # asked by x: y\n";
    submit_result const answer{answered{admin::encode(status)}, false};
    fixture all{{answer, rules_in_force(4, rules)}};
    CHECK(all.run({"show", "holders"}) == exit_status::done);
    CHECK(all.out == "workspace\tgroup\tdata_centre\tholder\n"
                     "big\tg\ta\td1\nbig\tg\tb\td2\n"
                     "big\th\ta\td1\nbig\th\tb\td2\n"
                     "tiny\t\ta\td1\ntiny\t\tb\td2\n");
    CHECK(all.err == "revision 17\n");
    fixture automatic{{answer, rules_in_force(4, rules)}};
    CHECK(automatic.run({"show"}) == exit_status::done);
    CHECK(automatic.out == "workspace\tgroup\tdata_centre\tholder\n"
                           "big\th\ta\td1\nbig\th\tb\td2\n"
                           "tiny\th\ta\td1\ntiny\th\tb\td2\n");
}

} // namespace basilreach::cli
