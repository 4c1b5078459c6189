#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"
#include "decision/routing/worker_pool.h"

namespace almondnotch {

/// What a request asks of a worker.
struct selection_criteria
{
    std::string service;
    /// Usual time that the work takes on an idle worker.
    duration serviceTime {0};
    /// Response time up to which a response has its full value.
    duration objective {0};
    /// Time left of the objective and until the deadline.
    duration timeToObjective {0};
    duration timeToDeadline {0};
    /// Workers that are not to be chosen again.
    std::vector<worker_index> excludedWorkers;
};

/// For how long workers serve whose entry disappeared from the store.
struct removal_grace_periods
{
    /// Time for which they do, if no other worker of the service is left.
    duration lastResort {0};
    /// Time for which they do beside the others, as while lapsed entries are written anew.
    duration afterMassExpiry {0};
};

/// A worker with the time that a request is expected to take there.
struct scored_worker
{
    worker_index worker {};
    duration expectedTime {0};
    /// Expected time with what failures and distance cost.
    duration cost {0};
    bool isLocal = false;
    /// Its report is young enough to act on.
    bool hasFreshReport = false;
    /// A slot is free for the request.
    bool hasFreeSlot = false;
    /// The request would start while nearly all slots are in use.
    bool isNearSaturation = false;
    /// A slot is free whose use costs no throughput.
    bool hasUnsaturatedSlot = false;
    /// At most half of its slots are in use with the request.
    bool isLightlyLoaded = false;
    /// Its machine runs at about its usual speed.
    bool isAtFullSpeed = false;

    /// The request may be sent there without looking further.
    bool isAcceptable() const { return hasFreshReport && hasUnsaturatedSlot && isAtFullSpeed; }
};

/// Chooses workers.
///
/// Machines are shared, so that a machine may be several times slower than usual for some hundred
/// milliseconds. A request runs at the speed that the machine has when it starts: a report says
/// little after some ten milliseconds, and a probe right before the request is sent is worth its
/// cost. Near workers go first, as bytes between failure domains cost.
class worker_selector
{
public:
    /// \param pool, random outlive the object.
    worker_selector(const worker_pool &pool, random_source &random, std::string failureDomain)
        : m_pool(pool), m_random(random), m_failureDomain(std::move(failureDomain))
    { }

    /// Usable workers, the best first.
    std::vector<scored_worker> rank(instant now, const selection_criteria &criteria,
                                    const removal_grace_periods &gracePeriods) const;

    /// One worker; nothing if the request must not be sent there.
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
