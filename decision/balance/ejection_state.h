#pragma once

#include "core/time.h"

namespace almondnotch {

/// Failures of one worker in a row and the time for which it is left out because of them.
///
/// The owner bounds how many workers of a group are left out; this class only counts.
class ejection_state
{
public:
    /// Failures in a row after which a worker is left out. One crash or one refused connection is
    /// left to the failure share of the load estimate, which acts at once but less.
    static constexpr unsigned consecutiveFailuresMax = 3;
    /// Longest time as a multiple of the first.
    static constexpr unsigned backoffFactorMax = 16;

    /// Records the end of an attempt.
    /// \return true if the worker should be left out now.
    bool addOutcome(bool failed);

    /// Leaves the worker out. Each ejection soon after the last return lasts twice as long.
    /// \return the time until which it is left out.
    instant eject(instant now, duration baseEjectionTime);

    /// Ends the ejection.
    void readmit(instant now);

    /// Keeps a readmitted worker from counting as one that works until it served a call. Used when
    /// it was readmitted only because all others look bad too.
    void markSuspect();

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
