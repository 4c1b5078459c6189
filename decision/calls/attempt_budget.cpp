#include "decision/calls/attempt_budget.h"

#include <algorithm>

namespace almondnotch {

void attempt_budget::addFirstAttempt(double ratio)
{
    ++m_firstAttempts;
    m_tokens = std::min(m_tokens + ratio, tokensMax);
}

bool attempt_budget::takeExtraAttempt()
{
    if (m_tokens < 1) {
        ++m_denied;
        return false;
    }
    m_tokens -= 1;
    ++m_extraAttempts;
    return true;
}

} // namespace almondnotch
