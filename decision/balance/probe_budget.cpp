#include "decision/balance/probe_budget.h"

#include <algorithm>
#include <cmath>

namespace almondnotch {

namespace {

/// Tolerance in tokens for the rounding of instants to microseconds.
constexpr double roundingTolerance = 1e-3;

} // namespace

void probe_budget::setRates(instant now, double probesPerSecond, double bytesPerSecond)
{
    if (probesPerSecond == m_probeRate && bytesPerSecond == m_byteRate)
        return;
    refill(now);
    m_probeRate = probesPerSecond;
    m_byteRate = bytesPerSecond;
    m_windowStart = now;
    m_windowProbes = 0;
    m_windowBytes = 0;
}

instant probe_budget::readyAt() const
{
    const double missingProbes = std::max(0.0, 1 - m_probeTokens);
    const double missingBytes = std::max(0.0, reservedProbeBytes - m_byteTokens);
    if ((missingProbes > 0 && m_probeRate <= 0) || (missingBytes > 0 && m_byteRate <= 0))
        return instant::never();
    const double waitS = std::max(missingProbes > 0 ? missingProbes / m_probeRate : 0,
                                  missingBytes > 0 ? missingBytes / m_byteRate : 0);
    // A wait of more than 1e9 s (about 32 years) never ends within the lifetime of a process.
    if (waitS > 1e9)
        return instant::never();
    return m_refilledAt + duration(static_cast<std::int64_t>(std::ceil(waitS * 1e6)));
}

bool probe_budget::tryStartProbe(instant now)
{
    refill(now);
    if (m_probeTokens < 1 - 1e-9 || m_byteTokens < reservedProbeBytes * (1 - 1e-9))
        return false;
    m_probeTokens -= 1;
    m_byteTokens -= reservedProbeBytes;
    ++m_startedProbes;
    ++m_windowProbes;
    m_windowBytes += reservedProbeBytes;
    return true;
}

void probe_budget::finishProbe(std::uint32_t bytes)
{
    m_byteTokens = std::min(reservedProbeBytes, m_byteTokens + reservedProbeBytes - bytes);
    // No bytes were reserved in this window for a probe that was started before the rates changed,
    // so the sum could become negative here.
    m_windowBytes = std::max(0.0, m_windowBytes + bytes - reservedProbeBytes);
}

void probe_budget::limitTokens(instant now, double tokens)
{
    refill(now);
    m_probeTokens = std::min(m_probeTokens, tokens);
}

bool probe_budget::isWithinShare(instant now) const
{
    const double elapsedS = toSeconds(now - m_windowStart);
    // The buckets may have held the tokens for one probe when the window began. A probe that is
    // larger than the reserved size needs no further allowance: the share is checked when the next
    // probe starts, and that probe waits until the byte bucket has been refilled.
    return static_cast<double>(m_windowProbes) <= 1 + m_probeRate * elapsedS + roundingTolerance
           && m_windowBytes <= reservedProbeBytes + m_byteRate * elapsedS
                                   + roundingTolerance * reservedProbeBytes;
}

void probe_budget::refill(instant now)
{
    if (now <= m_refilledAt)
        return;
    const double elapsedS = toSeconds(now - m_refilledAt);
    m_refilledAt = now;
    m_probeTokens = std::min(1.0, m_probeTokens + elapsedS * m_probeRate);
    m_byteTokens = std::min(reservedProbeBytes, m_byteTokens + elapsedS * m_byteRate);
}

} // namespace almondnotch
