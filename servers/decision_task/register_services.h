#pragma once

#include "core/error.h"
#include "core/service_manager.h"
#include "servers/decision_task/decision_task.h"

namespace almondnotch {

/// Registers the service "decision".
result<void> registerDecisionTask(service_manager &owner, decision_task::core_factory makeCore);

} // namespace almondnotch
