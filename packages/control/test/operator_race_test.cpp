#include <cstdlib>
#include <random>

#include <doctest/doctest.h>

#include "simulation.hpp"

namespace basilreach::control::test
{

namespace
{

// The seed is fixed so that runs are reproducible; BASILREACH_SEED overrides
// it.
std::uint64_t seed()
{
    char const* const text = std::getenv("BASILREACH_SEED");
    return text == nullptr ? 20'261'204 : std::strtoull(text, nullptr, 10);
}

struct sim_operator
{
    std::uint64_t seen_version = 0;
    int changes = 0;
    // The change in progress. It is sent again until an answer arrives.
    std::optional<command> current;
};

} // namespace

// Guards against two changes accepted with one base version, a change that is
// applied twice, and operators or restored replicas that see different
// histories.
TEST_CASE("concurrent operators see the same history")
{
    MESSAGE("seed " << seed());
    std::mt19937_64 random(seed());
    auto const chance = [&random](std::uint64_t percent)
    {
        return random() % 100 < percent;
    };
    control_state state(parse_rules);
    control_state replica(parse_rules);
    std::vector<sim_operator> operators(5);
    // The change that created each version, according to the answers.
    std::map<std::uint64_t, change_id> change_by_version;
    auto const record_change =
        [&change_by_version](std::uint64_t version, change_id const& id)
    {
        CHECK(change_by_version.try_emplace(version, id).first->second == id);
    };
    std::uint64_t index = 0;
    for (int step = 0; step != 4'000; ++step)
    {
        auto const operator_index = random() % operators.size();
        auto& it = operators[operator_index];
        if (!it.current)
        {
            auto const id = std::to_string(operator_index) + '-' +
                            std::to_string(++it.changes);
            it.current =
                command{change_id{id}, "operator",
                        apply_rules{it.seen_version,
                                    "key " + std::to_string(random() % 200)}};
        }
        // Log entries that are no commands leave gaps in the indices.
        index += 1 + random() % 3;
        auto answer = state.apply(index, *it.current);
        CHECK(replica.apply(index, *it.current) == answer);
        if (chance(2))
        {
            auto restored = control_state::restore(state.parts(), parse_rules);
            REQUIRE(restored);
            state = std::move(restored).value();
        }
        if (chance(30))
            continue; // The answer is lost, so the operator sends it again.
        if (auto const* const again = std::get_if<repeated>(&answer))
            std::visit([&answer](auto const& first) { answer = first; },
                       first_answer(again->first));
        if (auto const* const won = std::get_if<accepted>(&answer))
            record_change(won->version, it.current->id);
        if (auto const* const lost = std::get_if<conflict>(&answer))
            record_change(lost->version, lost->winner);
        it.seen_version = state.parts().rules_version;
        it.current.reset();
    }
    CHECK(state == replica);
    CHECK(state.digest() == replica.digest());
    std::uint64_t versions = 0;
    for (auto const& entry : state.parts().history)
        if (entry.made_version)
        {
            ++versions;
            CHECK(std::get<accepted>(entry.answer).version == versions);
            record_change(versions, entry.id);
        }
    CHECK(versions == state.parts().rules_version);
    CHECK(versions > 500);
}

} // namespace basilreach::control::test
