#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace almondnotch {

/// Bounds and lifetimes of the claim table.
struct claim_settings
{
    /// Keys for key range tokens; the first signs, all are accepted.
    std::vector<std::string> tokenKeys;
    std::uint32_t claimsMax = 100000;
    /// Largest response that is kept for a repeat, bytes.
    std::uint32_t storedResponseBytesMax = 16 * 1024;
    /// All stored responses together, bytes.
    std::uint64_t storedBytesMax = 64ULL * 1024 * 1024;
    /// How long new numbers of a key range are accepted.
    duration acceptPeriod {seconds(600)};
    /// How much longer claims are kept.
    duration replayPeriod {seconds(600)};
    /// Claims in one chunk of a handover.
    std::uint32_t chunkClaimsMax = 256;

    bool operator==(const claim_settings &) const = default;
};

} // namespace almondnotch
