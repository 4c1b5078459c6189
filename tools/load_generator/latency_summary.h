#pragma once

#include <vector>

#include "core/time.h"

namespace almondnotch {

/// Latencies of one run, measured from the planned arrival of each call.
class latency_summary
{
public:
    void add(duration latency) { m_samples.push_back(latency); }

    /// Exact quantile (0 to 1) in milliseconds; 0 without samples.
    double quantileMs(double quantile) const;
    double meanMs() const;

private:
    std::vector<duration> m_samples;
};

} // namespace almondnotch
