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
    for (const process_id &owner : m_claims.ownedProcesses())
        m_transfers.push_back({owner, m_claims.exportClaims(owner), false, false, false, {}, {}});
    timerExpired(now, candidates, actions);
}

void handover_sender::chooseSuccessor(const std::vector<successor_candidate> &candidates)
{
    m_successor.reset();
    for (const successor_candidate &candidate : candidates) {
        if (std::find(m_refusedBy.begin(), m_refusedBy.end(), candidate.process)
            == m_refusedBy.end()) {
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
        // Without a successor, calls with these keys get the outcome `unknown`, which is safe.
        m_abandoned = true;
        m_counters.add("handovers_abandoned_total");
        return;
    }
    m_resendAt = now + resendInterval;
    for (transfer &ownerTransfer : m_transfers) {
        if (ownerTransfer.committed || ownerTransfer.refused)
            continue;
        if (ownerTransfer.commitSent || ownerTransfer.chunks.empty())
            sendCommit(now, ownerTransfer, actions);
        else
            sendChunks(ownerTransfer, actions);
    }
}

void handover_sender::acknowledged(instant now, const process_id &from, const handover_ack &ack,
                                   action_list &actions)
{
    if (!m_successor || from != m_successor->process)
        return;
    for (transfer &ownerTransfer : m_transfers) {
        if (ownerTransfer.owner != ack.from || ownerTransfer.committed || ownerTransfer.refused)
            continue;
        if (ack.committed) {
            ownerTransfer.committed = true;
            m_counters.add("handovers_committed_total");
        } else if (ack.refused) {
            if (!isSuccessorFixed()) {
                m_refusedBy.push_back(from);
                m_successor.reset();
                m_resendAt = now;
                return;
            }
            // This successor may already have committed another transfer, so no other process may
            // take over this one. Calls with its keys get the outcome `unknown`.
            ownerTransfer.refused = true;
            m_counters.add("handovers_abandoned_total");
        } else if (!ack.missing.empty()) {
            sendMissing(now, ownerTransfer, ack.missing, actions);
        } else if (!ownerTransfer.commitSent) {
            sendCommit(now, ownerTransfer, actions);
        }
    }
}

void handover_sender::sendChunks(const transfer &ownerTransfer, action_list &actions)
{
    for (const handover_chunk &chunk : ownerTransfer.chunks)
        send(chunk, actions);
}

void handover_sender::sendMissing(instant now, transfer &ownerTransfer,
                                  const std::vector<std::uint32_t> &missing, action_list &actions)
{
    for (const std::uint32_t sequence : missing) {
        if (sequence < ownerTransfer.chunks.size())
            send(ownerTransfer.chunks[sequence], actions);
    }
    if (ownerTransfer.commitSent)
        sendCommit(now, ownerTransfer, actions);
}

void handover_sender::sendCommit(instant now, transfer &ownerTransfer, action_list &actions)
{
    // From now on the successor may answer duplicate calls, so this process must not answer them
    // any more.
    handover_commit commit = m_claims.makeCommit(
        now, ownerTransfer.owner, static_cast<std::uint32_t>(ownerTransfer.chunks.size()));
    if (!ownerTransfer.commitSent) {
        ownerTransfer.commitSent = true;
        ownerTransfer.commit = commit;
        ownerTransfer.commitSentAt = now;
        m_claims.transferOwnership(now, ownerTransfer.owner, m_successor->process);
    } else {
        commit = ownerTransfer.commit;
        commit.clock = ownerTransfer.commit.clock + (now - ownerTransfer.commitSentAt);
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
                          [](const transfer &ownerTransfer) {
                              return ownerTransfer.committed || ownerTransfer.refused;
                          });
}

bool handover_sender::isSuccessorFixed() const
{
    return std::any_of(m_transfers.begin(), m_transfers.end(),
                       [](const transfer &ownerTransfer) { return ownerTransfer.commitSent; });
}

nlohmann::json handover_sender::dump() const
{
    nlohmann::json transfers = nlohmann::json::array();
    for (const transfer &ownerTransfer : m_transfers)
        transfers.push_back({{"owner", toString(ownerTransfer.owner)},
                             {"chunks", ownerTransfer.chunks.size()},
                             {"commit_sent", ownerTransfer.commitSent},
                             {"committed", ownerTransfer.committed}});
    return {{"started", m_started},
            {"finished", m_started && isFinished()},
            {"abandoned", m_abandoned},
            {"successor", m_successor ? toString(m_successor->process) : std::string()},
            {"transfers", transfers}};
}

} // namespace almondnotch
