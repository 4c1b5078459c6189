#pragma once

#include <functional>

#include "decision/gateway.h"

namespace almondnotch {

/// Behaviour of the `gateway` that scripted_gateway.cpp links in place of the decision package's,
/// so that its driver can be tested with any order of actions.
struct gateway_script
{
    std::function<void(instant now, const event &input, action_list &actions)> onEvent;
    instant nextWake = instant::never();
    invariant_set invariants;
};

gateway_script &gatewayScript();

} // namespace almondnotch
