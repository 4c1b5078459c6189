#pragma once

#include <algorithm>

namespace almondnotch {

/// Limits the retries and hedges that this gateway sends to one service to a fraction of the
/// gateway's own requests, plus the gateway's share of `shared_budgets::retryBurst`, which is the
/// capacity of the bucket. The service accepts the sum of these limits over all gateways.
///
/// Token bucket: in any interval, at most `capacity` tokens plus the tokens added by requests are
/// spent. All gateways together stay within the limit if the sum of their capacities does.
class retry_budget
{
public:
    /// Adds the tokens for a new request.
    /// \param tokensPerRequest tokens added per request, usually a fraction of one.
    /// \param capacity maximum number of tokens.
    void requestArrived(double tokensPerRequest, double capacity)
    {
        if (!m_isInitialized) {
            // The bucket starts half full, since a process that has just restarted may have spent
            // its share before the restart.
            m_tokens = capacity / 2;
            m_isInitialized = true;
        }
        m_tokens = std::min(m_tokens + tokensPerRequest, capacity);
    }

    bool hasTokens(double tokens) const { return m_tokens >= tokens; }

    /// Takes one token. \return false if less than one is left.
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
