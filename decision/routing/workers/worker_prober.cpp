#include "decision/routing/workers/worker_prober.h"

#include "core/mechanisms.h"

namespace almondnotch {

namespace {

/// Timeout of a probe, after which its worker counts as unreachable.
constexpr duration probeTimeout = milliseconds(400);
/// Interval at which a worker that limits its requests is probed while nothing else is sent to it.
constexpr duration limitProbeInterval = seconds(2);

} // namespace

bool worker_prober::ensureProbed(instant now, worker_index worker, const std::string &healthPath,
                                 action_list &actions)
{
    if (m_probeByWorker.contains(worker))
        return true;
    if (!acquireToken(now))
        return false;
    const probe_id id {m_nextProbe++};
    m_probes.emplace(id, ended_probe {worker, now});
    m_probeByWorker[worker] = id;
    const published_worker &entry = m_pool.at(worker).entry;
    m_counters.add("probes_total");
    actions.push_back(start_probe {id, entry.address, probeTimeout, entry.name, healthPath});
    return true;
}

void worker_prober::tryProbe(instant now, worker_index worker, const route_config &config,
                             action_list &actions)
{
    const auto spec = config.services.find(m_pool.at(worker).entry.service);
    if (spec != config.services.end())
        ensureProbed(now, worker, spec->second.healthPath, actions);
}

void worker_prober::probeLimitedWorkers(instant now, const route_config &config,
                                        action_list &actions)
{
    for (const worker_index worker : m_pool.limitedWorkers(now - limitProbeInterval))
        tryProbe(now, worker, config, actions);
}

std::optional<ended_probe> worker_prober::probeFinished(probe_id probe)
{
    const auto found = m_probes.find(probe);
    if (found == m_probes.end())
        return std::nullopt;
    const ended_probe ended = found->second;
    m_probes.erase(found);
    m_probeByWorker.erase(ended.worker);
    return ended;
}

/// Takes a probe from this gateway's share. \return false if the share is used up.
bool worker_prober::acquireToken(instant now)
{
    const double workers = static_cast<double>(m_pool.size());
    m_rateLimiter.refill(now, budgetSafetyFactor * m_settings.budgets.probesPerWorker * workers
                                  / m_gatewayCount);
    if (m_probes.size() < m_settings.bounds.probesMax
        && (m_rateLimiter.take() || !isMechanismEnabled("probe_allowance")))
        return true;
    m_counters.add("probes_denied_total");
    return false;
}

} // namespace almondnotch
