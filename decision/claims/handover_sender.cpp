#include "decision/claims/handover_sender.h"

#include <algorithm>

namespace almondnotch {

namespace {

/// A lost message is sent again after this time; longer than a round trip between regions.
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
        if (std::find(m_refused.begin(), m_refused.end(), candidate.process) == m_refused.end()) {
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
        const bool stillLive = m_successor
                               && std::any_of(candidates.begin(), candidates.end(),
                                              [this](const successor_candidate &candidate) {
                                                  return candidate.process == m_successor->process;
                                              });
        if (!stillLive)
            chooseSuccessor(candidates);
    }
    if (!m_successor) {
        // Without a successor the keys stay unknown, which is safe.
        m_abandoned = true;
        m_counters.add("handovers_abandoned_total");
        return;
    }
    m_resendAt = now + resendInterval;
    for (transfer &part : m_transfers) {
        if (part.committed || part.refused)
            continue;
        if (part.commitSent || part.chunks.empty())
            sendCommit(now, part, actions);
        else
            sendChunks(part, actions);
    }
}

void handover_sender::acknowledged(instant now, const process_id &from, const handover_ack &ack,
                                   action_list &actions)
{
    if (!m_successor || from != m_successor->process)
        return;
    for (transfer &part : m_transfers) {
        if (part.owner != ack.from || part.committed || part.refused)
            continue;
        if (ack.committed) {
            part.committed = true;
            m_counters.add("handovers_committed_total");
        } else if (ack.refused) {
            if (!isSuccessorFixed()) {
                m_refused.push_back(from);
                m_successor.reset();
                m_resendAt = now;
                return;
            }
            // Another transfer may be committed there already, so nobody else may take this one;
            // its keys stay unknown.
            part.refused = true;
            m_counters.add("handovers_abandoned_total");
        } else if (!ack.missing.empty()) {
            sendMissing(now, part, ack.missing, actions);
        } else if (!part.commitSent) {
            sendCommit(now, part, actions);
        }
    }
}

void handover_sender::sendChunks(const transfer &part, action_list &actions)
{
    for (const handover_chunk &chunk : part.chunks)
        send(chunk, actions);
}

void handover_sender::sendMissing(instant now, transfer &part,
                                  const std::vector<std::uint32_t> &missing, action_list &actions)
{
    for (const std::uint32_t sequence : missing) {
        if (sequence < part.chunks.size())
            send(part.chunks[sequence], actions);
    }
    if (part.commitSent)
        sendCommit(now, part, actions);
}

void handover_sender::sendCommit(instant now, transfer &part, action_list &actions)
{
    // From here on the successor may run repeats, so this process must answer for none of them.
    handover_commit commit
        = m_claims.makeCommit(now, part.owner, static_cast<std::uint32_t>(part.chunks.size()));
    if (!part.commitSent) {
        part.commitSent = true;
        part.commit = commit;
        part.commitSentAt = now;
        m_claims.handOver(now, part.owner, m_successor->process);
    } else {
        commit = part.commit;
        commit.clock = part.commit.clock + (now - part.commitSentAt);
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
                          [](const transfer &part) { return part.committed || part.refused; });
}

bool handover_sender::isSuccessorFixed() const
{
    return std::any_of(m_transfers.begin(), m_transfers.end(),
                       [](const transfer &part) { return part.commitSent; });
}

nlohmann::json handover_sender::dump() const
{
    nlohmann::json transfers = nlohmann::json::array();
    for (const transfer &part : m_transfers)
        transfers.push_back({{"owner", toString(part.owner)},
                             {"chunks", part.chunks.size()},
                             {"commit_sent", part.commitSent},
                             {"committed", part.committed}});
    return {{"started", m_started},
            {"finished", m_started && isFinished()},
            {"abandoned", m_abandoned},
            {"successor", m_successor ? toString(m_successor->process) : std::string()},
            {"transfers", transfers}};
}

} // namespace almondnotch
