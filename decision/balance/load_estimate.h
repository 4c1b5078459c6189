#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/time.h"
#include "decision/types.h"

namespace almondnotch {

/// Constants of the load estimate. The defaults come from runs of tests/decision/policy_bench;
/// docs/decisions/0005-load-estimate.md has the results.
struct estimate_tuning
{
    /// The weight of a report decays with exp(-age / (reportDecayFactor * service time)).
    double reportDecayFactor = 2;
    /// Weight of the prior that a worker is as fast as the rest of its group, as a number of
    /// responses.
    double priorResponses = 4;
    /// The weight of observed latency decays with exp(-age / (latencyDecayFactor * service time)).
    double latencyDecayFactor = 12;
    /// Lower limit of `latencyDecayFactor * service time`, in seconds.
    double latencyDecayMinS = 0.05;
    /// Standard deviation of the number of outstanding calls right after a report, in calls. It
    /// makes a worker with several free slots score better than one with a single free slot.
    double freshReportDeviation = 1;
    /// Factor on the random deviation with which the number of outstanding calls is sampled. 1
    /// gives the estimated distribution itself; smaller values narrow it.
    double samplingDeviationFactor = 0.25;

    bool operator==(const estimate_tuning &) const = default;
};

/// Averages over all workers of a group, which serve as the prior of each worker's estimate.
class group_estimate
{
public:
    /// \param slots number of calls that one worker executes concurrently, from the configuration.
    explicit group_estimate(unsigned slots);

    /// Records the ratio of an observed to an expected response time. Adjusts the service time so
    /// that the average ratio tends to 1.
    void addLatencyRatio(double ratio);
    /// Records the number of outstanding calls of one worker, running and queued, from a report.
    void addOutstanding(double outstanding);
    /// Records whether an attempt failed.
    void addOutcome(bool failed);

    /// Time in seconds that a worker takes to execute a call, without queueing.
    double serviceTimeS() const { return m_serviceTimeS; }
    double meanOutstanding() const { return m_meanOutstanding; }
    double outstandingVariance() const { return m_outstandingVariance; }
    /// Share of recent attempts that failed, from 0 to 1.
    double failureShare() const { return m_failureShare; }

private:
    double m_serviceTimeS;
    double m_meanOutstanding;
    double m_outstandingVariance;
    double m_failureShare = 0;
    std::uint64_t m_latencyRatioCount = 0;
    std::uint64_t m_outstandingCount = 0;
};

/// Estimated load and response time of one worker at a given time.
struct load_prediction
{
    /// Time in seconds until the response to a call that is sent now, including the network.
    double responseTimeS = 0;
    /// `responseTimeS` without the slowdown factor.
    double baseResponseTimeS = 0;
    /// Ratio of the observed to the expected response times.
    double slowdown = 1;
    /// Number of outstanding calls at the worker, running and queued, from all gateways.
    double outstanding = 0;
    /// Standard deviation of `outstanding`.
    double outstandingDeviation = 0;
    /// Share of attempts that fail in excess of the group's failure share, from 0 to 1.
    double failureExcess = 0;
};

/// Load estimate of one worker from its last report, this gateway's calls in flight to it and the
/// observed latency.
///
/// Outstanding calls: the reported number reverts to the group's mean as the report ages, while its
/// variance grows towards the group's variance. This is the exact form for an Ornstein-Uhlenbeck
/// process, the usual heavy-traffic approximation of a queue. Calls of this gateway that the report
/// cannot include yet are added.
///
/// Slowdown: inverse of the estimated rate (posterior mean) of exponentially distributed response
/// times with censored observations and a gamma prior,
///     (prior + observed time) / (prior + responses),
/// where the observed time is the sum of the durations of this gateway's attempts, each in units of
/// its expected response time. A call in flight counts with its age, so that an overdue call raises
/// the slowdown before it ends.
class load_estimate
{
public:
    /// Adds an attempt in flight.
    /// \param expectedResponseTimeS expected response time in seconds, without the slowdown factor.
    void startAttempt(instant now, double expectedResponseTimeS);

    /// Removes the attempt in flight that was started `elapsed` ago.
    /// \param served true if the worker executed the call without an error, false after a failure,
    /// a rejection or a cancellation.
    /// \return ratio of the observed to the expected response time; std::nullopt if the call was
    /// not served.
    std::optional<double> finishAttempt(instant now, duration elapsed, bool served,
                                        const group_estimate &group, const estimate_tuning &tuning);

    /// Stores a report that arrived at `now`.
    /// \param roundTrip network round-trip time; calls sent within this time before `now` are not
    /// included in the report.
    void addReport(instant now, const load_report &report, duration roundTrip);

    /// Records whether an attempt failed.
    void addOutcome(instant now, bool failed);

    /// Marks the report as stale, so that `predict` no longer uses it, and resets the observed
    /// latency and the failures. The age of calls in flight counts from `now` on.
    void markStale(instant now);

    /// Estimates the worker's load and response time.
    /// \param slots number of calls that the worker executes concurrently.
    /// \param roundTripS network round-trip time to the worker, in seconds.
    /// \param normalDeviate random number with mean 0 and variance 1. The number of outstanding
    /// calls is shifted by the product of this number, `estimate_tuning::samplingDeviationFactor`
    /// and the standard deviation of the estimate. 0 gives the prediction for the whole
    /// distribution: the mean number of outstanding calls, with its variance included in the
    /// expected queueing time.
    load_prediction predict(instant now, const group_estimate &group, const estimate_tuning &tuning,
                            unsigned slots, double roundTripS, double normalDeviate) const;

    unsigned inFlight() const { return static_cast<unsigned>(m_attempts.size()); }
    const std::optional<load_report> &report() const { return m_report; }
    /// Age of the last report; `duration::max()` if there is no report or the report is stale.
    duration reportAge(instant now) const;

private:
    struct in_flight_attempt
    {
        double startS = 0;
        double expectedResponseTimeS = 0;
    };

    void recountUnreported();
    /// Weight of the observed latency after the decay since its last update.
    double latencyWeight(double nowS, const group_estimate &group,
                         const estimate_tuning &tuning) const;

    /// Number of this gateway's calls that the last report cannot include.
    unsigned m_unreported = 0;
    /// True before the first report, and after `markStale` until the next one.
    bool m_isReportStale = true;
    std::optional<load_report> m_report;
    double m_reportedAtS = 0;
    double m_roundTripS = 0;
    /// Sum of the durations of ended attempts, served or not, each divided by its expected response
    /// time. Decays with the time constant given by `estimate_tuning::latencyDecayFactor` and
    /// `latencyDecayMinS`.
    double m_latencyExposure = 0;
    /// Number of served attempts among them, with the same decay.
    double m_latencyResponses = 0;
    double m_latencyUpdatedAtS = 0;
    /// Number of failed attempts (`m_failures`) and of all attempts recorded by `addOutcome`
    /// (`m_outcomes`), which excludes cancelled ones. Both decay with `outcomeDecayS`.
    double m_failures = 0;
    double m_outcomes = 0;
    double m_outcomesUpdatedAtS = 0;
    std::vector<in_flight_attempt> m_attempts;
};

} // namespace almondnotch
