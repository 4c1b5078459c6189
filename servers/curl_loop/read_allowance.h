#pragma once

#include <algorithm>

#include "core/time.h"

namespace almondnotch {

/// Token bucket that bounds how often large responses are read from their sockets.
class read_allowance
{
public:
    /// \param perSecond rate at which reads are allowed, reads per second.
    explicit read_allowance(double perSecond) : m_perSecond(perSecond) { }

    /// Takes one read. \return false if none is left at `now`.
    bool take(instant now)
    {
        m_left = std::min(burstReads, m_left + m_perSecond * toSeconds(now - m_refilledAt));
        m_refilledAt = now;
        if (m_left < 1)
            return false;
        m_left -= 1;
        return true;
    }

private:
    /// Capacity of the bucket, in reads.
    static constexpr double burstReads = 256;

    double m_perSecond;
    double m_left = burstReads;
    instant m_refilledAt;
};

} // namespace almondnotch
