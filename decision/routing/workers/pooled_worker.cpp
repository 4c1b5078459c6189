#include "decision/routing/workers/pooled_worker.h"

#include <algorithm>
#include <cmath>

namespace almondnotch {

nlohmann::json dumpOf(instant now, const pooled_worker &worker)
{
    return {{"name", worker.entry.name},
            {"service", worker.entry.service},
            {"address", worker.entry.address},
            {"failure_domain", worker.entry.failureDomain},
            {"leaving", worker.availability.isLeaving()},
            {"removed", worker.availability.isRemoved()},
            {"unavailable", toString(worker.availability.reason(now, duration {0}))},
            {"running", worker.report.running},
            {"queued", worker.report.queued},
            {"slots", worker.report.slots},
            {"slowdown_percent", worker.report.slowdownPercent},
            {"report_age_ms", worker.hasReport ? toMilliseconds(now - worker.reportedAt) : -1},
            {"in_flight", worker.inFlight},
            {"cold_ms", std::max<std::int64_t>(0, toMilliseconds(worker.warmUpEnd - now))},
            {"limit_per_s", std::isfinite(worker.requestRateMax)
                                ? nlohmann::json(worker.requestRateMax)
                                : nlohmann::json()},
            {"failure_share", worker.failureRate},
            {"shunned_ms", std::max<std::int64_t>(0, toMilliseconds(worker.ejectedUntil - now))}};
}

} // namespace almondnotch
