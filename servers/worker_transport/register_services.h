#pragma once

#include "core/error.h"
#include "core/service_manager.h"
#include "servers/worker_transport/worker_transport.h"
#include "servers/worker_transport/worker_transport_settings.h"

namespace almondnotch {

/// Registers the service "worker_transport". \param protocol must outlive the service.
result<worker_transport *>
registerWorkerTransport(service_manager &owner, worker_transport_settings settings,
                        const worker_protocol &protocol = nativeWorkerProtocol());

} // namespace almondnotch
