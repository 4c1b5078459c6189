#pragma once

#include "config/fault_list.h"
#include "config/located_set.h"

namespace almondnotch {

/// Validates a set as a whole. Reports duplicate names and addresses, dangling references, groups
/// without workers, fallback cycles, rules with the same prefix and a common method, and budgets
/// and connection limits that cannot be met.
void checkSet(const located_set &set, fault_list &faults);

} // namespace almondnotch
