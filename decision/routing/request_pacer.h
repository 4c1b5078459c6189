#pragma once

#include <algorithm>
#include <limits>

#include "core/time.h"

namespace almondnotch {

/// Keeps this gateway's share of the request rate that one worker accepts.
///
/// Token bucket: in any interval, at most `capacity` requests plus those added by the rate are
/// sent.
class request_pacer
{
public:
    /// Capacity of the bucket, in requests.
    static constexpr double capacity = 2;

    /// \param requestsPerSecond infinity for no limit; 0 to send nothing. The bucket is empty when
    /// a limit begins, since requests may just have been sent.
    void setRate(instant now, double requestsPerSecond)
    {
        m_tokens = isLimited() ? tokens(now) : 0;
        m_updatedAt = now;
        m_requestsPerSecond = requestsPerSecond;
    }

    bool isLimited() const { return m_requestsPerSecond < std::numeric_limits<double>::infinity(); }
    bool allows(instant now) const { return !isLimited() || tokens(now) >= 1; }
    /// True if the bucket is full, so that requests that the worker would accept go unused.
    bool isFull(instant now) const { return isLimited() && tokens(now) >= capacity; }

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
        return std::min(capacity, m_tokens + toSeconds(now - m_updatedAt) * m_requestsPerSecond);
    }

    double m_requestsPerSecond = std::numeric_limits<double>::infinity();
    double m_tokens = 0;
    instant m_updatedAt;
};

} // namespace almondnotch
