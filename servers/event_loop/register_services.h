#pragma once

#include "core/error.h"
#include "core/service_manager.h"
#include "servers/event_loop/event_loop.h"

namespace almondnotch {

/// Registers the service "loop".
/// \return the event loop, owned by `owner`.
result<event_loop *> registerEventLoop(service_manager &owner);

} // namespace almondnotch
