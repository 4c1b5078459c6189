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
    /// A report loses its influence with exp(-age / (relaxFactor * service time)).
    double relaxFactor = 4;
    /// Weight of the assumption "as fast as the rest of the group", in responses.
    double priorResponses = 2;
    /// Observed latency loses its influence with exp(-age / memory); memory in service times.
    double memoryFactor = 12;
    /// Shortest memory, seconds.
    double memoryMinS = 0.05;
    /// Spread of the queue length that a fresh report leaves, in calls. Makes a worker with spare
    /// slots better than one whose last slot is free.
    double freshSpread = 1;
    /// Scale of the random part of a choice; 1 draws from the estimated distribution.
    double noiseScale = 1;

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
    void addRatio(double ratio);
    /// Records the calls at one worker, running and queued, from a report.
    void addTotal(double total);
    /// Records whether an attempt failed.
    void addOutcome(bool failed);

    /// Time that a call takes at a worker without waiting, seconds.
    double serviceS() const { return m_serviceS; }
    double meanTotal() const { return m_meanTotal; }
    double totalVariance() const { return m_totalVariance; }
    /// Share of recent attempts that failed, 0 to 1.
    double failureShare() const { return m_failureShare; }

private:
    double m_serviceS;
    double m_meanTotal;
    double m_totalVariance;
    double m_failureShare = 0;
    std::uint64_t m_ratios = 0;
    std::uint64_t m_totals = 0;
};

/// Estimate of one worker at one instant.
struct load_prediction
{
    /// Time until the response to a call sent now, seconds, network included.
    double timeS = 0;
    /// Same without what the latency of this worker showed.
    double baseS = 0;
    /// Observed response times as a multiple of the expected ones.
    double slowdown = 1;
    /// Calls running and queued.
    double total = 0;
    /// Standard deviation of `total`.
    double spread = 0;
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
    void attemptStarted(instant now, double expectedS);

    /// Removes the attempt that began `elapsed` ago.
    /// \param answered the end is a response of the worker and not a failure or a cancellation.
    /// \return observed response time as a multiple of the expected one, if answered.
    std::optional<double> attemptEnded(instant now, duration elapsed, bool answered,
                                       const group_estimate &group, const estimate_tuning &tuning);

    /// Takes over a report that arrived now.
    /// \param roundTrip network time; calls sent less than this ago are not in the report.
    void addReport(instant now, const load_report &report, duration roundTrip);

    /// Records whether an attempt failed.
    void addOutcome(instant now, bool failed);

    /// Treats everything known as old. Calls in flight count from `now` on.
    void forget(instant now);

    /// \param deviate standard normal deviate that displaces the total; 0 gives the mean.
    load_prediction predict(instant now, const group_estimate &group, const estimate_tuning &tuning,
                            unsigned slots, double roundTripS, double deviate) const;

    unsigned inFlight() const { return static_cast<unsigned>(m_attempts.size()); }
    const std::optional<load_report> &report() const { return m_report; }
    /// Age of the last report; the longest duration if there is none or it is stale.
    duration reportAge(instant now) const;

private:
    struct attempt_record
    {
        double startS = 0;
        double expectedS = 0;
    };

    void recount();
    /// Decay factor of latency evidence since its last change.
    double evidenceWeight(double nowS, const group_estimate &group,
                          const estimate_tuning &tuning) const;

    // Sums over m_attempts, so that a prediction costs the same for any number in flight.
    double m_inverseExpected = 0;
    double m_startOverExpected = 0;
    unsigned m_unseen = 0;
    bool m_stale = true;
    std::optional<load_report> m_report;
    double m_reportS = 0;
    double m_roundTripS = 0;
    double m_exposure = 0;
    double m_responses = 0;
    double m_evidenceS = 0;
    double m_failures = 0;
    double m_outcomes = 0;
    double m_outcomeS = 0;
    std::vector<attempt_record> m_attempts;
};

} // namespace almondnotch
