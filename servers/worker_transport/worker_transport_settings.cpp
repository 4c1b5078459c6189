#include "servers/worker_transport/worker_transport_settings.h"

#include <algorithm>

namespace almondnotch {

namespace {

setting_declaration integer(const char *name, std::size_t value, double minimum, double maximum,
                            const char *unit, const char *doc)
{
    setting_declaration declaration;
    declaration.name = name;
    declaration.defaultValue = static_cast<std::int64_t>(value);
    declaration.minimum = minimum;
    declaration.maximum = maximum;
    declaration.unit = unit;
    declaration.doc = doc;
    return declaration;
}

std::size_t count(const settings &values, const char *name)
{
    return static_cast<std::size_t>(values.integer(name));
}

} // namespace

std::vector<setting_declaration> workerTransportDeclarations()
{
    const worker_transport_settings defaults;
    return {
        integer("calls.response_bytes_max", defaults.responseBytesMax, 1024, 64e6, "bytes",
                "Maximum size of a worker's response body. A longer response is discarded and the "
                "attempt fails."),
        integer("workers.held_response_bytes_max", defaults.heldResponseBytesMax, 65536, 64e9,
                "bytes",
                "Maximum size of the bodies of all responses that are being received from workers. "
                "A response beyond it is discarded and the attempt fails."),
        integer("workers.connect_timeout_ms", 1000, 10, 60000, "ms",
                "A worker that does not accept a connection in this time counts as unreachable."),
        integer("workers.idle_connections_max", defaults.idleConnectionsMax, 1, 100000,
                "connections",
                "Maximum number of idle connections kept for reuse, over all workers."),
        integer("workers.waiting_per_worker_max", defaults.waitingPerWorkerMax, 0, 100000,
                "attempts",
                "Maximum number of attempts that wait for a connection to one worker. Further "
                "attempts fail without being sent."),
        integer("workers.waiting_max", defaults.waitingMax, 0, 1000000, "attempts",
                "Maximum number of attempts that wait for a connection, over all workers."),
        integer("workers.exchanges_max", defaults.exchangesMax, 1, 1000000, "attempts",
                "Maximum number of attempts and probes in progress, including waiting attempts."),
    };
}

worker_transport_settings readWorkerTransportSettings(const settings &values)
{
    worker_transport_settings out;
    out.responseBytesMax = count(values, "calls.response_bytes_max");
    out.heldResponseBytesMax = count(values, "workers.held_response_bytes_max");
    const double processorShare = values.real("vm.processor_share");
    if (processorShare > 0)
        out.largeReadsPerSecond *= std::min(processorShare, 1.0);
    out.connectTimeout = milliseconds(values.integer("workers.connect_timeout_ms"));
    out.idleConnectionsMax = count(values, "workers.idle_connections_max");
    out.waitingPerWorkerMax = count(values, "workers.waiting_per_worker_max");
    out.waitingMax = count(values, "workers.waiting_max");
    out.exchangesMax = count(values, "workers.exchanges_max");
    return out;
}

} // namespace almondnotch
