#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/time.h"
#include "decision/types.h"

namespace almondnotch {

/// Constants of the load estimate. The defaults were chosen with tests/decision/policy_bench; the
/// figures are in docs/decisions/0005-load-estimate.md.
struct estimate_tuning
{
    /// A report loses its influence with exp(-age / (reportDecayFactor * service time)).
    double reportDecayFactor = 2;
    /// Weight of the assumption "as fast as the rest of the group", in responses.
    double priorResponses = 4;
    /// Observed latency loses its influence with exp(-age / memory); memory in service times.
    double latencyDecayFactor = 12;
    /// Shortest memory, seconds.
    double latencyDecayMinS = 0.05;
    /// Spread of the queue length that a fresh report leaves, in calls. Makes a worker with spare
    /// slots better than one whose last slot is free.
    double freshReportDeviation = 1;
    /// Scale of the random part of a choice; 1 draws from the estimated distribution.
    double noiseScale = 0.25;

    bool operator==(const estimate_tuning &) const = default;
};

/// What the workers of a group have in common, learned from all of them.
class group_estimate
{
public:
    /// \param slots calls that one worker executes at once, from the configuration.
    explicit group_estimate(unsigned slots);

    /// Records the ratio of an observed to an expected response time. Moves the service time so
    /// that the average ratio becomes 1.
    void addLatencyRatio(double ratio);
    /// Records the calls at one worker, running and queued, from a report.
    void addOutstanding(double outstanding);
    /// Records whether an attempt failed.
    void addOutcome(bool failed);

    /// Time that a call takes at a worker without waiting, seconds.
    double serviceTimeS() const { return m_serviceTimeS; }
    double meanOutstanding() const { return m_meanOutstanding; }
    double outstandingVariance() const { return m_outstandingVariance; }
    /// Share of recent attempts that failed, 0 to 1.
    double failureShare() const { return m_failureShare; }

private:
    double m_serviceTimeS;
    double m_meanOutstanding;
    double m_outstandingVariance;
    double m_failureShare = 0;
    std::uint64_t m_latencyRatioCount = 0;
    std::uint64_t m_outstandingCount = 0;
};

/// Estimate of one worker at one instant.
struct load_prediction
{
    /// Time until the response to a call sent now, seconds, network included.
    double responseTimeS = 0;
    /// Same without what the latency of this worker showed.
    double baseResponseTimeS = 0;
    /// Observed response times as a multiple of the expected ones.
    double slowdown = 1;
    /// Calls running and queued.
    double outstanding = 0;
    /// Standard deviation of `total`.
    double outstandingDeviation = 0;
    /// Share of attempts that fail beyond the group's share, 0 to 1.
    double failureExcess = 0;
};

/// What is known of one worker's load: the last report, own calls in flight and observed latency.
///
/// Calls at the worker: the report's total decays towards the group's mean with the report's age,
/// while its variance grows towards the group's variance (the exact form for an Ornstein-Uhlenbeck
/// process, the usual heavy-traffic approximation of a queue). Own calls that the report cannot
/// contain are added.
///
/// Slowdown: maximum likelihood of an exponential rate with censored observations and a gamma
/// prior: (prior + time under observation) / (prior + responses), where time is in units of the
/// expected response time. Calls in flight count with their age, so an overdue call raises the
/// slowdown before it ends.
class load_estimate
{
public:
    /// \param expectedS response time that was expected without a slowdown.
    void startAttempt(instant now, double expectedResponseTimeS);

    /// Removes the attempt that began `elapsed` ago.
    /// \param answered the end is a response of the worker and not a failure or a cancellation.
    /// \return observed response time as a multiple of the expected one, if answered.
    std::optional<double> finishAttempt(instant now, duration elapsed, bool answered,
                                        const group_estimate &group, const estimate_tuning &tuning);

    /// Takes over a report that arrived now.
    /// \param roundTrip network time; calls sent less than this ago are not in the report.
    void addReport(instant now, const load_report &report, duration roundTrip);

    /// Records whether an attempt failed.
    void addOutcome(instant now, bool failed);

    /// Treats everything known as old. Calls in flight count from `now` on.
    void markStale(instant now);

    /// \param deviate standard normal deviate that displaces the total; 0 gives the mean.
    load_prediction predict(instant now, const group_estimate &group, const estimate_tuning &tuning,
                            unsigned slots, double roundTripS, double normalDeviate) const;

    unsigned inFlight() const { return static_cast<unsigned>(m_attempts.size()); }
    const std::optional<load_report> &report() const { return m_report; }
    /// Age of the last report; the longest duration if there is none or it is stale.
    duration reportAge(instant now) const;

private:
    struct in_flight_attempt
    {
        double startS = 0;
        double expectedResponseTimeS = 0;
    };

    void recountUnreported();
    /// Decay factor of latency evidence since its last change.
    double latencyWeight(double nowS, const group_estimate &group,
                         const estimate_tuning &tuning) const;

    /// Own calls that the last report cannot contain.
    unsigned m_unreported = 0;
    bool m_stale = true;
    std::optional<load_report> m_report;
    double m_reportedAtS = 0;
    double m_roundTripS = 0;
    double m_latencyExposure = 0;
    double m_latencyResponses = 0;
    double m_latencyUpdatedAtS = 0;
    double m_failures = 0;
    double m_outcomes = 0;
    double m_outcomesUpdatedAtS = 0;
    std::vector<in_flight_attempt> m_attempts;
};

} // namespace almondnotch
