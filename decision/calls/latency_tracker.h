#pragma once

#include <array>
#include <cstdint>

#include "core/time.h"

namespace almondnotch {

/// Histogram of recent latencies with logarithmic buckets (four per doubling, from 64 us to about
/// 70 s). Counts are halved every 2,048 samples, so that older samples lose weight.
class latency_tracker
{
public:
    void add(duration latency);

    /// Returns the upper bound of the bucket that contains the quantile for `fraction`, 0 to 1.
    /// \return zero while there are fewer than 50 samples.
    duration quantile(double fraction) const;

private:
    static constexpr std::size_t bucketCount = 80;
    static constexpr std::uint32_t samplesBeforeHalving = 2048;

    std::array<std::uint32_t, bucketCount> m_buckets {};
    std::uint32_t m_total = 0;
};

} // namespace almondnotch
