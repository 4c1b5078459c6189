#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"
#include "tools/load_generator/load_run.h"

namespace almondnotch {

/// Executions by the workers, compared with the outcomes reported to the callers.
struct execution_report
{
    std::uint64_t bookings = 0;
    /// Bookings that were executed more than once.
    std::uint64_t doubled = 0;
    /// Bookings reported as `not-run` that were executed.
    std::uint64_t falseNotRun = 0;
    /// Bookings reported as `run` that no worker executed.
    std::uint64_t neverExecuted = 0;
};

/// Reads the execution logs of the worker stand-ins and compares them with the results. Fails if a
/// log cannot be read or is incomplete.
/// \param controlAddresses one address per stand-in process.
result<execution_report> checkExecutions(const std::vector<std::string> &controlAddresses,
                                         const std::vector<booking_result> &results);

} // namespace almondnotch
