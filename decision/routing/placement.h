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
struct placement_request
{
    std::string service;
    /// Usual time that the work takes on an idle worker.
    duration work {0};
    /// Response time up to which a response has its full value.
    duration objective {0};
    /// Time left of the objective and until the deadline.
    duration timeToObjective {0};
    duration timeToDeadline {0};
    /// Workers that are not to be chosen again.
    std::vector<worker_index> tried;
};

/// For how long workers serve whose entry disappeared from the store.
struct removal_rules
{
    /// Time for which they do, if no other worker of the service is left.
    duration lastResort {0};
    /// Time for which they do beside the others, as while lapsed entries are written anew.
    duration lapse {0};
};

/// A worker with the time that a request is expected to take there.
struct scored_worker
{
    worker_index worker {};
    duration expected {0};
    /// Expected time with what failures and distance cost.
    duration cost {0};
    bool isNear = false;
    /// Its report is young enough to act on.
    bool isFresh = false;
    /// A slot is free for the request.
    bool hasRoom = false;
    /// The request would start while nearly all slots are in use.
    bool isCrowded = false;
    /// A slot is free whose use costs no throughput.
    bool hasCalmRoom = false;
    /// At most half of its slots are in use with the request.
    bool isIdle = false;
    /// Its machine runs at about its usual speed.
    bool isUndisturbed = false;

    /// The request may be sent there without looking further.
    bool isGood() const { return isFresh && hasCalmRoom && isUndisturbed; }
};

/// Chooses workers.
///
/// Machines are shared, so that a machine may be several times slower than usual for some hundred
/// milliseconds. A request runs at the speed that the machine has when it starts: a report says
/// little after some ten milliseconds, and a probe right before the request is sent is worth its
/// cost. Near workers go first, as bytes between failure domains cost.
class placement
{
public:
    /// \param pool, random outlive the object.
    placement(const worker_pool &pool, random_source &random, std::string failureDomain)
        : m_pool(pool), m_random(random), m_failureDomain(std::move(failureDomain))
    { }

    /// Usable workers, the best first.
    std::vector<scored_worker> rank(instant now, const placement_request &request,
                                    const removal_rules &rules) const;

    /// One worker; nothing if the request must not be sent there.
    std::optional<scored_worker> assess(instant now, const placement_request &request,
                                        worker_index index, const removal_rules &rules) const;

private:
    bool isUsable(instant now, const placement_request &request, worker_index index,
                  duration removedFor) const;
    scored_worker score(instant now, const placement_request &request, worker_index index) const;
    void collect(instant now, const placement_request &request, duration removedFor,
                 std::vector<scored_worker> &out) const;

    const worker_pool &m_pool;
    random_source &m_random;
    std::string m_failureDomain;
};

} // namespace almondnotch
