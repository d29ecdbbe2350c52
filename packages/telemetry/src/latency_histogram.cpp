#include <basilreach/telemetry/latency_histogram.hpp>

#include <chrono>

namespace basilreach::telemetry
{

namespace
{

// 20 bins for each factor of 10 keep the relative error of a bin below 12%.
constexpr unsigned bins = 140;
constexpr double least_seconds = 1e-5;
constexpr double greatest_seconds = 1e2;
constexpr double rounding = 1e-6;

} // namespace

latency_histogram::latency_histogram()
    : bins_(std::tuple(axis(bins, least_seconds, greatest_seconds)),
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
    // Edges of bins are rounded.
    auto const most =
        std::chrono::duration<double>(bound).count() * (1 + rounding);
    double sum = 0;
    for (auto const& it :
         boost::histogram::indexed(bins_, boost::histogram::coverage::all))
        if (it.bin().upper() <= most)
            sum += *it;
    return static_cast<std::uint64_t>(sum);
}

duration latency_histogram::quantile(double share) const
{
    auto const wanted = share * static_cast<double>(count());
    double sum = 0;
    for (auto const& it :
         boost::histogram::indexed(bins_, boost::histogram::coverage::all))
    {
        sum += *it;
        if (sum >= wanted && sum > 0)
            return std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(
                    std::min(it.bin().upper(), greatest_seconds)));
    }
    return {};
}

} // namespace basilreach::telemetry
