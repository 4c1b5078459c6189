#pragma once

#include "core/error.h"
#include "core/service_manager.h"
#include "servers/platform_client/platform_client.h"
#include "servers/platform_client/platform_client_settings.h"

namespace almondnotch {

/// Registers the service "platform_client". \param storeProtocol as for `platform_client`.
result<platform_client *> registerPlatformClient(service_manager &owner,
                                                 platform_client_settings settings,
                                                 const store_protocol *storeProtocol = nullptr);

} // namespace almondnotch
