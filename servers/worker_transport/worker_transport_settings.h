#pragma once

#include <cstddef>
#include <vector>

#include "core/settings.h"
#include "core/time.h"

namespace almondnotch {

/// Limits and timeouts of the connections to workers.
struct worker_transport_settings
{
    /// Maximum size of a worker's response body in bytes. A longer response is discarded.
    std::size_t responseBytesMax = 4'194'304;
    /// Maximum size in bytes of the bodies of all responses that are being received, without the
    /// first `response_reader::unbudgetedBytes` of each.
    std::size_t heldResponseBytesMax = 33'554'432;
    /// Maximum size of a probe's response body in bytes.
    std::size_t probeBytesMax = 4'096;
    /// Rate of the reads of large responses, see `curl_loop_limits`, on a VM with one core.
    double largeReadsPerSecond = 10'000;
    /// A worker that does not accept a connection in this time counts as unreachable.
    duration connectTimeout {milliseconds(1000)};
    /// Maximum number of idle connections kept for reuse, over all workers.
    std::size_t idleConnectionsMax = 4'096;
    /// Maximum number of attempts that wait for a connection to one worker.
    std::size_t waitingPerWorkerMax = 64;
    /// Maximum number of attempts that wait for a connection, over all workers.
    std::size_t waitingMax = 10'000;
    /// Maximum number of attempts and probes in progress, including waiting attempts.
    std::size_t exchangesMax = 40'000;
    /// Maximum number of idle libcurl handles kept for reuse.
    std::size_t idleHandlesMax = 512;
    /// A connection that has been idle for longer is not reused for an idempotent attempt or a
    /// probe.
    duration connectionIdleTimeMax {seconds(15)};
    /// The same for non-idempotent attempts. The shorter a connection has been idle, the less
    /// likely the worker closes it while the request is in flight, which would make the outcome
    /// unknown.
    duration nonIdempotentConnectionIdleTimeMax {seconds(2)};

    bool operator==(const worker_transport_settings &) const = default;
};

/// Declares the members that the daemon's settings file may contain; the others are not
/// configurable.
std::vector<setting_declaration> workerTransportDeclarations();

/// Reads the declared members from the values of a settings file. The others keep their defaults.
worker_transport_settings readWorkerTransportSettings(const settings &values);

} // namespace almondnotch
