#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "simulation.hpp"

namespace basilreach::control::test
{

// The first lines of each trace say which failure it guards against.
TEST_CASE("traces have the outcomes that they expect")
{
    std::vector<std::filesystem::path> files;
    for (auto const& it : std::filesystem::directory_iterator(
             BASILREACH_SOURCE_DIR "/traces/control"))
        files.push_back(it.path());
    std::sort(files.begin(), files.end());
    REQUIRE(files.size() >= 20);
    for (auto const& file : files)
    {
        std::ifstream stream(file);
        std::stringstream text;
        text << stream.rdbuf();
        simulation s;
        auto const errors = s.run_all(text.str());
        CAPTURE(file.filename().string());
        for (auto const& error : errors)
            FAIL_CHECK(error);
    }
}

// Guards against a checker or a simulation that accepts everything.
TEST_CASE("the checker reports each seeded violation")
{
    group_name const g{"g"};
    checker two_primaries;
    two_primaries.record_primary(g, 2, server_name{"s1"});
    two_primaries.record_primary(g, 2, server_name{"s1"});
    CHECK(two_primaries.violations.empty());
    two_primaries.record_primary(g, 2, server_name{"s2"});
    CHECK(two_primaries.violations.size() == 1);

    checker lost_write;
    lost_write.record_acknowledged(g, {1, 10});
    lost_write.record_chosen(g, 2, {1, 10});
    CHECK(lost_write.violations.empty());
    lost_write.record_chosen(g, 3, {1, 9});
    CHECK(lost_write.violations.size() == 1);

    checker late_acknowledgement;
    late_acknowledgement.record_chosen(g, 2, {1, 10});
    late_acknowledgement.record_acknowledged(g, {1, 11});
    CHECK(late_acknowledgement.violations.size() == 1);

    checker replicas;
    replicas.record_state(4, 1);
    replicas.record_state(4, 2);
    CHECK(replicas.violations.size() == 1);

    checker old_state;
    old_state.check_lease(daemon_name{"d1"}, 4, 4);
    CHECK(old_state.violations.empty());
    old_state.check_lease(daemon_name{"d1"}, 4, 5);
    CHECK(old_state.violations.size() == 1);

    simulation s;
    CHECK(s.run_all("0 leader\n0 server s1 1\n10 expect group serving s2 4\n")
              .size() == 1);
}

} // namespace basilreach::control::test
