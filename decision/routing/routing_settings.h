#pragma once

#include <cstdint>

#include "core/time.h"
#include "decision/routing/peer_group.h"
#include "decision/routing/reader_group.h"

namespace almondnotch {

/// Budgets shared by all gateways; each gateway uses its part of them.
struct shared_budgets
{
    /// Retries and hedges as a fraction of the requests of a service.
    double retryFraction = 0.1;
    /// Number of retries and hedges per service and ten seconds that are allowed in addition to
    /// `retryFraction`.
    double retryBurst = 0;
    /// Probes per worker and second, averaged over all workers.
    double probesPerWorker = 60;
};

/// Limits on requests and probes in flight, and on the quarantine.
struct request_bounds
{
    std::uint32_t inProgressMax = 4000;
    std::uint32_t probesMax = 256;
    /// How long a request that crashed two workers is rejected.
    duration quarantineTime {seconds(30)};
    std::uint32_t crashRecordsMax = 4096;
};

/// Settings of `route_gateway`: a gateway that reads its routes and workers from the platform's
/// store.
struct routing_settings
{
    /// Seed of the random source. The same seed and the same events give the same actions.
    std::uint64_t seed = 0;
    /// A timer that fires late by more than this shows that the process was paused.
    duration pauseThreshold {milliseconds(500)};
    /// Time between the order to drain and the latest exit of the process.
    duration drainTimeout {seconds(6)};
    /// How long callers may cache the entry addresses.
    duration entryCacheTime {seconds(4)};
    /// Longest time for which the store may hold a watch open.
    duration watchTimeout {seconds(25)};
    /// After a watch that reports changes, the next watch is sent no earlier than this long after
    /// the start of the gateway. Until then, the gateway learns whether other gateways relay the
    /// changes. Must stay below the 3 s after which a started gateway has to know all changes.
    duration startupWatchHoldoff {milliseconds(2400)};
    peer_group_settings peers;
    reader_group_settings readers;
    shared_budgets budgets;
    request_bounds bounds;
};

} // namespace almondnotch
