#include "decision/routing/placement.h"

#include <algorithm>
#include <cmath>

#include "core/mechanisms.h"

namespace almondnotch {

namespace {

/// Age up to which a report is acted on without another probe.
constexpr duration freshFor = milliseconds(20);
/// Time in which a report loses most of its meaning.
constexpr duration reportFade = milliseconds(400);
/// Slowdown of a worker that has just started.
constexpr double coldSlowdown = 2.0;
/// Slowdown that is assumed of a worker whose slots are all in use, beside that of crowding; tells
/// workers apart.
constexpr double occupancySlowdown = 0.15;
/// What the bytes between failure domains cost, as a share of a request's value.
constexpr double distanceShare = 0.2;
/// Share of its value that a request loses if it misses its objective.
constexpr double lateShare = 0.9;
/// Time since the last report for which a connection to the worker is probably open, and what a new
/// one costs, as a part of the worker's cost.
constexpr duration connectionKept = seconds(5);
constexpr double connectionPart = 0.06;
/// Equal workers are told apart by chance, within this part of their cost.
constexpr double jitterPart = 0.1;

} // namespace

scored_worker placement::score(instant now, const placement_request &request,
                               worker_index index) const
{
    const pooled_worker &worker = m_pool.at(index);
    const unsigned wholeSlots = std::max(worker.report.slots, 1U);
    const double slots = wholeSlots;
    const duration age = worker.hasReport ? now - worker.reportedAt : seconds(60);
    const double trust = std::exp(-toSeconds(age) / toSeconds(reportFade));
    scored_worker out;
    out.worker = index;
    out.isNear = worker.entry.failureDomain == m_failureDomain;
    out.isFresh = worker.hasReport && age <= freshFor;

    double slowdown = worker.report.slowdownPercent / 100.0;
    if (!out.isFresh)
        slowdown = trust * slowdown + (1 - trust) * m_pool.usualSlowdown();
    out.isUndisturbed = slowdown <= undisturbedSlowdown;
    if (now < worker.warmAt)
        slowdown = std::max(slowdown, coldSlowdown);
    const double reported = worker.report.running + worker.report.queued;
    const double busy
        = std::max<double>(trust * reported + worker.sentSinceReport, worker.inFlight);
    const double waiting = std::max(0.0, busy + 1 - slots) / slots;
    out.hasRoom = busy + 1 <= slots;
    out.isCrowded = busy + 1 > crowding_estimate::calmSlots(wholeSlots);
    out.hasCalmRoom = out.hasRoom
                      && !(out.isCrowded && m_pool.crowding().costsThroughput(wholeSlots)
                           && isMechanismEnabled("calm_slots"));
    out.isIdle = 2 * (busy + 1) <= slots;
    if (out.isCrowded)
        slowdown *= m_pool.crowding().factor();
    out.expected = scaled(
        request.work, slowdown * (1 + occupancySlowdown * std::min(1.0, busy / slots) + waiting));

    const double failures
        = worker.failureShare * std::exp(-toSeconds(now - worker.failureAt) / 4.0);
    const double risk = failures + (out.isNear ? 0.0 : distanceShare)
                        + (out.expected > request.timeToObjective ? lateShare : 0.0);
    const bool isConnected = worker.hasReport && age < connectionKept;
    out.cost = scaled(out.expected + scaled(request.objective, risk),
                      1 + jitterPart * m_random.uniform() + (isConnected ? 0.0 : connectionPart));
    return out;
}

/// \param removedFor how long ago the worker may have been removed.
bool placement::isUsable(instant now, const placement_request &request, worker_index index,
                         duration removedFor) const
{
    const pooled_worker &worker = m_pool.at(index);
    const bool isTried
        = std::find(request.tried.begin(), request.tried.end(), index) != request.tried.end();
    const bool isRemoved
        = worker.removedAt != instant::never() && now - worker.removedAt >= removedFor;
    return worker.entry.service == request.service && !worker.isReplaced && !worker.entry.leaving
           && !isTried && !isRemoved;
}

void placement::collect(instant now, const placement_request &request, duration removedFor,
                        std::vector<scored_worker> &out) const
{
    for (const worker_index index : m_pool.ofService(request.service)) {
        if (isUsable(now, request, index, removedFor))
            out.push_back(score(now, request, index));
    }
}

std::optional<scored_worker> placement::assess(instant now, const placement_request &request,
                                               worker_index index, const removal_rules &rules) const
{
    if (!isUsable(now, request, index, rules.lapse) || m_pool.at(index).shunnedUntil > now)
        return std::nullopt;
    return score(now, request, index);
}

std::vector<scored_worker> placement::rank(instant now, const placement_request &request,
                                           const removal_rules &rules) const
{
    std::vector<scored_worker> out;
    collect(now, request, rules.lapse, out);
    if (out.empty())
        collect(now, request, rules.lastResort, out);
    // Workers that fail are left out as long as others remain.
    const bool hasSound
        = std::any_of(out.begin(), out.end(), [this, now](const scored_worker &one) {
              return m_pool.at(one.worker).shunnedUntil <= now;
          });
    if (hasSound)
        std::erase_if(out, [this, now](const scored_worker &one) {
            return m_pool.at(one.worker).shunnedUntil > now;
        });
    std::sort(out.begin(), out.end(), [](const scored_worker &left, const scored_worker &right) {
        return left.cost < right.cost;
    });
    return out;
}

} // namespace almondnotch
