#pragma once

#include "core/error.h"
#include "core/kernel.h"
#include "servers/event_loop/event_loop.h"

namespace almondnotch {

/// Adds the service "loop".
/// \return the loop, which the kernel owns.
result<event_loop *> registerEventLoop(kernel &owner);

} // namespace almondnotch
