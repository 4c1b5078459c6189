#pragma once

#include <peer.pb.h>

#include "core/error.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Encodes a message as the payload of an envelope.
void encodeMessage(const peer_message &message, peer::v1::Envelope &envelope);

/// Decodes the payload of an envelope.
/// \return an error if the payload is missing or unknown, lacks a required part, contains an
/// enumeration value or a status out of range, or is an update that `decodeItems` rejects.
result<peer_message> decodeMessage(const peer::v1::Envelope &envelope);

} // namespace almondnotch
