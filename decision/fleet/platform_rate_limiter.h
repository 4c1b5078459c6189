#pragma once

#include <deque>

#include "core/counters.h"
#include "core/invariants.h"
#include "core/time.h"

namespace almondnotch {

/// Token bucket for this process's calls to the platform.
///
/// Guarantee: over any second no more calls than the share (at least one), since the burst and
/// what the bucket refills within a second sum up to it.
class platform_rate_limiter
{
public:
    platform_rate_limiter(double callsPerSecond, invariant_set &invariants, counter_set &counters);

    void setRate(instant now, double callsPerSecond);

    /// Takes the token of one call. \return false if none is available.
    bool tryAcquire(instant now);

    /// When the next token is available, `now` if one is.
    instant availableAt(instant now) const;

    double rate() const { return m_rate; }

private:
    double tokensAt(instant now) const;
    double burst() const;
    double refillPerSecond() const;

    invariant_set &m_invariants;
    counter_set &m_counters;
    double m_rate;
    double m_tokens;
    instant m_refilledAt;
    /// Calls of the last second, and the largest share that held during it.
    std::deque<instant> m_calls;
    double m_windowRate;
    instant m_rateChangedAt;
};

} // namespace almondnotch
