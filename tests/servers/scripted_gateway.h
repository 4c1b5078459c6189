#pragma once

#include <functional>

#include "decision/gateway.h"

namespace almondnotch {

/// Behaviour of the fake `gateway` in scripted_gateway.cpp, which is linked instead of the decision
/// package's. It lets a test of `decision_service` produce any sequence of actions.
struct gateway_script
{
    std::function<void(instant now, const event &input, action_list &actions)> onEvent;
    instant nextWake = instant::never();
    invariant_set invariants;
};

/// Returns the script of all fake gateways of the test program.
gateway_script &gatewayScript();

} // namespace almondnotch
