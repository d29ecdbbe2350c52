#include <basilreach/cli/admin_command.hpp>

#include <string>

#include <doctest/doctest.h>

#include <basilreach/rules/digest.hpp>

namespace basilreach::admin
{

namespace
{

std::string error_of(std::string const& text)
{
    auto const parsed = parse_command(text);
    return parsed.has_error() ? to_string(parsed.error()) : "";
}

} // namespace

TEST_CASE("parsing a printed command gives the same command")
{
    std::string const text = "workspace a # it's $$ \\ ;\n\"";
    for (admin_command const& it : std::initializer_list<admin_command>{
             apply_rules{7, rules::change_id_of(7, text), text},
             apply_rules{0, rules::change_id_of(0, ""), ""},
             show{show_subject::rules}, show{show_subject::history},
             show{show_subject::status}, show{show_subject::metrics},
             withdraw_key{rules::digest_of_key("key")},
             announce_server{server_name{"db-1"}, group_name{"g"},
                             data_centre_name{"bne"}, "[::1]:5432", 1},
             announce_leaving{server_name{"GROUP"}, 18446744073709551615U},
             report_verdict{server_name{"s"}, server_verdict::down, 3},
             add_control_host{daemon_name{"c"}, "127.0.0.1:1",
                              data_centre_name{"tsv"}},
             remove_control_host{daemon_name{"c"}}, stop{},
             set_data_centre_service{service_state::out_of_service,
                                     data_centre_name{"tsv"}},
             set_data_centre_service{service_state::in_service,
                                     data_centre_name{"tsv"}}})
    {
        auto const parsed = parse_command(print_command(it));
        REQUIRE(parsed.has_value());
        CHECK(parsed.value() == it);
    }
}

TEST_CASE("keyword case, blanks and the kind of quotes do not matter")
{
    auto const down = report_verdict{server_name{"s"}, server_verdict::down, 3};
    CHECK(parse_command(" verdict s\tDown sequence 3 ; ").value() ==
          admin_command{down});
    auto const apply = apply_rules{1, rules::change_id_of(1, "a'$b"), "a'$b"};
    for (auto const* it :
         {"APPLY RULES base=1 'a''$b'", "apply rules base = 1 $$a'$b$$",
          "apply rules base=1 $x$a'$b$x$;"})
        CHECK(parse_command(it).value() == admin_command{apply});
}

TEST_CASE("a syntax error names its column and what is expected there")
{
    CHECK(error_of("") ==
          "column 1: expected APPLY or SHOW or WITHDRAW or "
          "ANNOUNCE or VERDICT or ADD or REMOVE or STOP or DATA");
    CHECK(error_of("show rule") ==
          "column 6: expected RULES or HISTORY or STATUS or METRICS");
    CHECK(error_of("stop; stop") ==
          "column 5: expected the end of the command");
    CHECK(error_of("'stop'").starts_with("column 1:"));
    CHECK(error_of("apply rules base=1 text") ==
          "column 20: expected ID or a quoted rules text");
    CHECK(error_of("apply rules base=1 'text") ==
          "column 20: expected a closing quote for this text");
    CHECK(error_of("apply rules base=1 $a$text$b$").starts_with("column 20:"));
    CHECK(error_of("verdict s up sequence -1") ==
          "column 23: expected a whole number below 2^64");
    CHECK(error_of("verdict s up sequence 18446744073709551616") ==
          "column 23: expected a whole number below 2^64");
    CHECK(error_of("withdraw key 'abc'") ==
          "column 14: expected 64 hexadecimal digits");
    CHECK(error_of("add control host c address 'db:1' data centre d") ==
          "column 28: expected a numeric IP address and a port");
    CHECK(error_of("remove control host 'a b'").starts_with("column 21:"));
    CHECK(error_of("remove control host").starts_with("column 20:"));
}

TEST_CASE("a rules text altered in transit is refused by its content id")
{
    auto const id = rules::change_id_of(1, "text");
    CHECK(error_of("apply rules base=1 id='" + id + "' 'text'").empty());
    auto const parsed =
        parse_command("apply rules base=1 id='" + id + "' 'text '");
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().reason == admin_reason::wrong_change_id);
}

} // namespace basilreach::admin
