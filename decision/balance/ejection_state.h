#pragma once

#include "core/time.h"

namespace almondnotch {

/// Outlier ejection of one worker: counts consecutive failures and doubles the ejection time with
/// repeated ejections.
///
/// The owner decides on the ejection and limits how many workers of a group are ejected at a time.
class ejection_state
{
public:
    /// Number of consecutive failures after which a worker should be ejected. A single crash or
    /// refused connection only raises the failure share in the load estimate, which takes effect at
    /// once but reduces the worker's traffic less than an ejection.
    static constexpr unsigned consecutiveFailureThreshold = 3;
    /// Upper limit of the ejection time as a multiple of the base ejection time.
    static constexpr unsigned backoffFactorMax = 16;

    /// Records the end of an attempt.
    /// \return true if the worker should be ejected now.
    bool addOutcome(bool failed);

    /// Ejects the worker. An ejection that follows soon after a readmission lasts twice as long as
    /// the previous one.
    /// \return the time at which the ejection ends.
    instant eject(instant now, duration baseEjectionTime);

    /// Ends the ejection. Limits the failure count to one below the threshold, so that a single
    /// further failure ejects the worker again.
    void readmit(instant now);

    /// Raises the failure count of a readmitted worker to the threshold and resets the backoff. The
    /// worker then does not count as healthy until it has served a call, and its next failure can
    /// eject it for the base ejection time. Used for workers that were readmitted only because all
    /// workers of the group fail.
    void markUnhealthy();

    bool isEjected() const { return m_ejected; }
    instant ejectedUntil() const { return m_ejectedUntil; }
    unsigned consecutiveFailures() const { return m_consecutiveFailures; }

private:
    bool m_ejected = false;
    unsigned m_consecutiveFailures = 0;
    unsigned m_backoffFactor = 0;
    instant m_ejectedUntil;
    instant m_readmittedAt;
};

} // namespace almondnotch
