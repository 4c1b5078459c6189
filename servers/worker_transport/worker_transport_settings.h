#pragma once

#include <cstddef>
#include <vector>

#include "core/settings.h"
#include "core/time.h"

namespace almondnotch {

/// Bounds and times of the connections to workers.
struct worker_transport_settings
{
    /// Body of a worker's response; a longer one is given up.
    std::size_t responseBytesMax = 4'194'304;
    /// Body of a load endpoint's response.
    std::size_t probeBytesMax = 4'096;
    /// A worker that does not accept a connection in this time counts as unreachable.
    duration connectTimeout {milliseconds(1000)};
    /// Idle connections kept for reuse, over all workers.
    std::size_t idleConnectionsMax = 4'096;
    /// Attempts that wait for a connection to one worker.
    std::size_t waitingPerWorkerMax = 64;
    /// Attempts that wait for a connection to any worker.
    std::size_t waitingMax = 10'000;
    /// Attempts and probes that are known at once, waiting ones included.
    std::size_t exchangesMax = 40'000;
    /// libcurl handles kept for reuse.
    std::size_t idleHandlesMax = 512;
    /// Longest idle time of a connection that is reused for an idempotent attempt or a probe.
    duration connectionIdleTimeMax {seconds(15)};
    /// The same for other attempts. The younger the connection, the less likely the worker closes
    /// it while the request is under way, which would make the outcome unknown.
    duration nonIdempotentConnectionIdleTimeMax {seconds(2)};

    bool operator==(const worker_transport_settings &) const = default;
};

/// Declarations of the settings above, for the daemon's settings file.
std::vector<setting_declaration> workerTransportDeclarations();

/// The values that a settings file gives.
worker_transport_settings readWorkerTransportSettings(const settings &values);

} // namespace almondnotch
