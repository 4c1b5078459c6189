#pragma once

#include "core/error.h"
#include "core/service_manager.h"
#include "servers/directory_port/directory_port.h"

namespace almondnotch {

/// Registers the service "directory_port".
/// \param protocol must outlive the service.
result<void> registerDirectoryPort(service_manager &owner, directory_settings settings,
                                   const directory_protocol &protocol);

} // namespace almondnotch
