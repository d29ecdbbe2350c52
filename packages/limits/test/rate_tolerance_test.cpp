#include <basilreach/limits/rate_tolerance.hpp>

#include <initializer_list>

#include <doctest/doctest.h>

using namespace basilreach::limits;

TEST_CASE("a bucket with the tolerated burst stays within the tolerance")
{
    rate_tolerance const tolerance{5, 0.1, 20};
    for (auto const rate : std::initializer_list<std::uint64_t>{0, 1, 20, 110})
        for (auto const burst :
             std::initializer_list<std::uint64_t>{1, 20, 110, 5000})
        {
            auto const granted_burst = tolerated_burst(rate, burst, tolerance);
            auto const window = static_cast<double>(rate) * tolerance.window;
            auto const limit = (window + static_cast<double>(burst)) *
                                   (1 + tolerance.overage) +
                               tolerance.slack;
            CHECK(static_cast<double>(granted_burst) + window <= limit);
            CHECK(granted_burst >= static_cast<std::int64_t>(burst));
        }
    CHECK(tolerated_burst(20, 20, tolerance) == 45);
}

TEST_CASE("without a tolerance the burst does not change")
{
    CHECK(tolerated_burst(20, 30, {}) == 30);
}
