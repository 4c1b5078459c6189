#pragma once

#include "core/random_source.h"
#include "tests/decision/driver/event_queue.h"

namespace almondnotch {

/// One direction of a network path, with a fixed delay, exponentially distributed jitter and
/// message loss.
class fake_link
{
public:
    fake_link(event_queue &queue, random_source &random, duration delay)
        : m_queue(queue), m_random(random), m_delay(delay)
    { }

    /// Mean of the jitter, which is added to the delay.
    void setJitter(duration mean) { m_jitter = mean; }
    /// Fraction of messages that are lost, 0 to 1.
    void setLoss(double fraction) { m_loss = fraction; }
    /// A blocked link loses all messages.
    void setBlocked(bool isBlocked) { m_blocked = isBlocked; }

    /// Delivers a message after the delay and jitter, or loses it.
    /// \return false if it is lost.
    bool send(event_queue::callback deliver);

private:
    event_queue &m_queue;
    random_source &m_random;
    duration m_delay;
    duration m_jitter {0};
    double m_loss = 0;
    bool m_blocked = false;
};

} // namespace almondnotch
