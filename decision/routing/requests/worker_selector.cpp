#include "decision/routing/requests/worker_selector.h"

#include <algorithm>
#include <cmath>

#include "core/mechanisms.h"

namespace almondnotch {

namespace {

/// Maximum age at which a report is relied on without another probe.
constexpr duration freshReportAgeMax = milliseconds(20);
/// Time in which the weight of a report falls to 1/e.
constexpr duration reportDecayTime = milliseconds(400);
/// Minimum slowdown assumed for a worker that is warming up.
constexpr double warmUpSlowdown = 2.0;
/// Relative increase of the expected time if all slots of the worker are in use; with fewer slots
/// in use, the increase is proportionally smaller. It is applied in addition to the slowdown near
/// saturation, so that lightly loaded workers are ranked first.
constexpr double occupancySlowdown = 0.15;
/// Penalty for cross-domain traffic while there is room at home, as a fraction of the latency
/// objective.
constexpr double crossDomainCostFraction = 0.2;
/// Penalty for a missed objective, as a fraction of the latency objective. A late response loses
/// this fraction of its value, and the loss of the full value is rated like a delay of one latency
/// objective.
constexpr double missedObjectiveCostFraction = 0.9;
/// Time since the last report within which a connection to the worker is probably still open, and
/// the cost of a new connection as a fraction of the worker's cost.
constexpr duration connectionKeepAlive = seconds(5);
constexpr double newConnectionCostFraction = 0.06;
/// Reduction of the cost of a worker that accepts more requests than it has got, as a fraction of
/// the cost. Such a worker can serve requests that would otherwise load unlimited ones.
constexpr double unusedLimitDiscount = 0.3;
/// Maximum random increase of the cost, as a fraction of it, so that workers of equal cost are
/// selected in random order.
constexpr double jitterFraction = 0.1;

} // namespace

/// What is known of the worker's failure domain if it is not the gateway's own.
domain_terms worker_selector::termsOf(const selection_criteria &criteria,
                                      const pooled_worker &worker) const
{
    const auto found = std::find_if(criteria.domains.begin(), criteria.domains.end(),
                                    [&worker](const domain_terms &domain) {
                                        return domain.name == worker.entry.failureDomain;
                                    });
    return found == criteria.domains.end() ? domain_terms {} : *found;
}

scored_worker worker_selector::score(instant now, const selection_criteria &criteria,
                                     worker_index index) const
{
    const pooled_worker &worker = m_pool.at(index);
    const unsigned slotCount = std::max(worker.report.slots, 1U);
    const double slots = slotCount;
    const duration age = worker.hasReport ? now - worker.reportedAt : seconds(60);
    const double reportConfidence = std::exp(-toSeconds(age) / toSeconds(reportDecayTime));
    scored_worker out;
    out.worker = index;
    out.isLocal = worker.entry.failureDomain == m_failureDomain;
    out.hasFreshReport = worker.hasReport && age <= freshReportAgeMax;

    double slowdown = worker.report.slowdownPercent / 100.0;
    if (!out.hasFreshReport)
        slowdown = reportConfidence * slowdown + (1 - reportConfidence) * m_pool.meanSlowdown();
    out.isAtFullSpeed = slowdown <= fullSpeedSlowdownMax;
    out.isWarmingUp = now < worker.warmUpEnd;
    if (out.isWarmingUp)
        slowdown = std::max(slowdown, warmUpSlowdown);
    const domain_terms domain = out.isLocal ? domain_terms {} : termsOf(criteria, worker);
    const double reported = reportConfidence * (worker.report.running + worker.report.queued)
                            + (1 - reportConfidence) * domain.occupiedShare * slots;
    const double occupiedSlots
        = std::max<double>(reported + worker.sentSinceReport, worker.inFlight);
    const double waiting = std::max(0.0, occupiedSlots + 1 - slots) / slots;
    out.hasFreeSlot = occupiedSlots + 1 <= slots;
    out.isNearSaturation = occupiedSlots + 1 > saturation_slowdown::unsaturatedSlots(slotCount);
    out.hasUnsaturatedSlot
        = out.hasFreeSlot
          && !(out.isNearSaturation && m_pool.saturation().reducesThroughput(slotCount)
               && isMechanismEnabled("calm_slots"));
    out.isLightlyLoaded = 2 * (occupiedSlots + 1) <= slots;
    if (out.isNearSaturation)
        slowdown *= m_pool.saturation().factor();
    out.expectedTime
        = domain.roundTrip
          + scaled(criteria.serviceTime,
                   slowdown
                       * (1 + occupancySlowdown * std::min(1.0, occupiedSlots / slots) + waiting));

    // The failure rate decays with the time constant `failureDecayTime` of the worker pool, 4 s.
    const double failures
        = worker.failureRate * std::exp(-toSeconds(now - worker.lastFailureAt) / 4.0);
    const double penalty
        = failures + (out.isLocal ? 0.0 : crossDomainCostFraction * (1 - criteria.homeShortage))
          + (out.expectedTime > criteria.timeToObjective ? missedObjectiveCostFraction : 0.0);
    // A worker that has joined is not connected yet. Without the exception, the connected workers
    // would get all requests as long as they have free slots.
    const bool isConnected
        = (worker.hasReport && age < connectionKeepAlive) || now < worker.joiningUntil;
    out.cost = scaled(out.expectedTime + scaled(criteria.objective, penalty),
                      1 + jitterFraction * m_random.uniform()
                          + (isConnected ? 0.0 : newConnectionCostFraction)
                          - (worker.availability.pacer().isFull(now) ? unusedLimitDiscount : 0.0));
    return out;
}

/// True if the worker serves the request's service and was not tried yet.
bool worker_selector::isCandidate(const selection_criteria &criteria, worker_index index) const
{
    const bool isExcluded
        = std::find(criteria.excludedWorkers.begin(), criteria.excludedWorkers.end(), index)
          != criteria.excludedWorkers.end();
    return !isExcluded && m_pool.at(index).entry.service == criteria.service;
}

/// True if the request may be sent to the worker. Ejected workers are not excluded here.
/// \param gracePeriod time for which a worker stays usable after its entry was removed.
bool worker_selector::isUsable(instant now, const selection_criteria &criteria, worker_index index,
                               duration gracePeriod) const
{
    return isCandidate(criteria, index)
           && m_pool.at(index).availability.reason(now, gracePeriod) == unavailability::none;
}

std::optional<instant> worker_selector::firstPauseEnd(instant now,
                                                      const selection_criteria &criteria) const
{
    std::optional<instant> first;
    for (const worker_index index : m_pool.workersOf(criteria.service)) {
        if (!isCandidate(criteria, index))
            continue;
        const worker_availability &availability = m_pool.at(index).availability;
        const unavailability reason = availability.reason(now, duration {0});
        if (reason == unavailability::limit_reached || reason == unavailability::cold)
            return std::nullopt;
        const instant end = availability.pausedUntil();
        if (reason == unavailability::paused && (!first || end < *first))
            first = end;
    }
    return first;
}

void worker_selector::appendUsable(instant now, const selection_criteria &criteria,
                                   duration gracePeriod, std::vector<scored_worker> &out) const
{
    for (const worker_index index : m_pool.workersOf(criteria.service)) {
        if (isUsable(now, criteria, index, gracePeriod))
            out.push_back(score(now, criteria, index));
    }
}

std::optional<scored_worker>
worker_selector::assess(instant now, const selection_criteria &criteria, worker_index index,
                        const removal_grace_periods &gracePeriods) const
{
    if (!isUsable(now, criteria, index, gracePeriods.afterMassExpiry)
        || m_pool.at(index).ejectedUntil > now)
        return std::nullopt;
    return score(now, criteria, index);
}

std::vector<scored_worker> worker_selector::rank(instant now, const selection_criteria &criteria,
                                                 const removal_grace_periods &gracePeriods) const
{
    std::vector<scored_worker> out;
    appendUsable(now, criteria, gracePeriods.afterMassExpiry, out);
    if (out.empty())
        appendUsable(now, criteria, gracePeriods.lastResort, out);
    // Ejected workers are excluded if other workers are usable.
    const bool hasHealthy
        = std::any_of(out.begin(), out.end(), [this, now](const scored_worker &candidate) {
              return m_pool.at(candidate.worker).ejectedUntil <= now;
          });
    if (hasHealthy)
        std::erase_if(out, [this, now](const scored_worker &candidate) {
            return m_pool.at(candidate.worker).ejectedUntil > now;
        });
    std::sort(out.begin(), out.end(), [](const scored_worker &left, const scored_worker &right) {
        return left.cost < right.cost;
    });
    return out;
}

} // namespace almondnotch
