#include <basilreach/telemetry/latency_histogram.hpp>

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using basilreach::telemetry::latency_histogram;

TEST_CASE("quantiles are accurate within the relative error of a bin")
{
    latency_histogram it;
    for (int n = 1; n <= 1000; ++n)
        it.record(std::chrono::microseconds(n * 100));
    CHECK(it.count() == 1000);
    CHECK(it.quantile(0.5) >= 50ms);
    CHECK(it.quantile(0.5) <= 56ms);
    CHECK(it.quantile(0.99) >= 99ms);
    CHECK(it.quantile(0.99) <= 111ms);
}

TEST_CASE("histograms can be added")
{
    latency_histogram a;
    latency_histogram b;
    a.record(1ms);
    b.record(1s);
    a += b;
    CHECK(a.count() == 2);
    CHECK(a.quantile(1) >= 1s);
    CHECK(latency_histogram().quantile(0.5) == 0ns);
}
