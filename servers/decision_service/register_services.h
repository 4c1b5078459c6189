#pragma once

#include "core/error.h"
#include "core/service_manager.h"
#include "servers/decision_service/decision_service.h"

namespace almondnotch {

/// Registers the service "decision".
result<void> registerDecisionService(service_manager &owner,
                                     decision_service::core_factory makeCore);

} // namespace almondnotch
