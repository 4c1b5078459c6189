#include "decision/balance/ejection_state.h"

#include <algorithm>

namespace almondnotch {

namespace {

/// After this multiple of the base ejection time without a new ejection, the next ejection lasts
/// the base ejection time again.
constexpr int backoffResetFactor = 10;

} // namespace

bool ejection_state::addOutcome(bool failed)
{
    if (!failed) {
        m_consecutiveFailures = 0;
        return false;
    }
    ++m_consecutiveFailures;
    return !m_ejected && m_consecutiveFailures >= consecutiveFailureThreshold;
}

instant ejection_state::eject(instant now, duration baseEjectionTime)
{
    if (m_backoffFactor > 0 && now - m_readmittedAt < baseEjectionTime * backoffResetFactor)
        m_backoffFactor = std::min(m_backoffFactor * 2, backoffFactorMax);
    else
        m_backoffFactor = 1;
    m_ejected = true;
    m_ejectedUntil = now + baseEjectionTime * m_backoffFactor;
    return m_ejectedUntil;
}

void ejection_state::readmit(instant now)
{
    m_ejected = false;
    m_readmittedAt = now;
    // A single further failure ejects the worker again, so that a worker that still fails costs one
    // call per readmission and not three.
    m_consecutiveFailures = std::min(m_consecutiveFailures, consecutiveFailureThreshold - 1);
}

void ejection_state::markUnhealthy()
{
    m_consecutiveFailures = std::max(m_consecutiveFailures, consecutiveFailureThreshold);
    m_backoffFactor = 0;
}

} // namespace almondnotch
