#pragma once

#include "core/error.h"
#include "core/kernel.h"
#include "decision/gateway.h"

namespace almondnotch {

/// Adds the service "decision".
result<void> registerDecisionTask(kernel &owner, gateway_settings settings);

} // namespace almondnotch
