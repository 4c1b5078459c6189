#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"
#include "tools/load_generator/load_run.h"

namespace almondnotch {

/// What the workers executed, compared with what the callers were told.
struct execution_report
{
    std::uint64_t bookings = 0;
    /// Bookings that were executed more than once.
    std::uint64_t doubled = 0;
    /// Bookings reported as `not-run` that were executed.
    std::uint64_t falseNotRun = 0;
    /// Bookings with a whole response that no worker executed.
    std::uint64_t neverExecuted = 0;
};

/// Reads the execution logs of the worker stand-ins and compares them with the results.
/// \param controls one address for each stand-in process.
result<execution_report> checkExecutions(const std::vector<std::string> &controlAddresses,
                                         const std::vector<booking_result> &results);

} // namespace almondnotch
