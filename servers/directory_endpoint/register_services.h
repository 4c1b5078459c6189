#pragma once

#include "core/error.h"
#include "core/service_manager.h"
#include "servers/directory_endpoint/directory_endpoint.h"

namespace almondnotch {

/// Registers the service "directory_port".
/// \param protocol must outlive the service.
result<void> registerDirectoryEndpoint(service_manager &owner, directory_endpoint_settings settings,
                                       const directory_protocol &protocol);

} // namespace almondnotch
