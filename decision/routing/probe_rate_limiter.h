#pragma once

#include <algorithm>

#include "core/time.h"

namespace almondnotch {

/// This gateway's part of the probes that the workers bear from all gateways together.
///
/// Token bucket: in any time at most `burst` and what its rate gives are spent, so that the mean
/// over all gateways keeps the bound if the rates do.
class probe_rate_limiter
{
public:
    /// \param perSecond rate at which tokens are added until the next call.
    void refill(instant now, double perSecond)
    {
        const double capacity = std::max(capacityMin, perSecond * toSeconds(burstTime));
        if (!m_isInitialized)
            m_tokens = capacity;
        m_tokens = std::min(capacity, m_tokens + perSecond * toSeconds(now - m_refilledAt));
        m_refilledAt = now;
        m_isInitialized = true;
    }

    /// Takes one token, if there is one.
    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    /// Time whose tokens may be saved up for a burst, and the tokens that may be in any case.
    static constexpr duration burstTime = seconds(4);
    static constexpr double capacityMin = 20;

    double m_tokens = 0;
    instant m_refilledAt;
    bool m_isInitialized = false;
};

} // namespace almondnotch
