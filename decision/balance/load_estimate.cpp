#include "decision/balance/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace almondnotch {

namespace {

/// Service time assumed before the first response.
constexpr double firstServiceS = 0.010;
/// A single response moves the group's service time by at most this many expected times, so that
/// one stalled worker does not change what is expected of the others.
constexpr double ratioMax = 5;
/// Averages over about 100 responses; several round trips of a group at the users' sizes.
constexpr double groupWeight = 0.01;
constexpr double slowdownMin = 0.3;
constexpr double slowdownMax = 100;
/// Failures lose their influence over this time.
constexpr double outcomeMemoryS = 1;
/// Outcomes assumed good before the first; one failure alone gives a share of one third.
constexpr double priorOutcomes = 2;
/// A report is distrusted once latency differs from what it implies by more than this factor.
constexpr double trustedFactor = 2;

double secondsOf(instant at)
{
    return toSeconds(at.sinceOrigin());
}

/// exp(-x) for x >= 0 within 0.05 and monotone; a call chooses among up to 20 workers.
double decay(double x)
{
    return 1 / (1 + x * (1 + x * (0.5 + x * 0.25)));
}

/// Mean of max(0, X) for X with the given mean and deviation, by a hyperbola that is exact for a
/// deviation of 0 and within 0.1 deviations of the normal distribution's value.
double positivePart(double mean, double deviation)
{
    return 0.5 * (mean + std::sqrt(mean * mean + deviation * deviation));
}

} // namespace

group_estimate::group_estimate(unsigned slots)
    : m_serviceS(firstServiceS), m_meanTotal(0.5 * slots), m_totalVariance(slots)
{ }

void group_estimate::addRatio(double ratio)
{
    ++m_ratios;
    const double weight = std::max(groupWeight, 1.0 / static_cast<double>(m_ratios + 1));
    m_serviceS *= std::exp(weight * (std::min(ratio, ratioMax) - 1));
    m_serviceS = std::clamp(m_serviceS, 1e-5, 60.0);
}

void group_estimate::addTotal(double total)
{
    ++m_totals;
    const double weight = std::max(groupWeight, 1.0 / static_cast<double>(m_totals + 2));
    const double difference = total - m_meanTotal;
    m_meanTotal += weight * difference;
    m_totalVariance += weight * (difference * difference - m_totalVariance);
}

void group_estimate::addOutcome(bool failed)
{
    m_failureShare += groupWeight * ((failed ? 1.0 : 0.0) - m_failureShare);
}

void load_estimate::attemptStarted(instant now, double expectedS)
{
    m_attempts.push_back({secondsOf(now), std::max(expectedS, 1e-5)});
    m_inverseExpected += 1 / m_attempts.back().expectedS;
    m_startOverExpected += m_attempts.back().startS / m_attempts.back().expectedS;
    ++m_unseen;
}

std::optional<double> load_estimate::attemptEnded(instant now, duration elapsed, bool answered,
                                                  const group_estimate &group,
                                                  const estimate_tuning &tuning)
{
    if (m_attempts.empty())
        return std::nullopt;
    const double startS = secondsOf(now) - toSeconds(elapsed);
    std::size_t nearest = 0;
    for (std::size_t i = 1; i < m_attempts.size(); ++i) {
        if (std::abs(m_attempts[i].startS - startS) < std::abs(m_attempts[nearest].startS - startS))
            nearest = i;
    }
    const attempt_record ended = m_attempts[nearest];
    m_attempts.erase(m_attempts.begin() + static_cast<std::ptrdiff_t>(nearest));
    recount();

    const double nowS = secondsOf(now);
    const double weight = evidenceWeight(nowS, group, tuning);
    m_exposure *= weight;
    m_responses *= weight;
    m_evidenceS = nowS;
    // The record's start and not `elapsed`: after a pause it is later than the true start.
    const double ratio = std::max(0.0, nowS - ended.startS) / ended.expectedS;
    m_exposure += ratio;
    if (!answered)
        return std::nullopt;
    m_responses += 1;
    return ratio;
}

