#ifndef BASILREACH_TELEMETRY_LATENCY_HISTOGRAM_HPP
#define BASILREACH_TELEMETRY_LATENCY_HISTOGRAM_HPP

#include <cstdint>

#include <boost/histogram.hpp>

#include <basilreach/base/instant.hpp>

namespace basilreach::telemetry
{

// Times on a logarithmic scale from 10 us to 100 s. Two histograms compare and
// add, so that each thread keeps its own.
class latency_histogram
{
public:
    latency_histogram();

    void record(duration it);

    latency_histogram& operator+=(latency_histogram const& other);

    // Returns the number of recorded times.
    [[nodiscard]] std::uint64_t count() const;

    // Returns the number of times in bins that end at or below the bound.
    [[nodiscard]] std::uint64_t count_up_to(duration bound) const;

    // Returns the sum of all times in seconds.
    [[nodiscard]] double sum() const noexcept
    {
        return sum_;
    }

    // Returns the upper edge of the bin in which the given share of the times
    // is reached; zero without any time. The relative error is below 12%.
    [[nodiscard]] duration quantile(double share) const;

    friend bool operator==(latency_histogram const&,
                           latency_histogram const&) = default;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using histogram =
        boost::histogram::histogram<std::tuple<axis>,
                                    boost::histogram::dense_storage<double>>;

    histogram bins_;
    double sum_ = 0;
};

} // namespace basilreach::telemetry

#endif
