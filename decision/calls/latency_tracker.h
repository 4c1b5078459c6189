#pragma once

#include <array>
#include <cstdint>

#include "core/time.h"

namespace almondnotch {

/// Recent latencies in logarithmic buckets (four a doubling, from 64 us to about 70 s). Counts are
/// halved every 2,048 samples, so that old load patterns fade.
class latency_tracker
{
public:
    void add(duration latency);

    /// Upper edge of the bucket that holds the quantile.
    /// \return zero while there are fewer than 50 samples.
    duration quantile(double fraction) const;

private:
    static constexpr std::size_t bucketCount = 80;
    static constexpr std::uint32_t samplesBeforeHalving = 2048;

    std::array<std::uint32_t, bucketCount> m_buckets {};
    std::uint32_t m_total = 0;
};

} // namespace almondnotch
