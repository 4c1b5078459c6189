#pragma once

#include <peer.pb.h>

#include "core/error.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Writes changes of published items for another gateway.
void encodeItems(const items_update &update, peer::v1::ItemsUpdate &out);

/// Reads changes of published items.
/// \return an error if the scope is unknown, if there are more items or routes than an update may
/// carry, or if a weight is not a positive number.
result<items_update> decodeItems(const peer::v1::ItemsUpdate &in);

} // namespace almondnotch
