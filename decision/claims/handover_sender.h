#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/claims/claim_table.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// A live gateway that can take over claims.
struct successor_candidate
{
    process_id process;
    std::string peerAddress;
};

/// Transfers the claims of a leaving process to one successor.
///
/// Chunks may be resent. The successor may change until the first commit is sent. After that the
/// successor is fixed, since it may already own the claims. All messages are idempotent.
class handover_sender
{
public:
    handover_sender(claim_table &claims, counter_set &counters)
        : m_claims(claims), m_counters(counters)
    { }

    /// Starts the handover. The claim table must be sealed and no operation may be in progress.
    void start(instant now, const std::vector<successor_candidate> &candidates,
               action_list &actions);

    /// Sends or resends the chunks and commits that have not been acknowledged. Before the first
    /// commit, selects another successor if the present one is no longer in `candidates` or
    /// rejected the handover, and abandons the handover if there is none.
    void timerExpired(instant now, const std::vector<successor_candidate> &candidates,
                      action_list &actions);

    void acknowledged(instant now, const process_id &from, const handover_ack &ack,
                      action_list &actions);

    bool isStarted() const { return m_started; }
    /// True if each transfer was committed or rejected by the fixed successor, or if no successor
    /// is available. Meaningful only after `start`.
    bool isFinished() const;
    instant nextWake() const { return m_started && !isFinished() ? m_resendAt : instant::never(); }

    nlohmann::json dump() const;

private:
    /// The transfer of the key ranges of one initial owner and of the claims in them.
    struct range_transfer
    {
        process_id initialOwner;
        std::vector<handover_chunk> chunks;
        bool commitSent = false;
        bool committed = false;
        /// The fixed successor rejected the transfer, and no other process may take it over.
        bool rejected = false;
        /// The first commit. When it is resent, only its `clock` is advanced.
        handover_commit commit;
        instant commitSentAt;
    };

    bool isSuccessorFixed() const;
    void chooseSuccessor(const std::vector<successor_candidate> &candidates);
    void sendChunks(const range_transfer &rangeTransfer, action_list &actions);
    void sendMissing(instant now, range_transfer &rangeTransfer,
                     const std::vector<std::uint32_t> &missing, action_list &actions);
    void sendCommit(instant now, range_transfer &rangeTransfer, action_list &actions);
    void send(peer_message message, action_list &actions);

    claim_table &m_claims;
    counter_set &m_counters;
    bool m_started = false;
    bool m_abandoned = false;
    std::optional<successor_candidate> m_successor;
    std::vector<process_id> m_rejectedBy;
    std::vector<range_transfer> m_transfers;
    instant m_resendAt = instant::never();
};

} // namespace almondnotch
