#pragma once

#include "core/error.h"
#include "core/kernel.h"
#include "servers/event_loop/event_loop.h"

namespace almondnotch {

/// Registers the service "loop".
/// \return the event loop, owned by `owner`.
result<event_loop *> registerEventLoop(kernel &owner);

} // namespace almondnotch
