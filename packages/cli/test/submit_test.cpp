#include <basilreach/cli/submit.hpp>

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace basilreach::cli
{

namespace
{

// Plays outcomes in order and records what was sent to whom.
struct script
{
    std::vector<try_outcome> outcomes;
    std::vector<std::string> addresses;
    std::vector<std::string> texts;
    int pauses = 0;

    submission play(admin::admin_command const& command)
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

TEST_CASE("the next daemon is asked when one cannot be reached")
{
    script it{{unreachable{}, answer}, {}, {}};
    CHECK(it.play(verdict) == submission{answer, false});
    CHECK(it.addresses == names{"a", "b"});
}

TEST_CASE("the same text is sent again after a lost answer")
{
    script it{{lost{}, not_run, answer}, {}, {}};
    CHECK(it.play(admin::apply_rules{1, "id", "text"}) ==
          submission{answer, true});
    CHECK(it.addresses == names{"a", "b", "a"});
    CHECK(it.texts == names(3, it.texts.front()));
    CHECK(it.pauses == 1);
}

TEST_CASE("a lost answer is not hidden by later tries that did not run")
{
    script it{{lost{"x"}, not_run, unreachable{}, not_run}, {}, {}};
    CHECK(it.play(verdict) == submission{lost{"x"}, true});
    rejected const unknown{"08007", "outcome unknown"};
    script other{{not_run, unknown, unreachable{}, not_run}, {}, {}};
    CHECK(other.play(verdict) == submission{unknown, true});
}

TEST_CASE("an error that other daemons would repeat ends the tries")
{
    for (auto const* state : {"28P01", "42601", "55000"})
    {
        rejected const error{state, "refused"};
        script it{{unreachable{}, error}, {}, {}};
        CHECK(it.play(verdict) == submission{error, false});
    }
}

TEST_CASE("a stop that is not answered never stops a second daemon")
{
    script it{{lost{}}, {}, {}};
    CHECK(it.play(admin::stop{}) == submission{lost{}, true});
    CHECK(it.addresses == names{"a"});
}

} // namespace basilreach::cli
