#pragma once

#include <stdexcept>
#include <string>

#include "core/counters.h"
#include "core/invariants.h"
#include "decision/claims/claim_table.h"
#include "decision/claims/key_range.h"

namespace almondnotch {

/// The claim table of one process. Throws if an invariant is violated.
struct claim_fixture
{
    explicit claim_fixture(const std::string &vm = "vm-a", std::uint32_t claimsMax = 100)
        : self {vm, 7}, table(makeSettings(claimsMax), self, invariants, counters)
    {
        invariants.setFailureHandler([](std::string_view name, const std::string &detail) {
            throw std::runtime_error(std::string(name) + ": " + detail);
        });
    }

    static claim_settings makeSettings(std::uint32_t claimsMax)
    {
        claim_settings settings;
        settings.tokenSecrets = {"secret"};
        settings.claimsMax = claimsMax;
        settings.acceptPeriod = seconds(600);
        settings.replayPeriod = seconds(600);
        settings.chunkClaimsMax = 2;
        return settings;
    }

    /// Idempotency key of a range that belongs to this process.
    /// \param mintedAt see `key_range::mintedAt`.
    std::string key(unsigned number, duration mintedAt = duration {0}) const
    {
        return formatKeyRange({self, mintedAt, 1}, "secret") + "/" + std::to_string(number);
    }

    /// Begins an operation with the given idempotency key in a new call.
    claim_result beginOperation(instant now, const std::string &keyText,
                                std::uint64_t requestDigest = 1)
    {
        call_request request;
        request.idempotencyKey = keyText;
        return table.beginOperation(now, request, requestDigest,
                                    static_cast<call_id>(++lastCallId));
    }

    process_id self;
    invariant_set invariants;
    counter_set counters;
    claim_table table;
    std::uint64_t lastCallId = 0;
};

inline shared_response makeResponse(std::string body)
{
    std::shared_ptr<call_response> response = std::make_shared<call_response>();
    response->status = 201;
    response->body = std::move(body);
    return response;
}

/// Returns the instant `secondsAfterOrigin` seconds after the origin of the clock.
inline instant at(double secondsAfterOrigin)
{
    return instant(duration(static_cast<std::int64_t>(secondsAfterOrigin * 1e6)));
}

} // namespace almondnotch
