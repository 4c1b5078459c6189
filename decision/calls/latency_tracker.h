#pragma once

#include <array>
#include <cstdint>

#include "core/time.h"

namespace almondnotch {

/// Histogram of recent latencies with logarithmic buckets (four per doubling, from 64 us to about
/// 70 s). All counts are halved when their sum reaches 2,048, so that older samples lose weight.
class latency_tracker
{
public:
    void add(duration latency);

    /// Returns the upper bound of the bucket that contains a quantile, or zero while there are
    /// fewer than 50 samples.
    /// \param fraction the quantile, 0 to 1, such as 0.95 for the 95th percentile.
    duration quantile(double fraction) const;

private:
    static constexpr std::size_t bucketCount = 80;
    static constexpr std::uint32_t samplesBeforeHalving = 2048;

    std::array<std::uint32_t, bucketCount> m_buckets {};
    std::uint32_t m_total = 0;
};

} // namespace almondnotch
