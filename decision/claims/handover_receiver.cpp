#include "decision/claims/handover_receiver.h"

#include <iterator>

namespace almondnotch {

namespace {

/// A sender resends its chunks every 250 ms. If no chunk of a transfer arrives for this time, its
/// sender is considered gone.
constexpr duration stagingTimeout = seconds(60);

/// Maximum number of transfers that are staged at the same time, one for each initial owner. Large
/// enough for all VMs of the smallest fleet to leave together.
constexpr std::size_t stagedTransfersMax = 32;

/// Maximum number of missing chunks that one acknowledgement lists.
constexpr std::size_t missingReportedMax = 1000;

/// Maximum number of claims of all staged transfers together: as many as one claim table holds by
/// default.
constexpr std::size_t stagedClaimsMax = 100000;

} // namespace

handover_ack handover_receiver::chunkReceived(instant now, const handover_chunk &chunk)
{
    handover_ack ack;
    ack.from = chunk.from;
    if (m_claims.ownsRangesOf(chunk.from)) {
        ack.committed = true;
        return ack;
    }
    const bool alreadyStaged = m_stagedTransfers.contains(chunk.from);
    std::size_t stagedClaimCount = chunk.claims.size();
    for (const std::pair<const process_id, staged_transfer> &entry : m_stagedTransfers)
        stagedClaimCount += entry.second.claimCount;
    if (m_claims.isSealed() || (!alreadyStaged && m_stagedTransfers.size() >= stagedTransfersMax)
        || stagedClaimCount > stagedClaimsMax) {
        m_counters.add("handover_chunks_refused_total");
        ack.refused = true;
        return ack;
    }
    staged_transfer &stagedTransfer = m_stagedTransfers[chunk.from];
    stagedTransfer.lastChunkAt = now;
    if (stagedTransfer.chunks.emplace(chunk.sequence, chunk).second)
        stagedTransfer.claimCount += chunk.claims.size();
    // Only the commit contains the number of chunks. Until then, gaps below the highest sequence
    // number are reported as missing.
    const std::uint32_t highest = stagedTransfer.chunks.rbegin()->first;
    for (std::uint32_t i = 0; i < highest && ack.missing.size() < missingReportedMax; ++i) {
        if (!stagedTransfer.chunks.contains(i))
            ack.missing.push_back(i);
    }
    return ack;
}

handover_ack handover_receiver::commitReceived(instant now, const process_id &sender,
                                               const handover_commit &commit)
{
    handover_ack ack;
    ack.from = commit.from;
    if (m_claims.ownsRangesOf(commit.from)) {
        ack.committed = true;
        return ack;
    }
    const auto found = m_stagedTransfers.find(commit.from);
    std::vector<claim_record> claims;
    for (std::uint32_t i = 0; i < commit.chunkCount; ++i) {
        if (found == m_stagedTransfers.end() || !found->second.chunks.contains(i)) {
            if (ack.missing.size() < missingReportedMax)
                ack.missing.push_back(i);
            continue;
        }
        const std::vector<claim_record> &chunkClaims = found->second.chunks.at(i).claims;
        claims.insert(claims.end(), chunkClaims.begin(), chunkClaims.end());
    }
    if (!ack.missing.empty())
        return ack;
    if (!m_claims.adopt(now, sender, commit, claims)) {
        m_counters.add("handover_commits_refused_total");
        ack.refused = true;
        return ack;
    }
    if (found != m_stagedTransfers.end())
        m_stagedTransfers.erase(found);
    m_counters.add("handovers_adopted_total");
    ack.committed = true;
    return ack;
}

void handover_receiver::expire(instant now)
{
    for (auto it = m_stagedTransfers.begin(); it != m_stagedTransfers.end();)
        it = now - it->second.lastChunkAt > stagingTimeout ? m_stagedTransfers.erase(it)
                                                           : std::next(it);
}

nlohmann::json handover_receiver::dump() const
{
    nlohmann::json staged = nlohmann::json::object();
    for (const std::pair<const process_id, staged_transfer> &entry : m_stagedTransfers)
        staged[toString(entry.first)]
            = {{"chunks", entry.second.chunks.size()}, {"claims", entry.second.claimCount}};
    return {{"staged", staged}, {"staged_senders_max", stagedTransfersMax}};
}

} // namespace almondnotch
