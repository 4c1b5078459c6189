#pragma once

#include <string>
#include <vector>

#include "decision/peer_messages.h"
#include "decision/routing/items/item_reader.h"

namespace almondnotch {

/// Makes the updates by which a reader relays changes to the gateways of its failure domain, each
/// small enough for one message. Of a snapshot, only the changes since the previous one are
/// relayed. The list that begins an era is relayed whole, as an update that begins at revision 0.
/// \param removedNames names of the items that a snapshot has removed. \return nothing if
/// the changes cannot be relayed: they are too large, nothing was known before the snapshot, or
/// their revisions are unknown.
std::vector<items_update> makeUpdates(item_scope scope, const item_batch &batch,
                                      const std::vector<std::string> &removedNames);

} // namespace almondnotch
