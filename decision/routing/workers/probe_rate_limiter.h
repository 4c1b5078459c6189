#pragma once

#include <algorithm>

#include "core/time.h"

namespace almondnotch {

/// Limits this gateway to its share of the probe rate that workers accept from all gateways
/// together.
///
/// Token bucket: in any interval, the number of tokens spent is at most the capacity of the bucket
/// plus the tokens added in the interval. All gateways together stay within the limit if the sum of
/// their rates does.
class probe_rate_limiter
{
public:
    /// Adds the tokens for the time since the previous refill. The first refill fills the bucket.
    /// \param perSecond rate at which tokens are added, tokens per second.
    void refill(instant now, double perSecond)
    {
        const double capacity = std::max(capacityMin, perSecond * toSeconds(burstTime));
        if (!m_isInitialized)
            m_tokens = capacity;
        m_tokens = std::min(capacity, m_tokens + perSecond * toSeconds(now - m_refilledAt));
        m_refilledAt = now;
        m_isInitialized = true;
    }

    /// Takes one token. \return false if less than one is left.
    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    /// The capacity of the bucket is the number of tokens that are added in this time, but at least
    /// `capacityMin`.
    static constexpr duration burstTime = seconds(4);
    /// Minimum capacity of the bucket, in tokens.
    static constexpr double capacityMin = 20;

    double m_tokens = 0;
    instant m_refilledAt;
    bool m_isInitialized = false;
};

} // namespace almondnotch
