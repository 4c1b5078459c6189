#pragma once

#include <cstdint>

#include "core/time.h"

namespace almondnotch {

/// Share of the measuring budget of one worker that this gateway may spend.
///
/// Two token buckets, one for probes and one for bytes, fill at the gateway's share of the rate
/// and hold at most what one probe costs. Proof that the budget of a worker holds over all
/// gateways, whatever each believes of the others:
///
/// 1. A bucket never holds more than one probe and starts empty. In any interval of length T it
///    receives at most (rate / maxGateways) * T tokens, so the process starts at most
///    1 + (rate / maxGateways) * T probes in the interval, and none beyond
///    (rate / maxGateways) * T counted from its own start.
/// 2. At most maxGateways processes run at a time, replacements included (published bound). A
///    process that restarts begins with empty buckets, so the processes that follow one another on
///    a VM spend together no more than one that never restarts.
/// 3. The sum over gateways is therefore at most rate * T from the start, and at most
///    rate * T + maxGateways in any interval. No term depends on the number of calls, on messages
///    or on what a process knows of the others.
///
/// Bytes: the cost of a probe is known only at its end. The bucket is charged with
/// `reservedProbeBytes` at the start and corrected at the end; a probe that cost more leaves a debt
/// which must be paid off first. A pause fills a bucket to at most one probe, so there is no burst
/// afterwards.
class probe_budget
{
public:
    /// Bytes reserved for one probe: request and response of the load endpoint with headers.
    /// Measured sizes are about 400.
    static constexpr double reservedProbeBytes = 1024;

    /// Sets the rates a second. A change restarts the account of `isWithinShare`.
    void setRates(instant now, double probesPerSecond, double bytesPerSecond);

    /// Time from which `tryStart` succeeds; never if the rate is 0.
    instant readyAt() const;

    /// Takes one probe out of the budget if there is enough.
    bool tryStart(instant now);

    /// Corrects the reserved to the actual bytes.
    void finish(std::uint32_t bytes);

    /// Empties the probe bucket down to `tokens`, 0 to 1. Used after a pause so that the probes of
    /// many workers do not start at once.
    void limitTokens(instant now, double tokens);

    /// Checks the probes that were started against the share, independently of the buckets.
    bool isWithinShare(instant now) const;

    std::uint64_t startedProbes() const { return m_startedProbes; }

private:
    void refill(instant now);

    double m_probeRate = 0;
    double m_byteRate = 0;
    double m_probeTokens = 0;
    double m_byteTokens = 0;
    instant m_refilledAt;
    instant m_windowStart;
    std::uint64_t m_windowProbes = 0;
    double m_windowBytes = 0;
    std::uint64_t m_startedProbes = 0;
};

} // namespace almondnotch
