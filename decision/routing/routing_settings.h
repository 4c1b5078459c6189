#pragma once

#include <cstdint>

#include "core/time.h"
#include "decision/routing/items/reader_group.h"
#include "decision/routing/peer_group.h"
#include "decision/routing/workers/cold_request_share.h"

namespace almondnotch {

/// Budgets shared by all gateways; each gateway uses its part of them.
struct shared_budgets
{
    /// Maximum number of retries and hedges, as a fraction of the requests of a service.
    double retryFraction = 0.1;
    /// Number of retries and hedges per service that are allowed in any ten seconds in addition to
    /// `retryFraction`. Each gateway uses its part as the capacity of a `retry_budget`, which keeps
    /// the limit in intervals of any length.
    double retryBurst = 0;
    /// Maximum number of probes per worker and second, averaged over all workers.
    double probesPerWorker = 60;
};

/// Limits on hedges: second copies of idempotent requests whose answers are late.
struct hedge_settings
{
    /// Maximum number of hedges, as a fraction of the idempotent requests of a service; 0 switches
    /// hedges off. With 1, the retry budget alone limits them.
    double share = 1;
    /// Quantile of the latencies of a route after which a hedge is due. With 0, it is due at the
    /// last moment at which it can meet the latency objective.
    double quantile = 0;
};

/// Fraction of the shared probe rate and retry burst that the gateways use in total. The rest is a
/// margin, since each gateway knows the number of gateways only approximately.
constexpr double budgetSafetyFactor = 0.8;

/// Limits on requests and probes in flight, and on the quarantine.
struct request_bounds
{
    std::uint32_t inProgressMax = 4000;
    std::uint32_t probesMax = 256;
    /// How long a request that crashed two workers is rejected.
    duration quarantineTime {seconds(30)};
    /// Maximum number of requests that are recorded because they crashed a worker.
    std::uint32_t crashRecordsMax = 4096;
};

/// Settings of `route_gateway`: a gateway that reads its routes and workers from the platform's
/// store.
struct routing_settings
{
    /// Seed of the random source. The same seed and the same events give the same actions.
    std::uint64_t seed = 0;
    /// A timer that fires more than this after its due time shows that the process was paused.
    duration pauseThreshold {milliseconds(500)};
    /// Maximum time from the drain request to the exit of the process.
    duration drainTimeout {seconds(6)};
    /// How long callers may cache the entry addresses.
    duration entryCacheTime {seconds(4)};
    /// Maximum time for which the store may hold a watch open; see
    /// `item_reader_settings::watchTimeout`.
    duration watchTimeout {seconds(4)};
    /// The first watch of a gateway that has seeds, and each watch that follows one that reported
    /// changes, starts no earlier than this long after the start of the gateway, unless it is a
    /// reader. In the meantime the gateway learns whether other gateways relay the changes, so that
    /// it need not watch itself. Must be less than 3 s, since a gateway has to know all changes 3 s
    /// after its start.
    duration startupWatchHoldoff {milliseconds(2700)};
    peer_group_settings peers;
    reader_group_settings readers;
    shared_budgets budgets;
    hedge_settings hedges;
    request_bounds bounds;
    /// Bound on the requests of cold workers whose service names a rate.
    cold_request_bounds coldRequests;
};

} // namespace almondnotch
