#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/error.h"

namespace almondnotch {

/// How a response goes wrong.
enum class worker_fault {
    none,
    /// Closes the connection without a byte of the response, after the call ran.
    close_before,
    /// Announces a length and closes in the middle of the body.
    close_mid_length,
    /// Sends half of a body that is delimited by the close of the connection.
    close_mid_unframed,
    /// Sends a whole body that is delimited by the close of the connection.
    unframed,
    /// Closes in the middle of a chunked body.
    chunked_cut,
    /// Not a fault: a whole chunked response.
    chunked,
    /// Responds 500 at once without using a slot.
    fast_fail,
    /// Never responds.
    hang,
    /// Ends the process, or the worker if it is one of several and may restart.
    crash,
};

/// Everything about a worker stand-in that can be changed while it runs.
struct worker_behaviour
{
    /// Calls executed at once.
    std::int64_t slots = 6;
    /// Calls that may wait for a slot; more are refused as not run.
    std::int64_t queueMax = 24;
    /// Mean service time.
    double serviceMs = 5;
    /// Multiplies the service time, as a noisy neighbour does.
    double slowFactor = 1;
    /// Multiplies the service time while the state is "cold".
    double coldFactor = 3;
    /// "exponential" or "constant".
    std::string distribution = "exponential";
    /// "ready", "cold" or "draining".
    std::string state = "ready";
    /// Reported load is that of this long ago.
    std::int64_t lagMs = 0;
    /// "none" reports the truth, "idle" always 0, "full" always all slots and the whole queue.
    std::string loadOverride = "none";
    /// 1 sends load headers.
    std::int64_t loadHeaders = 1;
    /// Fault of the load endpoint: "none", "hang", "close" or "garbage".
    std::string loadFault = "none";
    /// Fault of calls without an `X-Fault` header; names as in `parseWorkerFault`.
    std::string fault = "none";
    /// Share of the calls that `fault` concerns.
    double faultRate = 1;
    /// A call whose body contains this text crashes the worker; empty for none.
    std::string crashText;
    /// After a crash the worker listens again after this time; 0 ends the process instead.
    std::int64_t restartMs = 0;
    /// Bytes added to each response body.
    std::int64_t padBytes = 0;

    /// Takes over parameters by name ("slots", "queue", "service_ms", ...), all or none.
    result<void> apply(const std::map<std::string, std::string, std::less<>> &parameters);
};

/// "none", "close-before", "close-mid-length", "close-mid-unframed", "unframed", "chunked-cut",
/// "chunked", "fast-fail", "hang" or "crash".
result<worker_fault> parseWorkerFault(std::string_view name);

} // namespace almondnotch
