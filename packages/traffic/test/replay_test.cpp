#include <traffic_replay/trace.hpp>
#include <traffic_replay/workload.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace basilreach::traffic::replay
{

namespace
{

using kind = record_kind;
using what = statement_kind;

constexpr record issued(std::uint64_t id, what it)
{
    return {kind::issued, id, it};
}

constexpr record
executed(std::uint64_t id, what it, std::uint64_t transaction = 0)
{
    return {kind::executed, id, it, 0, transaction, 1, 1};
}

constexpr record
answered(std::uint64_t id, what it, std::uint64_t to, std::uint64_t write)
{
    return {kind::answered, id, it, 0, 0, 0, 1, to, write};
}

constexpr record refused_not_run(std::uint64_t id)
{
    return {kind::refused, id, what::write, 0, 0, 0, 0, 0, 0, false, true};
}

constexpr record promoted{kind::promoted, 0, what::read, 0, 0, 0, 2};

struct seeded_case
{
    violation_kind expected;
    std::vector<record> history;
    std::vector<log_entry> log;
};

// Each history contains exactly one violation.
std::vector<seeded_case> const seeded_violations = {
    {violation_kind::stale_read,
     {answered(1, what::write, 1, 1), issued(2, what::read),
      answered(2, what::read, 2, 0)},
     {{1, 0, 1}}},
    {violation_kind::acknowledged_lost, {answered(1, what::write, 1, 1)}, {}},
    {violation_kind::superseded_acknowledged,
     {promoted, answered(1, what::write, 1, 1)},
     {{1, 0, 1}}},
    {violation_kind::executed_twice,
     {executed(1, what::write), executed(1, what::write)},
     {}},
    {violation_kind::wrong_answer, {answered(2, what::read, 1, 0)}, {}},
    {violation_kind::refused_but_run,
     {executed(1, what::write), refused_not_run(1)},
     {}},
    {violation_kind::refused_but_run,
     {refused_not_run(1), executed(1, what::write)},
     {}},
    {violation_kind::mixed_transactions,
     {executed(1, what::begin, 1), executed(2, what::write)},
     {}},
    {violation_kind::mixed_transactions, {executed(1, what::commit, 1)}, {}},
};

} // namespace

// Guards against a checker that accepts every history.
TEST_CASE("the checker finds every kind of violation")
{
    for (auto const& it : seeded_violations)
    {
        auto const found = check_history(it.history, it.log);
        REQUIRE(found.size() == 1);
        CHECK(found.front().kind == it.expected);
    }
}

// Guards against a simulation in which no replica is ever behind.
TEST_CASE("reads at any replica miss acknowledged writes")
{
    simulated_deployment_settings settings;
    settings.engine.reads = read_policy::any_replica;
    settings.lag = std::chrono::milliseconds(200);
    auto const found = run_random(1, settings);
    CHECK(std::any_of(found.begin(), found.end(),
                      [](violation const& it)
                      { return it.kind == violation_kind::stale_read; }));
}

TEST_CASE("traces have their expected outcomes")
{
    namespace fs = std::filesystem;
    std::size_t n = 0;
    for (auto const& it :
         fs::directory_iterator(BASILREACH_SOURCE_DIR "/traces/traffic"))
    {
        ++n;
        CAPTURE(it.path().string());
        std::ifstream file(it.path());
        for (auto const& failure : run_trace(file))
            FAIL_CHECK(it.path().filename().string() << ": " << failure);
    }
    CHECK(n >= 11);
}

// BASILREACH_SEED runs one seed only.
TEST_CASE("random interleavings cause no violation")
{
    auto const* chosen = std::getenv("BASILREACH_SEED");
    std::uint64_t const first =
        chosen != nullptr ? std::strtoull(chosen, nullptr, 10) : 1;
    std::uint64_t const count = chosen != nullptr ? 1 : 40;
    for (auto seed = first; seed != first + count; ++seed)
        for (auto const& it : run_random(seed, {}))
            FAIL_CHECK("seed " << seed << ": " << print(it));
}

} // namespace basilreach::traffic::replay
