#include "decision/routing/requests/overload_policy.h"

#include <algorithm>

#include "core/mechanisms.h"

namespace almondnotch {

namespace {

/// With this number of requests ahead, a service counts as busy.
constexpr std::size_t busyRequestsAhead = 3;
/// A request is held only if, after `holdInterval`, at least this multiple of its expected service
/// time is still left until its objective.
constexpr double holdHeadroomFactor = 1.35;
/// If no worker is usable, a request is held for at most this fraction (1/8) of its objective.
constexpr int noWorkerHoldDivisor = 8;
/// Callers honour a `Retry-After` of at most this fraction (1/3) of the time that they have left.
constexpr int retryAfterDivisor = 3;

/// True if the request is better sent later: the workers are slow or saturated now, and the
/// objective can still be met later.
bool canMeetObjectiveLater(instant now, const held_request &request, const scored_worker &best,
                           const service_room &room)
{
    if (best.hasFreshReport && best.hasUnsaturatedSlot
        && now + best.expectedTime <= request.objectiveAt)
        return false;
    // If the best worker is nearly saturated but has a free slot, the request is held only as long
    // as this worker can still meet the objective.
    const bool isSaturatedFallback
        = best.hasFreshReport && best.hasFreeSlot && best.isNearSaturation;
    const double headroom
        = holdHeadroomFactor * (isSaturatedFallback ? room.saturationFactor : 1.0);
    return now + holdInterval < request.objectiveAt - scaled(request.serviceTime, headroom);
}

/// True if it takes longer to send the requests ahead than the request can be held.
bool isQueueTooLong(instant now, const held_request &request, const service_room &room)
{
    if (room.requestsAhead < busyRequestsAhead)
        return false;
    const duration slack
        = request.objectiveAt - now - scaled(request.serviceTime, holdHeadroomFactor);
    return static_cast<double>(room.requestsAhead)
           > room.startsPerSecond * toSeconds(std::max(slack, duration {0}));
}

} // namespace

overload_verdict judgeHeldRequest(instant now, const held_request &request,
                                  const scored_worker &best, const service_room &room)
{
    if (canMeetObjectiveLater(now, request, best, room)) {
        const bool isRefused = !request.wasHeld && isQueueTooLong(now, request, room);
        return isRefused ? overload_verdict::refuse_queue_too_long : overload_verdict::hold;
    }
    const bool isLate = now + best.expectedTime > request.objectiveAt;
    const bool isBusy
        = !best.hasFreeSlot || room.requestsAhead >= busyRequestsAhead
          || (room.usableFraction < usableFractionMin && isMechanismEnabled("scarce_refusal"));
    const bool isRefused = now + best.expectedTime > request.deadline || (isLate && isBusy);
    return isRefused ? overload_verdict::refuse_no_room : overload_verdict::send;
}

bool mayAwaitUsableWorker(instant now, const held_request &request, duration objective,
                          instant usableAt)
{
    const instant holdEnd = request.arrivedAt + objective / noWorkerHoldDivisor;
    return usableAt <= holdEnd && now + holdInterval < holdEnd
           && now + holdInterval < request.deadline;
}

duration return_schedule::place(instant now, const held_request &request, const service_room &room,
                                const refusal &cause)
{
    const duration longest = std::max((request.deadline - now) / retryAfterDivisor, returnDelayMin);
    if (cause.wasTurnedAway && cause.usableAt <= now)
        return std::min(longest, returnDelayMin);
    // Half a service time is what a slot in use takes to become free in the mean.
    const instant earliest = std::max(now + request.serviceTime / 2, cause.usableAt);
    const duration interval = scaled(seconds(1), 1 / std::max(room.startsPerSecond, 1.0));
    const instant wanted = std::max(earliest, m_lastPlace + interval);
    const instant place = std::clamp(wanted, now + returnDelayMin, now + longest);
    m_lastPlace = place;
    return place - now;
}

} // namespace almondnotch
