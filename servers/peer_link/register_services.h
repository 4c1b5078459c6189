#pragma once

#include "core/error.h"
#include "core/service_manager.h"
#include "servers/peer_link/peer_link.h"
#include "servers/peer_link/peer_link_settings.h"

namespace almondnotch {

/// Registers the service "peer_link".
result<peer_link *> registerPeerLink(service_manager &owner, peer_link_settings settings);

} // namespace almondnotch
