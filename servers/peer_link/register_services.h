#pragma once

#include "core/error.h"
#include "core/kernel.h"
#include "servers/peer_link/peer_link.h"
#include "servers/peer_link/peer_link_settings.h"

namespace almondnotch {

/// Registers the service "peer_link".
result<peer_link *> registerPeerLink(kernel &owner, peer_link_settings settings);

} // namespace almondnotch
