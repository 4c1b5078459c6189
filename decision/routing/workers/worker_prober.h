#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/counters.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/routing/routing_settings.h"
#include "decision/routing/workers/probe_rate_limiter.h"
#include "decision/routing/workers/worker_pool.h"

namespace almondnotch {

/// A probe that has ended.
struct ended_probe
{
    worker_index worker {};
    instant startedAt;
};

/// Probes workers within this gateway's share of the probes that all gateways together may send. At
/// most one probe of a worker is in flight.
class worker_prober
{
public:
    /// \param settings, pool, counters must outlive the prober.
    worker_prober(const routing_settings &settings, const worker_pool &pool, counter_set &counters)
        : m_settings(settings), m_pool(pool), m_counters(counters)
    { }

    /// \param count number of gateways that share the probes.
    void setGatewayCount(unsigned count) { m_gatewayCount = count; }
    /// Starts a probe of the worker unless one is in flight.
    /// \param healthPath path of the service's health check.
    /// \return false if no probe is in flight now, because the probes are used up.
    bool ensureProbed(instant now, worker_index worker, const std::string &healthPath,
                      action_list &actions);
    /// As `ensureProbed`, but does nothing if the configuration does not know the worker's service.
    void tryProbe(instant now, worker_index worker, const route_config &config,
                  action_list &actions);
    /// Probes limited workers that have not named their limit recently, since a gateway that sends
    /// no requests to a worker would not learn that its limit has ended.
    /// \param config configuration in force.
    void probeLimitedWorkers(instant now, const route_config &config, action_list &actions);
    /// Ends a probe. \return nothing if the probe is unknown.
    std::optional<ended_probe> probeFinished(probe_id probe);

    std::size_t inFlight() const { return m_probes.size(); }

private:
    bool acquireToken(instant now);

    const routing_settings &m_settings;
    const worker_pool &m_pool;
    counter_set &m_counters;
    unsigned m_gatewayCount = 1;
    probe_rate_limiter m_rateLimiter;
    std::map<probe_id, ended_probe> m_probes;
    std::map<worker_index, probe_id> m_probeByWorker;
    std::uint64_t m_nextProbe = 1;
};

} // namespace almondnotch
