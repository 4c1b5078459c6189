#pragma once

#include "config/fault_list.h"
#include "config/located_set.h"

namespace almondnotch {

/// Validates a set as a whole: duplicate names and addresses, dangling references, groups without
/// workers, shadowed rules, fallback cycles, and budgets and connection limits that cannot be met.
void checkSet(const located_set &set, fault_list &faults);

} // namespace almondnotch
