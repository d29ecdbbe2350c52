#include <basilreach/cli/submit.hpp>

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace basilreach::cli
{

namespace
{

// A transport that returns the given outcomes in order and records the address
// and the text of each attempt.
struct scripted_transport
{
    std::vector<attempt_outcome> outcomes;
    std::vector<std::string> addresses;
    std::vector<std::string> texts;
    int pauses = 0;

    submit_result run(admin::admin_command const& command)
    {
        return submit(
            {{"a", "b"},
             2,
             [this]
             {
                 ++pauses;
             }},
            command,
            [this](std::string const& address, std::string const& text)
            {
                addresses.push_back(address);
                texts.push_back(text);
                return outcomes.at(addresses.size() - 1);
            });
    }
};

using names = std::vector<std::string>;

admin::admin_command const verdict =
    admin::report_verdict{server_name{"s"}, admin::server_verdict::up, 1};
answered const answer{{{"c"}, {{"v"}}}};
rejected const not_run{"57P03", "not run: no leader"};

} // namespace

TEST_CASE("the command is sent to the next daemon when one is unreachable")
{
    scripted_transport it{{unreachable{}, answer}, {}, {}};
    CHECK(it.run(verdict) == submit_result{answer, false});
    CHECK(it.addresses == names{"a", "b"});
}

TEST_CASE("the same text is sent again after an attempt without an answer")
{
    scripted_transport it{{unanswered{}, not_run, answer}, {}, {}};
    CHECK(it.run(admin::apply_rules{1, "id", "text"}) ==
          submit_result{answer, true});
    CHECK(it.addresses == names{"a", "b", "a"});
    CHECK(it.texts == names(3, it.texts.front()));
    CHECK(it.pauses == 1);
}

TEST_CASE("an outcome that leaves open whether the command ran outranks later "
          "attempts that did not run")
{
    scripted_transport it{
        {unanswered{"x"}, not_run, unreachable{}, not_run}, {}, {}};
    CHECK(it.run(verdict) == submit_result{unanswered{"x"}, true});
    rejected const unknown{"08007", "outcome unknown"};
    scripted_transport other{
        {not_run, unknown, unreachable{}, not_run}, {}, {}};
    CHECK(other.run(verdict) == submit_result{unknown, true});
}

TEST_CASE("an error that other daemons would repeat ends the attempts")
{
    for (auto const* state : {"28P01", "42601", "55000"})
    {
        rejected const error{state, "refused"};
        scripted_transport it{{unreachable{}, error}, {}, {}};
        CHECK(it.run(verdict) == submit_result{error, false});
    }
}

TEST_CASE("a STOP that is not answered is not sent to a second daemon")
{
    scripted_transport it{{unanswered{}}, {}, {}};
    CHECK(it.run(admin::stop{}) == submit_result{unanswered{}, true});
    CHECK(it.addresses == names{"a"});
}

} // namespace basilreach::cli
