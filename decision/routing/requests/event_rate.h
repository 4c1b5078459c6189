#pragma once

#include <cmath>

#include "core/time.h"

namespace almondnotch {

/// Rate of events, averaged with exponential decay.
class event_rate
{
public:
    void count(instant now)
    {
        m_weight = weightAt(now) + 1;
        m_updatedAt = now;
    }

    double perSecond(instant now) const { return weightAt(now) / toSeconds(decayTime); }

private:
    /// Time after which the weight of an event has fallen to 1/e.
    static constexpr duration decayTime = milliseconds(500);

    double weightAt(instant now) const
    {
        return m_weight * std::exp(-toSeconds(now - m_updatedAt) / toSeconds(decayTime));
    }

    double m_weight = 0;
    instant m_updatedAt;
};

} // namespace almondnotch
