#include "decision/calls/share_budget.h"

#include <algorithm>

namespace almondnotch {

void share_budget::ordinary(double share)
{
    ++m_ordinary;
    m_tokens = std::min(m_tokens + share, tokensMax);
}

bool share_budget::takeExtra()
{
    if (m_tokens < 1) {
        ++m_denied;
        return false;
    }
    m_tokens -= 1;
    ++m_extra;
    return true;
}

} // namespace almondnotch
