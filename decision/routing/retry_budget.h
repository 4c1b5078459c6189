#pragma once

#include <algorithm>

namespace almondnotch {

/// This gateway's part of the retries that a service bears from all gateways together: a share of
/// its own requests, and a share of a fixed number for each window.
///
/// Token bucket: in any window at most `capacity` tokens and those that its requests added are
/// spent, so that the sum over all gateways keeps the bound if the capacities do.
class retry_budget
{
public:
    /// \param share tokens that each request adds. \param capacity tokens at most.
    void requestArrived(double share, double capacity)
    {
        if (!m_isInitialized) {
            // A process that was just restarted may have spent its part before.
            m_tokens = capacity / 2;
            m_isInitialized = true;
        }
        m_tokens = std::min(m_tokens + share, capacity);
    }

    bool hasTokens(double tokens) const { return m_tokens >= tokens; }

    /// Takes one token, if there is one.
    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    double tokens() const { return m_tokens; }

private:
    double m_tokens = 0;
    bool m_isInitialized = false;
};

} // namespace almondnotch
