#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "decision/types.h"

namespace almondnotch {

/// Maximum length of an idempotency key in bytes.
constexpr std::size_t idempotencyKeyBytesMax = 256;

/// A range of idempotency keys. It names its initial owner, the only process that may execute
/// operations with these keys.
///
/// Its token is the text "vm.start_number.minted_ms.range_number.mac". The MAC is HMAC-SHA256 over
/// the four fields before it, truncated to 128 bits, so that a caller cannot forge a range.
struct key_range
{
    process_id initialOwner;
    /// Reading of the initial owner's clock when the range was minted, in whole milliseconds.
    duration mintedAt {0};
    std::uint64_t rangeNumber = 0;

    bool operator==(const key_range &) const = default;
};

/// Key of one operation: a key range and a number that the caller chose within it.
struct operation_key
{
    key_range range;
    std::uint32_t number = 0;

    bool operator==(const operation_key &) const = default;
};

/// Returns the token of a key range, signed with `secret`.
std::string formatKeyRange(const key_range &range, std::string_view secret);

/// Parses "TOKEN/NUMBER" and verifies the MAC against each of `secrets`.
///
/// Only the canonical spelling is accepted (decimal, no leading zeros), since two spellings of one
/// key would count as two operations.
/// \return invalid_argument for a malformed key, authentication_failed for a wrong MAC.
result<operation_key> parseOperationKey(std::string_view text,
                                        const std::vector<std::string> &secrets);

} // namespace almondnotch
