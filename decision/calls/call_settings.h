#pragma once

#include <cstdint>

#include "core/time.h"

namespace almondnotch {

/// Limits for the calls in progress, their attempts and the quarantine of requests.
struct call_settings
{
    /// Maximum number of calls in progress, including those that wait for another call.
    std::uint32_t inProgressMax = 20000;
    /// Maximum number of attempts of one call, including the first.
    unsigned attemptsMax = 3;
    /// Maximum timeout of a call. Longer timeouts of callers or services are reduced to this.
    duration timeoutMax {seconds(600)};
    /// Part of the timeout that is reserved for returning the response to the caller.
    duration responseReserve {milliseconds(2)};
    /// Time for which a request that crashed two different workers is rejected.
    duration quarantineTime {seconds(600)};
    /// Maximum number of requests that are recorded because they crashed a worker.
    std::uint32_t crashRecordsMax = 4096;

    bool operator==(const call_settings &) const = default;
};

} // namespace almondnotch
