#include "decision/claims/handover_sender.h"

#include <algorithm>

namespace almondnotch {

namespace {

/// A message that was not acknowledged is resent after this time, which is longer than a round trip
/// between regions.
constexpr duration resendInterval = milliseconds(250);

} // namespace

void handover_sender::start(instant now, const std::vector<successor_candidate> &candidates,
                            action_list &actions)
{
    if (m_started)
        return;
    m_started = true;
    for (const process_id &initialOwner : m_claims.initialOwnersOfOwnedRanges())
        m_transfers.push_back(
            {initialOwner, m_claims.exportClaims(initialOwner), false, false, false, {}, {}});
    timerExpired(now, candidates, actions);
}

void handover_sender::chooseSuccessor(const std::vector<successor_candidate> &candidates)
{
    m_successor.reset();
    for (const successor_candidate &candidate : candidates) {
        if (std::find(m_rejectedBy.begin(), m_rejectedBy.end(), candidate.process)
            == m_rejectedBy.end()) {
            m_successor = candidate;
            return;
        }
    }
}

void handover_sender::timerExpired(instant now, const std::vector<successor_candidate> &candidates,
                                   action_list &actions)
{
    if (!m_started || isFinished())
        return;
    if (!isSuccessorFixed()) {
        const bool successorAlive
            = m_successor
              && std::any_of(candidates.begin(), candidates.end(),
                             [this](const successor_candidate &candidate) {
                                 return candidate.process == m_successor->process;
                             });
        if (!successorAlive)
            chooseSuccessor(candidates);
    }
    if (!m_successor) {
        // Without a successor, later calls with keys of this process's ranges get the outcome
        // `unknown`. This is safe, since no operation is executed a second time.
        m_abandoned = true;
        m_counters.add("handovers_abandoned_total");
        return;
    }
    m_resendAt = now + resendInterval;
    for (range_transfer &rangeTransfer : m_transfers) {
        if (rangeTransfer.committed || rangeTransfer.rejected)
            continue;
        if (rangeTransfer.commitSent || rangeTransfer.chunks.empty())
            sendCommit(now, rangeTransfer, actions);
        else
            sendChunks(rangeTransfer, actions);
    }
}

void handover_sender::acknowledged(instant now, const process_id &from, const handover_ack &ack,
                                   action_list &actions)
{
    if (!m_successor || from != m_successor->process)
        return;
    for (range_transfer &rangeTransfer : m_transfers) {
        if (rangeTransfer.initialOwner != ack.from || rangeTransfer.committed
            || rangeTransfer.rejected)
            continue;
        if (ack.committed) {
            rangeTransfer.committed = true;
            m_counters.add("handovers_committed_total");
        } else if (ack.refused) {
            if (!isSuccessorFixed()) {
                m_rejectedBy.push_back(from);
                m_successor.reset();
                m_resendAt = now;
                return;
            }
            // This successor may already have committed another transfer, so no other process may
            // take over this one. Calls with its keys get the outcome `unknown`.
            rangeTransfer.rejected = true;
            m_counters.add("handovers_abandoned_total");
        } else if (!ack.missing.empty()) {
            sendMissing(now, rangeTransfer, ack.missing, actions);
        } else if (!rangeTransfer.commitSent) {
            sendCommit(now, rangeTransfer, actions);
        }
    }
}

void handover_sender::sendChunks(const range_transfer &rangeTransfer, action_list &actions)
{
    for (const handover_chunk &chunk : rangeTransfer.chunks)
        send(chunk, actions);
}

void handover_sender::sendMissing(instant now, range_transfer &rangeTransfer,
                                  const std::vector<std::uint32_t> &missing, action_list &actions)
{
    for (const std::uint32_t sequence : missing) {
        if (sequence < rangeTransfer.chunks.size())
            send(rangeTransfer.chunks[sequence], actions);
    }
    if (rangeTransfer.commitSent)
        sendCommit(now, rangeTransfer, actions);
}

void handover_sender::sendCommit(instant now, range_transfer &rangeTransfer, action_list &actions)
{
    // From now on the successor may answer duplicate calls, so this process must not answer them
    // any more.
    handover_commit commit = m_claims.makeCommit(
        now, rangeTransfer.initialOwner, static_cast<std::uint32_t>(rangeTransfer.chunks.size()));
    if (!rangeTransfer.commitSent) {
        rangeTransfer.commitSent = true;
        rangeTransfer.commit = commit;
        rangeTransfer.commitSentAt = now;
        m_claims.transferOwnership(now, rangeTransfer.initialOwner, m_successor->process);
    } else {
        commit = rangeTransfer.commit;
        commit.clock = rangeTransfer.commit.clock + (now - rangeTransfer.commitSentAt);
    }
    send(commit, actions);
}

void handover_sender::send(peer_message message, action_list &actions)
{
    actions.push_back(send_peer_message {m_successor->peerAddress, 0, std::move(message)});
}

bool handover_sender::isFinished() const
{
    return m_abandoned
           || std::all_of(m_transfers.begin(), m_transfers.end(),
                          [](const range_transfer &rangeTransfer) {
                              return rangeTransfer.committed || rangeTransfer.rejected;
                          });
}

bool handover_sender::isSuccessorFixed() const
{
    return std::any_of(
        m_transfers.begin(), m_transfers.end(),
        [](const range_transfer &rangeTransfer) { return rangeTransfer.commitSent; });
}

nlohmann::json handover_sender::dump() const
{
    nlohmann::json transfers = nlohmann::json::array();
    for (const range_transfer &rangeTransfer : m_transfers)
        transfers.push_back({{"owner", toString(rangeTransfer.initialOwner)},
                             {"chunks", rangeTransfer.chunks.size()},
                             {"commit_sent", rangeTransfer.commitSent},
                             {"committed", rangeTransfer.committed}});
    return {{"started", m_started},
            {"finished", m_started && isFinished()},
            {"abandoned", m_abandoned},
            {"successor", m_successor ? toString(m_successor->process) : std::string()},
            {"transfers", transfers}};
}

} // namespace almondnotch
