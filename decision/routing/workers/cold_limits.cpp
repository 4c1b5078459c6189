#include "decision/routing/workers/cold_limits.h"

#include <algorithm>

namespace almondnotch {

/// \return null if the service of the worker names no rate for cold workers.
const service_spec *cold_limits::specOf(const pooled_worker &worker) const
{
    if (m_config == nullptr)
        return nullptr;
    const auto found = m_config->services.find(worker.entry.service);
    if (found == m_config->services.end() || found->second.coldRequestsPerSecond <= 0)
        return nullptr;
    return &found->second;
}

void cold_limits::update(instant now, pooled_worker &worker) const
{
    // Most workers are warm, and a share takes time to compute.
    if (worker.warmUpEnd <= now && !worker.availability.isLimitedWhileCold(now))
        return;
    const service_spec *spec = specOf(worker);
    worker.availability.limitWhileCold(
        now, worker.warmUpEnd,
        spec == nullptr
            ? request_limit_share {}
            : shareOfColdRequests(spec->coldRequestsPerSecond, m_bounds, worker.entry, m_group));
}

void cold_limits::prolong(instant now, pooled_worker &worker, duration left) const
{
    worker.warmUpEnd = std::max(worker.warmUpEnd, now + left);
    update(now, worker);
}

void cold_limits::entrySaid(instant now, pooled_worker &worker) const
{
    if (specOf(worker) != nullptr)
        prolong(now, worker, worker.entry.warmUpLeft);
}

void cold_limits::workerSaid(instant now, pooled_worker &worker, duration left) const
{
    if (specOf(worker) == nullptr)
        return;
    worker.warmUpEnd = now + left;
    update(now, worker);
}

void cold_limits::evacuationEnded(instant now, pooled_worker &worker) const
{
    const service_spec *spec = specOf(worker);
    if (spec != nullptr)
        prolong(now, worker, spec->warmUpTime);
}

} // namespace almondnotch
