#include "decision/balance/ejection.h"

#include <algorithm>

namespace almondnotch {

namespace {

/// A worker that stayed in for this many first ejection times begins with the first again.
constexpr int forgivenAfter = 10;

} // namespace

bool ejection::addOutcome(bool failed)
{
    if (!failed) {
        m_failuresInARow = 0;
        return false;
    }
    ++m_failuresInARow;
    return !m_ejected && m_failuresInARow >= failuresMax;
}

instant ejection::eject(instant now, duration firstTime)
{
    if (m_backoff > 0 && now - m_readmittedAt < firstTime * forgivenAfter)
        m_backoff = std::min(m_backoff * 2, backoffMax);
    else
        m_backoff = 1;
    m_ejected = true;
    m_until = now + firstTime * m_backoff;
    return m_until;
}

void ejection::readmit(instant now)
{
    m_ejected = false;
    m_readmittedAt = now;
    // One more failure is enough: a worker that still fails costs one call and not three.
    m_failuresInARow = std::min(m_failuresInARow, failuresMax - 1);
}

} // namespace almondnotch
