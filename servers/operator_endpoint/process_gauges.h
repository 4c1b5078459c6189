#pragma once

#include "core/counters.h"

namespace almondnotch {

/// Sets the gauges for the CPU time (seconds) and the resident memory (bytes) of this process.
void addProcessGauges(counter_set &counters);

} // namespace almondnotch
