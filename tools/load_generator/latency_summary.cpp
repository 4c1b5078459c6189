#include "tools/load_generator/latency_summary.h"

#include <algorithm>
#include <numeric>

namespace almondnotch {

double latency_summary::quantileMs(double quantile) const
{
    if (m_samples.empty())
        return 0;
    std::vector<duration> sorted = m_samples;
    const std::size_t rank = std::min(
        static_cast<std::size_t>(quantile * static_cast<double>(sorted.size())), sorted.size() - 1);
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(sorted.begin(), position, sorted.end());
    return static_cast<double>(position->count()) / 1000.0;
}

double latency_summary::meanMs() const
{
    if (m_samples.empty())
        return 0;
    const duration sum = std::accumulate(m_samples.begin(), m_samples.end(), duration {0});
    return static_cast<double>(sum.count()) / 1000.0 / static_cast<double>(m_samples.size());
}

} // namespace almondnotch
