#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/time.h"
#include "decision/claims/claim_table.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Collects the chunks of handovers, and adopts the claims when a commit arrives and all chunks are
/// present.
///
/// Staged chunks do not transfer ownership: until the commit takes effect, this process does not
/// own the key ranges.
class handover_receiver
{
public:
    handover_receiver(claim_table &claims, counter_set &counters)
        : m_claims(claims), m_counters(counters)
    { }

    /// \return the acknowledgement to send back.
    handover_ack chunkReceived(instant now, const handover_chunk &chunk);
    handover_ack commitReceived(instant now, const process_id &sender,
                                const handover_commit &commit);

    /// Drops the chunks of each staged transfer for which no chunk has arrived for 60 s.
    void expire(instant now);

    nlohmann::json dump() const;

private:
    /// Chunks of the claims in the key ranges of one initial owner.
    struct staged_transfer
    {
        std::map<std::uint32_t, handover_chunk> chunks;
        std::size_t claimCount = 0;
        instant lastChunkAt;
    };

    claim_table &m_claims;
    counter_set &m_counters;
    /// Staged transfers, keyed by the initial owner of the key ranges (`handover_chunk::from`).
    std::map<process_id, staged_transfer> m_stagedTransfers;
};

} // namespace almondnotch