void load_estimate::addReport(instant now, const load_report &report, duration roundTrip)
{
    m_report = report;
    m_reportS = secondsOf(now);
    m_roundTripS = toSeconds(roundTrip);
    m_stale = false;
    recount();
}

void load_estimate::addOutcome(instant now, bool failed)
{
    const double nowS = secondsOf(now);
    const double weight = decay((nowS - m_outcomeS) / outcomeMemoryS);
    m_failures = m_failures * weight + (failed ? 1 : 0);
    m_outcomes = m_outcomes * weight + 1;
    m_outcomeS = nowS;
}

void load_estimate::forget(instant now)
{
    m_stale = true;
    m_exposure = 0;
    m_responses = 0;
    m_failures = 0;
    m_outcomes = 0;
    for (attempt_record &attempt : m_attempts)
        attempt.startS = secondsOf(now);
    recount();
}

load_prediction load_estimate::predict(instant now, const group_estimate &group,
                                       const estimate_tuning &tuning, unsigned slots,
                                       double roundTripS, double deviate) const
{
    const double nowS = secondsOf(now);
    load_prediction out;

    const double weight = evidenceWeight(nowS, group, tuning);
    const double inFlightExposure = std::max(0.0, nowS * m_inverseExpected - m_startOverExpected);
    out.slowdown = (tuning.priorResponses + weight * m_exposure + inFlightExposure)
                   / (tuning.priorResponses + weight * m_responses);
    out.slowdown = std::clamp(out.slowdown, slowdownMin, slowdownMax);

    double reported = 0;
    double memory = 0;
    if (m_report && !m_stale) {
        reported = m_report->running + m_report->queued;
        memory = decay((nowS - m_reportS) / (tuning.relaxFactor * group.serviceS()));
        // A lagging or misleading report shows in latencies that it does not explain.
        const double contradiction = std::max(out.slowdown, 1 / out.slowdown) / trustedFactor - 1;
        if (contradiction > 0)
            memory /= 1 + contradiction;
    }
    const double known = static_cast<double>(inFlight());
    const double unseen = m_report && !m_stale ? m_unseen : 0;
    double total = memory * reported + (1 - memory) * group.meanTotal();
    const double variance = (1 - memory * memory) * group.totalVariance();
    out.spread = std::sqrt(variance);
    total += deviate * tuning.noiseScale * out.spread;
    // Own calls are certain, whatever a report says.
    out.total = std::max(total + unseen, known);

    const double deviation
        = std::sqrt(tuning.freshSpread * tuning.freshSpread + (deviate == 0 ? variance : 0));
    const double ahead = positivePart(out.total + 1 - slots, deviation) / slots;
    out.baseS = roundTripS + group.serviceS() * (1 + ahead);
    out.timeS = roundTripS + (out.baseS - roundTripS) * out.slowdown;

    const double outcomeWeight = decay((nowS - m_outcomeS) / outcomeMemoryS);
    const double failureShare
        = m_failures * outcomeWeight / (priorOutcomes + m_outcomes * outcomeWeight);
    out.failureExcess = std::max(0.0, failureShare - group.failureShare());
    return out;
}

duration load_estimate::reportAge(instant now) const
{
    if (!m_report || m_stale)
        return duration::max();
    return duration(static_cast<std::int64_t>((secondsOf(now) - m_reportS) * 1e6));
}

void load_estimate::recount()
{
    m_inverseExpected = 0;
    m_startOverExpected = 0;
    m_unseen = 0;
    for (const attempt_record &attempt : m_attempts) {
        m_inverseExpected += 1 / attempt.expectedS;
        m_startOverExpected += attempt.startS / attempt.expectedS;
        if (attempt.startS > m_reportS - m_roundTripS)
            ++m_unseen;
    }
}

double load_estimate::evidenceWeight(double nowS, const group_estimate &group,
                                     const estimate_tuning &tuning) const
{
    const double memoryS = std::max(tuning.memoryMinS, tuning.memoryFactor * group.serviceS());
    return decay(std::max(0.0, nowS - m_evidenceS) / memoryS);
}

} // namespace almondnotch
