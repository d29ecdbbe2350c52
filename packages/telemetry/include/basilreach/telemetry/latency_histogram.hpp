#ifndef BASILREACH_TELEMETRY_LATENCY_HISTOGRAM_HPP
#define BASILREACH_TELEMETRY_LATENCY_HISTOGRAM_HPP

#include <cstdint>

#include <boost/histogram.hpp>

#include <basilreach/base/instant.hpp>

namespace basilreach::telemetry
{

// Latencies in bins on a logarithmic scale from 10 us to 100 s. Histograms can
// be added, so that each thread records into its own without locks.
class latency_histogram
{
public:
    latency_histogram();

    void record(duration it);

    latency_histogram& operator+=(latency_histogram const& other);

    // Returns the number of recorded latencies.
    [[nodiscard]] std::uint64_t count() const;

    // Returns the number of latencies in bins that end at or below the bound.
    [[nodiscard]] std::uint64_t count_up_to(duration bound) const;

    // Returns the sum of all latencies in seconds.
    [[nodiscard]] double sum() const noexcept
    {
        return sum_;
    }

    // Returns the upper edge of the bin in which the given fraction of the
    // latencies is reached, or zero if none is recorded. The relative error is
    // below 12%.
    [[nodiscard]] duration quantile(double fraction) const;

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
