#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace almondnotch {

/// Settings of the claim table (the records of operations with idempotency keys): secrets of the
/// key range tokens, limits, and lifetimes of key ranges and claims.
struct claim_settings
{
    /// Secrets for the MACs of key range tokens. The first one signs new tokens; tokens signed with
    /// any of them are accepted.
    std::vector<std::string> tokenSecrets;
    std::uint32_t claimsMax = 100000;
    /// Maximum size of a response that is stored for duplicate calls, in bytes.
    std::uint32_t storedResponseBytesMax = 16 * 1024;
    /// Maximum total size of all stored responses, in bytes.
    std::uint64_t storedBytesMax = 64ULL * 1024 * 1024;
    /// Time for which a key range accepts new operations, counted from its minting.
    duration acceptPeriod {seconds(600)};
    /// Time after the accept period for which claims are kept to answer duplicate calls.
    duration replayPeriod {seconds(600)};
    /// Maximum number of claims in one chunk of a handover.
    std::uint32_t chunkClaimsMax = 256;

    bool operator==(const claim_settings &) const = default;
};

} // namespace almondnotch
