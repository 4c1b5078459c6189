#include "decision/fleet/platform_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "core/mechanisms.h"

namespace almondnotch {

platform_rate_limiter::platform_rate_limiter(double callsPerSecond, invariant_set &invariants,
                                             counter_set &counters)
    : m_invariants(invariants), m_counters(counters), m_rate(std::max(callsPerSecond, 0.001)),
      m_tokens(burst()), m_windowRate(m_rate)
{ }

double platform_rate_limiter::burst() const
{
    return std::max(1.0, 0.2 * m_rate);
}

double platform_rate_limiter::refillPerSecond() const
{
    // The burst is at least one token, so that `rate - burst` is close to zero or negative at rates
    // up to about one call per second. A minimum refill rate, which is half the rate but at most
    // 0.5 tokens per second, keeps the bucket from staying empty. Where the minimum applies, burst
    // and refill add up to at most 1.5 tokens within a second, which allow a single call, as the
    // guarantee of the class requires.
    return std::max(m_rate - burst(), 0.5 * std::min(m_rate, 1.0));
}

double platform_rate_limiter::tokensAt(instant now) const
{
    return std::min(burst(), m_tokens + refillPerSecond() * toSeconds(now - m_refilledAt));
}

void platform_rate_limiter::setRate(instant now, double callsPerSecond)
{
    const double rate = std::max(callsPerSecond, 0.001);
    if (rate == m_rate)
        return;
    m_tokens = tokensAt(now);
    m_refilledAt = now;
    if (now - m_rateChangedAt > seconds(1))
        m_windowRate = m_rate;
    m_windowRate = std::max(m_windowRate, rate);
    m_rateChangedAt = now;
    m_rate = rate;
    m_tokens = std::min(m_tokens, burst());
}

bool platform_rate_limiter::tryAcquire(instant now)
{
    const double tokens = tokensAt(now);
    if (tokens < 1 && isMechanismEnabled("platform_budget")) {
        m_counters.add("platform_calls_delayed_total");
        return false;
    }
    m_tokens = tokens - 1;
    m_refilledAt = now;
    while (!m_calls.empty() && now - m_calls.front() >= seconds(1))
        m_calls.pop_front();
    m_calls.push_back(now);
    const double allowed
        = std::max(1.0, now - m_rateChangedAt > seconds(1) ? m_rate : m_windowRate);
    m_invariants.check("platform_reads_within_budget",
                       static_cast<double>(m_calls.size()) <= allowed,
                       std::to_string(m_calls.size()) + " calls within a second, allowed "
                           + std::to_string(allowed));
    m_counters.add("platform_calls_total");
    return true;
}

instant platform_rate_limiter::availableAt(instant now) const
{
    const double missingTokens = 1 - tokensAt(now);
    if (missingTokens <= 0)
        return now;
    // Rounded up with a margin, so that the timer never expires before the token is available.
    return now + duration(std::llround(std::ceil(missingTokens / refillPerSecond() * 1e6)) + 1);
}

} // namespace almondnotch
