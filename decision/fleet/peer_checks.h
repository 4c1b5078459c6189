#pragma once

#include <string_view>

#include "core/error.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Checks all values of a digest: bounds of lists and texts, addresses, hashes, that the sender
/// speaks of itself. Peers are authenticated, but may run other or faulty code.
result<void> checkDigest(const process_id &from, const fleet_digest &digest);

result<void> checkConfigRequest(const config_request &request);
result<void> checkConfigData(const config_data &data);

/// 64 lower-case hexadecimal digits.
bool isSha256Hex(std::string_view text);

} // namespace almondnotch
