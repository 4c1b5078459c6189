#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"
#include "decision/routing/workers/worker_pool.h"

namespace almondnotch {

/// What is known of a failure domain when a worker is selected for a request.
struct domain_terms
{
    std::string_view name;
    /// Usual and longest time from a probe of a worker there to its response.
    duration roundTrip {0};
    duration longestRoundTrip {0};
    /// Share of the slots that is assumed to be in use, beyond what is usual, at workers of the
    /// request's service there that have not reported recently.
    double occupiedShare = 0;
};

/// Properties of a request that determine which worker is selected for it.
struct selection_criteria
{
    std::string service;
    /// Expected service time on an idle worker whose machine runs at normal speed.
    duration serviceTime {0};
    /// Latency objective of the route, see `host_route::latencyObjective`.
    duration objective {0};
    /// Time left until the latency objective (0 if it has passed) and until the deadline.
    duration timeToObjective {0};
    duration timeToDeadline {0};
    /// Workers that were tried already and must not be selected again.
    std::vector<worker_index> excludedWorkers;
    /// Failure domains that have been measured.
    std::vector<domain_terms> domains {};
    /// How far the gateway's own failure domain lacks room for the service, 0 to 1; see
    /// `domain_conditions::shortage`.
    double homeShortage = 0;
};

/// How long workers stay usable after their entries disappeared from the store.
struct removal_grace_periods
{
    /// Grace period that applies if no worker of the service is usable otherwise.
    duration lastResort {0};
    /// Grace period in all other cases; 0 unless many entries have expired in an outage of the
    /// store.
    duration afterMassExpiry {0};
};

/// A candidate worker with its expected response time.
struct scored_worker
{
    worker_index worker {};
    duration expectedTime {0};
    /// `expectedTime` plus penalties for recent failures, for cross-domain traffic, for a missed
    /// objective and for a new connection, with a random variation.
    duration cost {0};
    /// The worker is in the gateway's failure domain.
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
    /// The slowdown of the machine is at most `fullSpeedSlowdownMax`.
    bool isAtFullSpeed = false;
    /// The worker has started recently and is still slow.
    bool isWarmingUp = false;

    /// The worker has a fresh report, an unsaturated slot and full speed, so there is no need to
    /// search for a better one. Remote workers and hedges are subject to further conditions, see
    /// `request_runner::selectWorker`.
    bool isAcceptable() const { return hasFreshReport && hasUnsaturatedSlot && isAtFullSpeed; }
};

/// Selects workers for requests.
///
/// The workers' machines are shared with other load, so one can be several times slower than usual
/// for a few hundred milliseconds. A request runs at the speed that the machine has when the
/// request starts. A load report is therefore outdated within tens of milliseconds (see
/// `freshReportAgeMax`), and a probe right before the request is sent is worth its cost. Workers of
/// the gateway's own failure domain are preferred, since cross-domain traffic costs money, but only
/// while there is room: the shorter the domain is of it, the more the way alone counts.
class worker_selector
{
public:
    /// \param pool, random must outlive the selector.
    worker_selector(const worker_pool &pool, random_source &random, std::string failureDomain)
        : m_pool(pool), m_random(random), m_failureDomain(std::move(failureDomain))
    { }

    /// Usable workers in order of increasing cost. Ejected workers are included only if all usable
    /// ones are ejected.
    std::vector<scored_worker> rank(instant now, const selection_criteria &criteria,
                                    const removal_grace_periods &gracePeriods) const;

    /// Scores a single worker.
    /// \return nothing if the request must not be sent to it, for example because it is ejected.
    std::optional<scored_worker> assess(instant now, const selection_criteria &criteria,
                                        worker_index index,
                                        const removal_grace_periods &gracePeriods) const;

    /// When the first worker whose pause is all that keeps it from being usable can be used again.
    /// \return nothing if there is none, or if a worker may become usable at any time because it
    /// only has reached its request limit.
    std::optional<instant> firstPauseEnd(instant now, const selection_criteria &criteria) const;

private:
    bool isCandidate(const selection_criteria &criteria, worker_index index) const;
    bool isUsable(instant now, const selection_criteria &criteria, worker_index index,
                  duration gracePeriod) const;
    domain_terms termsOf(const selection_criteria &criteria, const pooled_worker &worker) const;
    scored_worker score(instant now, const selection_criteria &criteria, worker_index index) const;
    void appendUsable(instant now, const selection_criteria &criteria, duration gracePeriod,
                      std::vector<scored_worker> &out) const;

    const worker_pool &m_pool;
    random_source &m_random;
    std::string m_failureDomain;
};

} // namespace almondnotch
