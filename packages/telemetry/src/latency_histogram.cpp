#include <basilreach/telemetry/latency_histogram.hpp>

#include <chrono>

namespace basilreach::telemetry
{

namespace
{

// 7 decades with 20 bins each, so that the relative error of a bin is below
// 12%.
constexpr unsigned bin_count = 140;
constexpr double lowest_edge_seconds = 1e-5;
constexpr double highest_edge_seconds = 1e2;
constexpr double edge_tolerance = 1e-6;

} // namespace

latency_histogram::latency_histogram()
    : bins_(std::tuple(
                axis(bin_count, lowest_edge_seconds, highest_edge_seconds)),
            boost::histogram::dense_storage<double>())
{
}

void latency_histogram::record(duration it)
{
    auto const seconds = std::chrono::duration<double>(it).count();
    bins_(seconds);
    sum_ += seconds;
}

latency_histogram& latency_histogram::operator+=(latency_histogram const& other)
{
    bins_ += other.bins_;
    sum_ += other.sum_;
    return *this;
}

std::uint64_t latency_histogram::count() const
{
    double sum = 0;
    for (auto const it : bins_)
        sum += it;
    return static_cast<std::uint64_t>(sum);
}

std::uint64_t latency_histogram::count_up_to(duration bound) const
{
    // The edges of bins are rounded, so a bin that should end at the bound may
    // end slightly above it.
    auto const max_seconds =
        std::chrono::duration<double>(bound).count() * (1 + edge_tolerance);
    double sum = 0;
    for (auto const& it :
         boost::histogram::indexed(bins_, boost::histogram::coverage::all))
        if (it.bin().upper() <= max_seconds)
            sum += *it;
    return static_cast<std::uint64_t>(sum);
}

duration latency_histogram::quantile(double fraction) const
{
    auto const target_count = fraction * static_cast<double>(count());
    double sum = 0;
    for (auto const& it :
         boost::histogram::indexed(bins_, boost::histogram::coverage::all))
    {
        sum += *it;
        if (sum >= target_count && sum > 0)
            return std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(
                    std::min(it.bin().upper(), highest_edge_seconds)));
    }
    return {};
}

} // namespace basilreach::telemetry
