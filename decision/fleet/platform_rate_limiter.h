#pragma once

#include <deque>

#include "core/counters.h"
#include "core/invariants.h"
#include "core/time.h"

namespace almondnotch {

/// Token bucket that limits this process's calls to the platform.
///
/// Guarantee: at most max(1, rate) calls are made within any second. At rates of at least 1.5 calls
/// per second, the burst and the refill of one second add up to the rate. At lower rates they add
/// up to at most 1.5 tokens, which allow a single call.
class platform_rate_limiter
{
public:
    platform_rate_limiter(double callsPerSecond, invariant_set &invariants, counter_set &counters);

    void setRate(instant now, double callsPerSecond);

    /// Consumes the token for one call. \return false if no token is available.
    bool tryAcquire(instant now);

    /// Time at which the next token is available; `now` if one is available already.
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
    /// Times of the calls within the last second.
    std::deque<instant> m_calls;
    /// Highest rate that applied during the last second. Used only if the rate changed within it.
    double m_windowRate;
    instant m_rateChangedAt;
};

} // namespace almondnotch
