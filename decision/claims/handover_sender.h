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

/// Passes the claims of a leaving process to one successor.
///
/// Chunks may be repeated and the successor changed until a commit may have been sent; after that
/// the successor is fixed, since it may own the claims already. All messages are idempotent.
class handover_sender
{
public:
    handover_sender(claim_table &claims, counter_set &counters)
        : m_claims(claims), m_counters(counters)
    { }

    /// Starts once the table is sealed and nothing runs any more.
    void start(instant now, const std::vector<successor_candidate> &candidates,
               action_list &actions);

    /// Resends what was not acknowledged in time.
    void timerExpired(instant now, const std::vector<successor_candidate> &candidates,
                      action_list &actions);

    void acknowledged(instant now, const process_id &from, const handover_ack &ack,
                      action_list &actions);

    bool isStarted() const { return m_started; }
    /// All claims are taken over, or nobody is there to take them.
    bool isFinished() const;
    instant nextWake() const { return m_started && !isFinished() ? m_resendAt : instant::never(); }

    nlohmann::json dump() const;

private:
    /// The handover of one owned process's claims.
    struct transfer
    {
        process_id owner;
        std::vector<handover_chunk> chunks;
        bool commitSent = false;
        bool committed = false;
        /// The fixed successor refused; nobody else may take over.
        bool refused = false;
        /// The first commit; repeats carry the same facts with the clock moved on.
        handover_commit commit;
        instant commitSentAt;
    };

    bool isSuccessorFixed() const;
    void chooseSuccessor(const std::vector<successor_candidate> &candidates);
    void sendChunks(const transfer &ownerTransfer, action_list &actions);
    void sendMissing(instant now, transfer &ownerTransfer,
                     const std::vector<std::uint32_t> &missing, action_list &actions);
    void sendCommit(instant now, transfer &ownerTransfer, action_list &actions);
    void send(peer_message message, action_list &actions);

    claim_table &m_claims;
    counter_set &m_counters;
    bool m_started = false;
    bool m_abandoned = false;
    std::optional<successor_candidate> m_successor;
    std::vector<process_id> m_refusedBy;
    std::vector<transfer> m_transfers;
    instant m_resendAt = instant::never();
};

} // namespace almondnotch
