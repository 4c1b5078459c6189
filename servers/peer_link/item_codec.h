#pragma once

#include <peer.pb.h>

#include "core/error.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Encodes changes of published items for another gateway.
void encodeItems(const items_update &update, peer::v1::ItemsUpdate &out);

/// Decodes changes of published items.
/// \return an error if the scope is unknown, if there are more items or routes than an update may
/// contain, if a route has no target, or if a weight is negative or not finite.
result<items_update> decodeItems(const peer::v1::ItemsUpdate &in);

} // namespace almondnotch
