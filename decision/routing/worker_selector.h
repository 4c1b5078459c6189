#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"
#include "decision/routing/worker_pool.h"

namespace almondnotch {

/// Requirements of a request on the worker that is selected for it.
struct selection_criteria
{
    std::string service;
    /// Expected service time on an idle worker.
    duration serviceTime {0};
    /// Latency objective of the route, see `host_route::latencyObjective`.
    duration objective {0};
    /// Time left until the latency objective and until the deadline.
    duration timeToObjective {0};
    duration timeToDeadline {0};
    /// Workers that were tried already and must not be selected again.
    std::vector<worker_index> excludedWorkers;
};

/// How long workers stay usable after their entry disappeared from the store.
struct removal_grace_periods
{
    /// Grace period if no other worker of the service is left.
    duration lastResort {0};
    /// Grace period while other workers are left, after many entries expired at once; see
    /// `worker_pool::hasMassExpiry`.
    duration afterMassExpiry {0};
};

/// A candidate worker with its expected response time.
struct scored_worker
{
    worker_index worker {};
    duration expectedTime {0};
    /// `expectedTime` plus penalties for recent failures, for cross-domain traffic and for a missed
    /// objective.
    duration cost {0};
    bool isLocal = false;
    /// The load report is recent enough to rely on without another probe.
    bool hasFreshReport = false;
    /// A slot is free for the request.
    bool hasFreeSlot = false;
    /// With the request, the worker would be nearly saturated.
    bool isNearSaturation = false;
    /// A slot is free, and using it does not reduce the worker's throughput.
    bool hasUnsaturatedSlot = false;
    /// With the request, at most half of the slots are in use.
    bool isLightlyLoaded = false;
    /// The machine runs at about its normal speed.
    bool isAtFullSpeed = false;

    /// The request can be sent to this worker without considering or probing others.
    bool isAcceptable() const { return hasFreshReport && hasUnsaturatedSlot && isAtFullSpeed; }
};

/// Selects workers for requests.
///
/// Machines are shared, so that one can be several times slower than usual for some hundred
/// milliseconds. A request runs at the speed that the machine has at its start. Load reports are
/// therefore outdated after some ten milliseconds, and a probe right before the request is sent is
/// worth its cost. Workers of the gateway's own failure domain are preferred, since cross-domain
/// traffic costs money.
class worker_selector
{
public:
    /// \param pool, random must outlive the selector.
    worker_selector(const worker_pool &pool, random_source &random, std::string failureDomain)
        : m_pool(pool), m_random(random), m_failureDomain(std::move(failureDomain))
    { }

    /// Usable workers in order of increasing cost.
    std::vector<scored_worker> rank(instant now, const selection_criteria &criteria,
                                    const removal_grace_periods &gracePeriods) const;

    /// Scores a single worker. \return nothing if the request must not be sent to it.
    std::optional<scored_worker> assess(instant now, const selection_criteria &criteria,
                                        worker_index index,
                                        const removal_grace_periods &gracePeriods) const;

private:
    bool isUsable(instant now, const selection_criteria &criteria, worker_index index,
                  duration gracePeriod) const;
    scored_worker score(instant now, const selection_criteria &criteria, worker_index index) const;
    void appendUsable(instant now, const selection_criteria &criteria, duration gracePeriod,
                      std::vector<scored_worker> &out) const;

    const worker_pool &m_pool;
    random_source &m_random;
    std::string m_failureDomain;
};

} // namespace almondnotch
