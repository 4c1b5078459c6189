#pragma once

#include <limits>

#include "core/time.h"

namespace almondnotch {

/// Spaces the requests of this gateway to one worker, so that their rate stays below a limit in
/// intervals of any length. There is no burst: unused time is not saved up.
class request_pacer
{
public:
    /// \param requestsPerSecond infinity for no limit; 0 to send nothing. The first request after a
    /// limit was set waits as if one had just been sent.
    void setRate(instant now, double requestsPerSecond)
    {
        if (!isLimited())
            m_lastSentAt = now;
        m_requestsPerSecond = requestsPerSecond;
    }

    bool isLimited() const { return m_requestsPerSecond < std::numeric_limits<double>::infinity(); }

    bool allows(instant now) const
    {
        return !isLimited() || toSeconds(now - m_lastSentAt) * m_requestsPerSecond >= 1;
    }

    void requestSent(instant now) { m_lastSentAt = now; }

private:
    double m_requestsPerSecond = std::numeric_limits<double>::infinity();
    instant m_lastSentAt;
};

} // namespace almondnotch
