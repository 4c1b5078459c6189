#pragma once

#include "core/time.h"

namespace almondnotch {

/// Failures of one worker in a row and the time for which it is left out because of them.
///
/// The owner bounds how many workers of a group are left out; this class only counts.
class ejection
{
public:
    /// Failures in a row after which a worker is left out. One crash or one refused connection is
    /// left to the failure share of the load estimate, which acts at once but less.
    static constexpr unsigned failuresMax = 3;
    /// Longest time as a multiple of the first.
    static constexpr unsigned backoffMax = 16;

    /// Records the end of an attempt.
    /// \return true if the worker should be left out now.
    bool addOutcome(bool failed);

    /// Leaves the worker out. Each ejection soon after the last return lasts twice as long.
    /// \return the time until which it is left out.
    instant eject(instant now, duration firstTime);

    /// Ends the ejection.
    void readmit(instant now);

    bool isEjected() const { return m_ejected; }
    instant until() const { return m_until; }
    unsigned failuresInARow() const { return m_failuresInARow; }

private:
    bool m_ejected = false;
    unsigned m_failuresInARow = 0;
    unsigned m_backoff = 0;
    instant m_until;
    instant m_readmittedAt;
};

} // namespace almondnotch
