#pragma once

#include "core/counters.h"

namespace almondnotch {

/// Sets CPU time and resident memory of this process.
void addProcessGauges(counter_set &counters);

} // namespace almondnotch
