#include "decision/calls/latency_tracker.h"

#include <algorithm>
#include <cmath>

namespace almondnotch {

namespace {

constexpr double firstBucketUs = 64;
constexpr double bucketsPerDoubling = 4;
constexpr std::uint32_t samplesMin = 50;

} // namespace

void latency_tracker::add(duration latency)
{
    const double us = std::max(static_cast<double>(latency.count()), firstBucketUs);
    const double position = std::log2(us / firstBucketUs) * bucketsPerDoubling;
    const std::size_t bucket = std::min(static_cast<std::size_t>(position), bucketCount - 1);
    ++m_buckets.at(bucket);
    if (++m_total < samplesBeforeHalving)
        return;
    m_total = 0;
    for (std::uint32_t &count : m_buckets) {
        count /= 2;
        m_total += count;
    }
}

duration latency_tracker::quantile(double fraction) const
{
    if (m_total < samplesMin)
        return duration {0};
    const double targetRank = fraction * m_total;
    double cumulativeCount = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        cumulativeCount += m_buckets.at(i);
        if (cumulativeCount >= targetRank)
            return duration(static_cast<std::int64_t>(
                firstBucketUs * std::exp2(static_cast<double>(i + 1) / bucketsPerDoubling)));
    }
    return seconds(70);
}

} // namespace almondnotch
