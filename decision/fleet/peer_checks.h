#pragma once

#include <string_view>

#include "core/error.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Validates all values of a digest: sizes of lists and names, addresses, hashes, ages, and that
/// `digest.self` describes the sender. Peers are authenticated, but may run another version or
/// faulty code.
result<void> checkDigest(const process_id &from, const fleet_digest &digest);

result<void> checkConfigRequest(const config_request &request);
result<void> checkConfigData(const config_data &data);

/// True if the text consists of 64 lower-case hexadecimal digits.
bool isSha256Hex(std::string_view text);

} // namespace almondnotch
