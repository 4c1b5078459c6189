#pragma once

#include <limits>
#include <string>

#include <nlohmann/json.hpp>

#include "core/time.h"
#include "decision/events.h"
#include "decision/routing/items/published.h"
#include "decision/routing/workers/worker_availability.h"

namespace almondnotch {

/// State of one worker: its entry, its last load report, and the results of its attempts.
struct pooled_worker
{
    published_worker entry;
    /// Revision of the store at which `entry` was written; 0 if unknown.
    std::uint64_t entryRevision = 0;
    /// Whether the worker gets new requests.
    worker_availability availability;
    /// End of the worker's warm-up.
    instant warmUpEnd;
    /// Until then, the worker counts as one that has joined recently.
    instant joiningUntil;
    load_report report;
    /// When `report` was received; the origin of the clock if none was.
    instant reportedAt;
    bool hasReport = false;
    /// Attempts of this gateway in flight.
    unsigned inFlight = 0;
    /// Attempts in flight that were sent after the last report and are not counted in it.
    unsigned sentSinceReport = 0;
    /// Moving average of the failure rate, 0 to 1. Successes reduce it. The decay in the time since
    /// `lastFailureAt` is not included; it is applied when the value is used.
    double failureRate = 0;
    instant lastFailureAt;
    unsigned consecutiveFailures = 0;
    /// End of the worker's ejection. Until then it gets no requests while other workers of the
    /// service are usable.
    instant ejectedUntil;
    /// Duration of the last ejection; 0 after a success.
    duration ejectionTime {0};
    /// Requests per second that the worker accepts from all gateways together, by its last
    /// response; infinity if it has named no limit.
    double requestRateMax = std::numeric_limits<double>::infinity();
    /// When a response last named `requestRateMax`.
    instant limitNamedAt;
};

/// The state for the dump of a gateway.
nlohmann::json dumpOf(instant now, const pooled_worker &worker);

} // namespace almondnotch
