#pragma once

#include <cstdint>

#include "core/time.h"

namespace almondnotch {

/// This gateway's share of the probe budget of one worker.
///
/// Two token buckets, one for probes and one for bytes, are refilled at the gateway's share of the
/// worker's rate, which is rate / maxGateways. Each holds at most the tokens for one probe. Proof
/// that all gateways together stay within the budget of a worker, independently of what they know
/// of each other:
///
/// 1. A bucket starts empty and never holds more than the tokens for one probe. In any interval of
///    length T it receives at most (rate / maxGateways) * T tokens. A process therefore starts at
///    most 1 + (rate / maxGateways) * T probes in any interval, and at most (rate / maxGateways) *
///    T in an interval that begins at its own start.
/// 2. At most maxGateways processes run at a time, including replacements (see
///    `fleet_limits::maxGateways`). A restarted process begins with empty buckets, so successive
///    processes on a VM together start no more probes than one process that is never restarted.
/// 3. All gateways together therefore start at most rate * T probes within the time T after the
///    first process started, and at most rate * T + maxGateways in any interval of length T. No
///    term depends on the number of calls, on messages or on what a process knows of the others.
///
/// The size of a probe is known only at its end. `reservedProbeBytes` tokens are taken from the
/// byte bucket at the start and corrected at the end. A larger probe makes the bucket negative, and
/// the next probe waits until it has been refilled. After a pause of the process a bucket holds the
/// tokens for at most one probe, so no burst of probes to the worker follows.
class probe_budget
{
public:
    /// Bytes reserved for one probe: request and response of the load endpoint with headers.
    /// A probe usually takes about 400 bytes.
    static constexpr double reservedProbeBytes = 1024;

    /// Sets the rates per second. If they change, a new accounting window of `isWithinShare`
    /// begins.
    void setRates(instant now, double probesPerSecond, double bytesPerSecond);

    /// Earliest time at which `tryStartProbe` succeeds; `instant::never()` if the rate is 0.
    instant readyAt() const;

    /// Takes the tokens for one probe.
    /// \return false if there are too few tokens.
    bool tryStartProbe(instant now);

    /// Records the end of a probe: replaces its reserved size by the actual size `bytes`.
    void finishProbe(std::uint32_t bytes);

    /// Reduces the probe bucket to at most `tokens`. Used after a pause of the process so that the
    /// probes of many workers do not start at once.
    /// \param tokens between 0 and 1.
    void limitTokens(instant now, double tokens);

    /// Checks, independently of the buckets, that the probes started in the accounting window,
    /// which begins with the last change of the rates, are within the gateway's share.
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
