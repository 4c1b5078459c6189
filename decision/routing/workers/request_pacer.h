#pragma once

#include <algorithm>
#include <limits>

#include "core/time.h"
#include "decision/routing/workers/request_limit_share.h"

namespace almondnotch {

/// Keeps this gateway's share of the request rate that one worker accepts.
///
/// Token bucket: in any interval, at most the capacity of the bucket plus the requests added by the
/// rate are sent.
class request_pacer
{
public:
    /// \param share infinite rate for no limit; rate 0 to send nothing. The bucket is empty when a
    /// limit begins, since requests may just have been sent.
    void setShare(instant now, const request_limit_share &share)
    {
        m_tokens = isLimited() ? std::min(tokens(now), share.burst) : 0;
        m_updatedAt = now;
        m_share = share;
    }

    bool isLimited() const
    {
        return m_share.requestsPerSecond < std::numeric_limits<double>::infinity();
    }
    bool allows(instant now) const { return !isLimited() || tokens(now) >= 1; }
    /// True if the bucket is full, so that requests that the worker would accept go unused.
    bool isFull(instant now) const { return isLimited() && tokens(now) >= m_share.burst; }

    void requestSent(instant now)
    {
        if (!isLimited())
            return;
        m_tokens = std::max(0.0, tokens(now) - 1);
        m_updatedAt = now;
    }

private:
    double tokens(instant now) const
    {
        return std::min(m_share.burst,
                        m_tokens + toSeconds(now - m_updatedAt) * m_share.requestsPerSecond);
    }

    request_limit_share m_share;
    double m_tokens = 0;
    instant m_updatedAt;
};

} // namespace almondnotch
