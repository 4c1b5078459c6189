#pragma once

#include <peer.pb.h>

#include "core/error.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Writes a message as the payload of an envelope.
void encodeMessage(const peer_message &message, peer::v1::Envelope &envelope);

/// Reads the payload of an envelope.
/// \return an error if it is missing or unknown, lacks a part without which it has no meaning, or
/// has an enumeration value out of range.
result<peer_message> decodeMessage(const peer::v1::Envelope &envelope);

} // namespace almondnotch
