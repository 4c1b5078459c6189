#include "decision/fleet/platform_budget.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace almondnotch {

platform_budget::platform_budget(double callsPerSecond, invariant_set &invariants,
                                 counter_set &counters)
    : m_invariants(invariants), m_counters(counters), m_share(std::max(callsPerSecond, 0.001)),
      m_tokens(burst()), m_windowShare(m_share)
{ }

double platform_budget::burst() const
{
    return std::max(1.0, 0.2 * m_share);
}

double platform_budget::refillPerSecond() const
{
    // A share of little more than one call a second is all burst; half of it keeps the bucket
    // going.
    return std::max(m_share - burst(), 0.5 * std::min(m_share, 1.0));
}

double platform_budget::tokensAt(instant now) const
{
    return std::min(burst(), m_tokens + refillPerSecond() * toSeconds(now - m_refilledAt));
}

void platform_budget::setShare(instant now, double callsPerSecond)
{
    const double share = std::max(callsPerSecond, 0.001);
    if (share == m_share)
        return;
    m_tokens = tokensAt(now);
    m_refilledAt = now;
    if (now - m_shareChangedAt > seconds(1))
        m_windowShare = m_share;
    m_windowShare = std::max(m_windowShare, share);
    m_shareChangedAt = now;
    m_share = share;
    m_tokens = std::min(m_tokens, burst());
}

bool platform_budget::take(instant now)
{
    const double tokens = tokensAt(now);
    if (tokens < 1) {
        m_counters.add("platform_calls_delayed_total");
        return false;
    }
    m_tokens = tokens - 1;
    m_refilledAt = now;
    while (!m_calls.empty() && now - m_calls.front() >= seconds(1))
        m_calls.pop_front();
    m_calls.push_back(now);
    const double allowed
        = std::max(1.0, now - m_shareChangedAt > seconds(1) ? m_share : m_windowShare);
    m_invariants.check("platform_reads_within_budget",
                       static_cast<double>(m_calls.size()) <= allowed,
                       std::to_string(m_calls.size()) + " calls within a second, allowed "
                           + std::to_string(allowed));
    m_counters.add("platform_calls_total");
    return true;
}

instant platform_budget::availableAt(instant now) const
{
    const double lacking = 1 - tokensAt(now);
    if (lacking <= 0)
        return now;
    // Rounded up with a margin, so that the timer never comes before the token.
    return now + duration(std::llround(std::ceil(lacking / refillPerSecond() * 1e6)) + 1);
}

} // namespace almondnotch
