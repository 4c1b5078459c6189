#include "decision/routing/workers/worker_availability.h"

#include <algorithm>
#include <array>

#include "core/mechanisms.h"

namespace almondnotch {

namespace {

/// Maximum duration of a pause, so that a faulty worker does not put itself out of use for good.
constexpr duration pauseMax = seconds(600);

} // namespace

std::string_view toString(unavailability reason)
{
    static constexpr std::array<std::string_view, 8> names {
        "none", "removed", "leaving", "replaced", "paused", "limit reached", "evacuated", "cold"};
    return names.at(static_cast<std::size_t>(reason));
}

void worker_availability::entryRead(bool isLeaving, entry_origin origin)
{
    m_removedAt = instant::never();
    m_isEntryFromCopy = origin == entry_origin::copy;
    if (m_hasLeftBeforeCopy && m_isEntryFromCopy)
        return;
    m_hasLeftBeforeCopy = false;
    if (m_entrySaysLeaving && !isLeaving)
        m_workerSaysLeaving = false;
    m_entrySaysLeaving = isLeaving;
    m_peerSaysLeaving = false;
}

void worker_availability::pauseRequested(instant now, duration length)
{
    m_pausedUntil = std::max(m_pausedUntil, now + std::min(length, pauseMax));
}

void worker_availability::limitWhileCold(instant now, instant warmUpEnd,
                                         const request_limit_share &share)
{
    m_coldUntil = warmUpEnd;
    m_coldPacer.setShare(now, share);
}

void worker_availability::requestSent(instant now)
{
    m_pacer.requestSent(now);
    m_coldPacer.requestSent(now);
}

unavailability worker_availability::reason(instant now, duration removalGracePeriod) const
{
    if (m_isReplaced)
        return unavailability::replaced;
    if (m_isEvacuated && isMechanismEnabled("evacuations"))
        return unavailability::evacuated;
    if (isLeaving() && isMechanismEnabled("leaving_workers"))
        return unavailability::leaving;
    if (isRemoved() && now - m_removedAt >= removalGracePeriod)
        return unavailability::removed;
    if (isPaused(now) && isMechanismEnabled("worker_pauses"))
        return unavailability::paused;
    if (!m_pacer.allows(now) && isMechanismEnabled("request_pacing"))
        return unavailability::limit_reached;
    if (isLimitedWhileCold(now) && !m_coldPacer.allows(now)
        && isMechanismEnabled("cold_request_share"))
        return unavailability::cold;
    return unavailability::none;
}

} // namespace almondnotch
