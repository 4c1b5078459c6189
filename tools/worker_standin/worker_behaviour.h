#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/error.h"

namespace almondnotch {

/// Fault injected into the handling of a call.
enum class worker_fault {
    none,
    /// Closes the connection after the call was executed, without sending any of the response.
    close_before,
    /// Sends a `Content-Length` and closes the connection in the middle of the body.
    close_mid_length,
    /// Sends half of a body that is delimited by the close of the connection.
    close_mid_unframed,
    /// Sends a complete body that is delimited by the close of the connection.
    unframed,
    /// Closes the connection in the middle of a chunked body.
    chunked_cut,
    /// Not a fault: a complete chunked response.
    chunked,
    /// Responds with status 500 immediately, without occupying a slot.
    fast_fail,
    /// Occupies a slot and never responds.
    hang,
    /// Ends the process, or, if `restartMs` is set, stops the worker for that time.
    crash,
};

/// Parameters of a worker stand-in, which can be changed at run time.
struct worker_behaviour
{
    /// Calls executed concurrently.
    std::int64_t slots = 6;
    /// Calls that may wait for a slot; further calls are rejected as not run.
    std::int64_t queueMax = 24;
    /// Mean service time in milliseconds.
    double serviceMs = 5;
    /// Multiplies the service time, to simulate a noisy neighbour.
    double slowFactor = 1;
    /// Multiplies the service time while the state is "cold".
    double coldFactor = 3;
    /// "exponential" or "constant".
    std::string distribution = "exponential";
    /// "ready", "cold" or "draining".
    std::string state = "ready";
    /// Age of the reported load in milliseconds.
    std::int64_t lagMs = 0;
    /// "none" reports the actual load, "idle" always 0, "full" always all slots and a full queue.
    std::string loadOverride = "none";
    /// 1 adds load headers to responses, 0 omits them.
    std::int64_t loadHeaders = 1;
    /// Fault of the load endpoint: "none", "hang", "close" or "garbage".
    std::string loadFault = "none";
    /// Fault of calls without an `X-Fault` header; names as in `parseWorkerFault`.
    std::string fault = "none";
    /// Share of the calls that `fault` applies to, 0 to 1.
    double faultRate = 1;
    /// A call whose body contains this text crashes the worker; no call does if it is empty.
    std::string crashText;
    /// Time in milliseconds after which a crashed worker listens again; 0 ends the process instead.
    std::int64_t restartMs = 0;
    /// Padding in each response body in bytes.
    std::int64_t padBytes = 0;

    /// Sets parameters by name ("slots", "queue", "service_ms", ...). Changes nothing if one of
    /// them is invalid.
    result<void> apply(const std::map<std::string, std::string, std::less<>> &parameters);
};

/// Parses the name of a fault: "none", "close-before", "close-mid-length", "close-mid-unframed",
/// "unframed", "chunked-cut", "chunked", "fast-fail", "hang" or "crash".
result<worker_fault> parseWorkerFault(std::string_view name);

} // namespace almondnotch
