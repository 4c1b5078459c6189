#pragma once

#include <cstddef>

#include "core/time.h"
#include "decision/routing/requests/worker_selector.h"

namespace almondnotch {

/// A request for which no worker is acceptable (see `scored_worker::isAcceptable`).
struct held_request
{
    instant arrivedAt;
    instant objectiveAt;
    instant deadline;
    /// Expected service time on an idle worker at normal speed.
    duration serviceTime {0};
    /// The request has been held already during this selection.
    bool wasHeld = false;
};

/// What a service can take now, as far as this gateway knows.
struct service_room
{
    /// Held requests of the service that take precedence: more urgent ones, and among equals those
    /// with less time left.
    std::size_t requestsAhead = 0;
    /// Rate at which this gateway starts attempts at workers of the service.
    double startsPerSecond = 0;
    /// See `worker_pool::usableFraction`.
    double usableFraction = 1;
    /// Slowdown of nearly saturated workers, see `saturation_slowdown::factor`.
    double saturationFactor = 1;
};

/// What happens to a held request.
enum class overload_verdict {
    /// It is sent to the worker with the lowest cost, though that one is not acceptable.
    send,
    /// It is held, and its selection is retried.
    hold,
    /// More requests are ahead of it than can be served before its objective.
    refuse_queue_too_long,
    /// No worker can answer it in time.
    refuse_no_room,
};

/// Interval at which the selection of a held request is retried.
constexpr duration holdInterval = milliseconds(25);

/// Usable fraction of a service below which it counts as busy. To send a request that misses its
/// objective would then take a slot from one that can still meet it.
constexpr double usableFractionMin = 0.2;

/// Shortest `Retry-After`.
constexpr duration returnDelayMin = milliseconds(20);

/// Decides what happens to a request for which no worker is acceptable.
/// \param best the worker with the lowest cost.
overload_verdict judgeHeldRequest(instant now, const held_request &request,
                                  const scored_worker &best, const service_room &room);

/// True if a request for which no worker is usable is held for a while, since one may become
/// usable.
/// \param usableAt when the first paused worker may be used again; in the past if none is paused.
bool mayAwaitUsableWorker(instant now, const held_request &request, duration objective,
                          instant usableAt);

/// Why a request is refused, as far as it matters for the time of its return.
struct refusal
{
    /// Workers are known to take no requests before this time.
    instant usableAt;
    /// A worker with room has turned the request away, so that the next try may succeed at once.
    bool wasTurnedAway = false;
};

/// When the callers of refused requests of one service are told to return.
///
/// Each refused caller gets a place of its own behind those who were refused before, at the rate at
/// which the service takes requests, so that the callers return in the order of their refusal and
/// not all at once.
class return_schedule
{
public:
    /// \return time for `Retry-After`: at most a third of the time left until the deadline, since
    /// callers do not honour a longer one, and at least `returnDelayMin`.
    duration place(instant now, const held_request &request, const service_room &room,
                   const refusal &cause);

private:
    instant m_lastPlace;
};

} // namespace almondnotch
