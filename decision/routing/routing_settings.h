#pragma once

#include <cstdint>

#include "core/time.h"
#include "decision/routing/peer_group.h"
#include "decision/routing/reader_group.h"

namespace almondnotch {

/// Bounds that all gateways keep together; each takes its part.
struct shared_budgets
{
    /// Retries and hedges as a share of a service's requests.
    double retryShare = 0.1;
    /// Retries and hedges of a service in each window beyond that share.
    double retrySlack = 0;
    /// Probes of a worker in a second, on the average over all workers.
    double probesPerWorker = 60;
};

/// Bounds of requests in progress.
struct request_bounds
{
    std::uint32_t inProgressMax = 4000;
    std::uint32_t probesMax = 256;
    /// How long a request that crashed two workers is refused.
    duration quarantine {seconds(30)};
    std::uint32_t crashRecordsMax = 4096;
};

/// Everything that a gateway with published routes needs to decide.
struct routing_settings
{
    /// Seeds the random source; the same seed and events give the same actions.
    std::uint64_t seed = 0;
    /// A timer that is later than this shows that the process did not run.
    duration pauseThreshold {milliseconds(500)};
    /// Time from the order to leave until the process must have ended.
    duration drainTimeout {seconds(6)};
    /// How long callers may use an answer to which addresses to use.
    duration entryKeep {seconds(4)};
    /// Longest watch of the platform's store.
    duration watch {seconds(25)};
    /// Time from the start in which a gateway finds out who reads the store. Below the 3 s after
    /// which a started gateway has to know all changes.
    duration initialWatchDelay {milliseconds(2400)};
    peer_group_settings peers;
    reader_group_settings readers;
    shared_budgets budgets;
    request_bounds bounds;
};

} // namespace almondnotch
