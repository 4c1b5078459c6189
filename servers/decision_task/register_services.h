#pragma once

#include "core/error.h"
#include "core/kernel.h"
#include "servers/decision_task/decision_task.h"

namespace almondnotch {

/// Registers the service "decision".
result<void> registerDecisionTask(kernel &owner, decision_task::core_factory makeCore);

} // namespace almondnotch
