#include "decision/balance/probe_budget.h"

#include <algorithm>
#include <cmath>

namespace almondnotch {

namespace {

/// Room for the rounding of instants to microseconds, in tokens.
constexpr double rounding = 1e-3;

} // namespace

void probe_budget::setRates(instant now, double probesPerSecond, double bytesPerSecond)
{
    if (probesPerSecond == m_probeRate && bytesPerSecond == m_byteRate)
        return;
    refill(now);
    m_probeRate = probesPerSecond;
    m_byteRate = bytesPerSecond;
    m_accountFrom = now;
    m_accountProbes = 0;
    m_accountBytes = 0;
}

instant probe_budget::readyAt() const
{
    const double missingProbes = std::max(0.0, 1 - m_probes);
    const double missingBytes = std::max(0.0, probeBytesMax - m_bytes);
    if ((missingProbes > 0 && m_probeRate <= 0) || (missingBytes > 0 && m_byteRate <= 0))
        return instant::never();
    const double waitS = std::max(missingProbes > 0 ? missingProbes / m_probeRate : 0,
                                  missingBytes > 0 ? missingBytes / m_byteRate : 0);
    // A rate this small is no rate within the life of a process.
    if (waitS > 1e9)
        return instant::never();
    return m_filledAt + duration(static_cast<std::int64_t>(std::ceil(waitS * 1e6)));
}

bool probe_budget::tryStart(instant now)
{
    refill(now);
    if (m_probes < 1 - 1e-9 || m_bytes < probeBytesMax * (1 - 1e-9))
        return false;
    m_probes -= 1;
    m_bytes -= probeBytesMax;
    ++m_started;
    ++m_accountProbes;
    m_accountBytes += probeBytesMax;
    return true;
}

void probe_budget::finish(std::uint32_t bytes)
{
    m_bytes = std::min(probeBytesMax, m_bytes + probeBytesMax - bytes);
    // A correction of a probe from before a change of rates may not make the account negative.
    m_accountBytes = std::max(0.0, m_accountBytes + bytes - probeBytesMax);
}

void probe_budget::limitTokens(instant now, double tokens)
{
    refill(now);
    m_probes = std::min(m_probes, tokens);
}

bool probe_budget::withinShare(instant now) const
{
    const double elapsedS = toSeconds(now - m_accountFrom);
    // Up to one probe may have been saved before the account began. The bytes of a probe that cost
    // more than reserved are debt, which the next probe waits for.
    return static_cast<double>(m_accountProbes) <= 1 + m_probeRate * elapsedS + rounding
           && m_accountBytes <= probeBytesMax + m_byteRate * elapsedS + rounding * probeBytesMax;
}

void probe_budget::refill(instant now)
{
    if (now <= m_filledAt)
        return;
    const double elapsedS = toSeconds(now - m_filledAt);
    m_filledAt = now;
    m_probes = std::min(1.0, m_probes + elapsedS * m_probeRate);
    m_bytes = std::min(probeBytesMax, m_bytes + elapsedS * m_byteRate);
}

} // namespace almondnotch
