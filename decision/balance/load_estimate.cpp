#include "decision/balance/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace almondnotch {

namespace {

/// Service time in seconds that is assumed before the first response.
constexpr double initialServiceTimeS = 0.010;
/// Upper limit of a single latency ratio. Keeps one stalled worker from raising the service time
/// that is expected of the whole group.
constexpr double latencyRatioMax = 5;
/// Weight of a sample in the group's moving averages, which cover about 100 responses. With the
/// group sizes of the reference deployments (docs/design.md, section 1.1) these are several
/// responses of each worker.
constexpr double groupAverageWeight = 0.01;
constexpr double slowdownMin = 0.3;
constexpr double slowdownMax = 100;
/// Time constant in seconds with which the weight of attempt outcomes decays.
constexpr double outcomeDecayS = 1;
/// Number of successful attempts assumed before the first one. With 2, a single failure gives a
/// failure share of one third.
constexpr double priorSuccesses = 2;
/// The weight of a report is reduced if the observed latency differs by more than this factor from
/// the latency that follows from the report.
constexpr double reportLatencyTolerance = 2;

double secondsSinceOrigin(instant at)
{
    return toSeconds(at.sinceOrigin());
}

/// Approximates exp(-x) for x >= 0 with an error below 0.05; monotone. Cheaper than `std::exp`, and
/// each selection evaluates it for up to 20 workers.
double decay(double x)
{
    return 1 / (1 + x * (1 + x * (0.5 + x * 0.25)));
}

/// Approximates the mean of max(0, X) for a normally distributed X by a hyperbola. It is exact for
/// a deviation of 0 and otherwise off by at most 0.1 deviations.
double positivePart(double mean, double deviation)
{
    return 0.5 * (mean + std::sqrt(mean * mean + deviation * deviation));
}

} // namespace

group_estimate::group_estimate(unsigned slots)
    : m_serviceTimeS(initialServiceTimeS), m_meanOutstanding(0.5 * slots),
      m_outstandingVariance(slots)
{ }

void group_estimate::addLatencyRatio(double ratio)
{
    ++m_latencyRatioCount;
    const double weight
        = std::max(groupAverageWeight, 1.0 / static_cast<double>(m_latencyRatioCount + 1));
    m_serviceTimeS *= std::exp(weight * (std::min(ratio, latencyRatioMax) - 1));
    m_serviceTimeS = std::clamp(m_serviceTimeS, 1e-5, 60.0);
}

void group_estimate::addOutstanding(double outstanding)
{
    ++m_outstandingCount;
    const double weight
        = std::max(groupAverageWeight, 1.0 / static_cast<double>(m_outstandingCount + 2));
    const double difference = outstanding - m_meanOutstanding;
    m_meanOutstanding += weight * difference;
    m_outstandingVariance += weight * (difference * difference - m_outstandingVariance);
}

void group_estimate::addOutcome(bool failed)
{
    m_failureShare += groupAverageWeight * ((failed ? 1.0 : 0.0) - m_failureShare);
}

void load_estimate::startAttempt(instant now, double expectedResponseTimeS)
{
    m_attempts.push_back({secondsSinceOrigin(now), std::max(expectedResponseTimeS, 1e-5)});
    ++m_unreported;
}

std::optional<double> load_estimate::finishAttempt(instant now, duration elapsed, bool served,
                                                   const group_estimate &group,
                                                   const estimate_tuning &tuning)
{
    if (m_attempts.empty())
        return std::nullopt;
    const double startS = secondsSinceOrigin(now) - toSeconds(elapsed);
    std::size_t nearest = 0;
    for (std::size_t i = 1; i < m_attempts.size(); ++i) {
        if (std::abs(m_attempts[i].startS - startS) < std::abs(m_attempts[nearest].startS - startS))
            nearest = i;
    }
    const in_flight_attempt endedAttempt = m_attempts[nearest];
    m_attempts.erase(m_attempts.begin() + static_cast<std::ptrdiff_t>(nearest));
    recountUnreported();

    const double nowS = secondsSinceOrigin(now);
    const double weight = latencyWeight(nowS, group, tuning);
    m_latencyExposure *= weight;
    m_latencyResponses *= weight;
    m_latencyUpdatedAtS = nowS;
    // Uses the recorded start instead of `elapsed`, since `markStale` moves it forward after a
    // pause of this process.
    const double ratio
        = std::max(0.0, nowS - endedAttempt.startS) / endedAttempt.expectedResponseTimeS;
    m_latencyExposure += ratio;
    if (!served)
        return std::nullopt;
    m_latencyResponses += 1;
    return ratio;
}

