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

} // namespace

latency_histogram::latency_histogram()
    : bins_(std::tuple(axis(bins, least_seconds, greatest_seconds)),
            boost::histogram::dense_storage<double>())
{
}

void latency_histogram::record(duration it)
{
    bins_(std::chrono::duration<double>(it).count());
}

latency_histogram& latency_histogram::operator+=(latency_histogram const& other)
{
    bins_ += other.bins_;
    return *this;
}

std::uint64_t latency_histogram::count() const
{
    double sum = 0;
    for (auto const it : bins_)
        sum += it;
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