void load_estimate::addReport(instant now, const load_report &report, duration roundTrip)
{
    m_report = report;
    m_reportedAtS = secondsSinceOrigin(now);
    m_roundTripS = toSeconds(roundTrip);
    m_isReportStale = false;
    recountUnreported();
}

void load_estimate::addOutcome(instant now, bool failed)
{
    const double nowS = secondsSinceOrigin(now);
    const double weight = decay((nowS - m_outcomesUpdatedAtS) / outcomeDecayS);
    m_failures = m_failures * weight + (failed ? 1 : 0);
    m_outcomes = m_outcomes * weight + 1;
    m_outcomesUpdatedAtS = nowS;
}

void load_estimate::markStale(instant now)
{
    m_isReportStale = true;
    m_latencyExposure = 0;
    m_latencyResponses = 0;
    m_failures = 0;
    m_outcomes = 0;
    for (in_flight_attempt &attempt : m_attempts)
        attempt.startS = secondsSinceOrigin(now);
    recountUnreported();
}

load_prediction load_estimate::predict(instant now, const group_estimate &group,
                                       const estimate_tuning &tuning, unsigned slots,
                                       double roundTripS, double normalDeviate) const
{
    const double nowS = secondsSinceOrigin(now);
    load_prediction out;

    const double weight = latencyWeight(nowS, group, tuning);
    double inFlightLatencyExposure = 0;
    for (const in_flight_attempt &attempt : m_attempts)
        inFlightLatencyExposure
            += std::max(0.0, nowS - attempt.startS) / attempt.expectedResponseTimeS;
    out.slowdown = (tuning.priorResponses + weight * m_latencyExposure + inFlightLatencyExposure)
                   / (tuning.priorResponses + weight * m_latencyResponses);
    out.slowdown = std::clamp(out.slowdown, slowdownMin, slowdownMax);

    double reported = 0;
    double reportWeight = 0;
    if (m_report && !m_isReportStale) {
        reported = m_report->running + m_report->queued;
        reportWeight
            = decay((nowS - m_reportedAtS) / (tuning.reportDecayFactor * group.serviceTimeS()));
        // Latencies that do not fit the report indicate that it lags or is wrong.
        const double contradiction
            = std::max(out.slowdown, 1 / out.slowdown) / reportLatencyTolerance - 1;
        if (contradiction > 0)
            reportWeight /= 1 + contradiction;
    }
    const double ownInFlight = static_cast<double>(inFlight());
    const double unreported = m_report && !m_isReportStale ? m_unreported : 0;
    double outstanding = reportWeight * reported + (1 - reportWeight) * group.meanOutstanding();
    const double variance = (1 - reportWeight * reportWeight) * group.outstandingVariance();
    out.outstandingDeviation = std::sqrt(variance);
    outstanding += normalDeviate * tuning.samplingDeviationFactor * out.outstandingDeviation;
    // The worker has at least the calls that this gateway has in flight to it.
    out.outstanding = std::max(outstanding + unreported, ownInFlight);

    const double deviation = std::sqrt(tuning.freshReportDeviation * tuning.freshReportDeviation
                                       + (normalDeviate == 0 ? variance : 0));
    const double expectedQueueWait = positivePart(out.outstanding + 1 - slots, deviation) / slots;
    out.baseResponseTimeS = roundTripS + group.serviceTimeS() * (1 + expectedQueueWait);
    out.responseTimeS = roundTripS + (out.baseResponseTimeS - roundTripS) * out.slowdown;

    const double outcomeWeight = decay((nowS - m_outcomesUpdatedAtS) / outcomeDecayS);
    const double failureShare
        = m_failures * outcomeWeight / (priorSuccesses + m_outcomes * outcomeWeight);
    out.failureExcess = std::max(0.0, failureShare - group.failureShare());
    return out;
}

duration load_estimate::reportAge(instant now) const
{
    if (!m_report || m_isReportStale)
        return duration::max();
    return duration(static_cast<std::int64_t>((secondsSinceOrigin(now) - m_reportedAtS) * 1e6));
}

void load_estimate::recountUnreported()
{
    m_unreported = 0;
    for (const in_flight_attempt &attempt : m_attempts) {
        if (attempt.startS > m_reportedAtS - m_roundTripS)
            ++m_unreported;
    }
}

double load_estimate::latencyWeight(double nowS, const group_estimate &group,
                                    const estimate_tuning &tuning) const
{
    const double decayS
        = std::max(tuning.latencyDecayMinS, tuning.latencyDecayFactor * group.serviceTimeS());
    return decay(std::max(0.0, nowS - m_latencyUpdatedAtS) / decayS);
}

} // namespace almondnotch
