#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/invariants.h"
#include "core/time.h"
#include "decision/claims/claim_settings.h"
#include "decision/claims/key_range.h"
#include "decision/peer_messages.h"
#include "decision/types.h"

namespace almondnotch {

/// How a call with an idempotency key is to be handled.
enum class claim_verdict {
    /// The key is new: execute the call and report its end with `finishOperation`.
    execute,
    /// Another call of the same operation is in progress. When it ends, `finishOperation` returns
    /// this call, which then gets the same response.
    wait,
    /// The operation has already ended: send the stored `response`.
    replay,
    /// Another process owns the key: forward the call to `owner`.
    forward,
    /// The call is rejected: send `response`.
    reject,
};

struct claim_result
{
    claim_verdict verdict = claim_verdict::reject;
    /// Set for `replay` and `reject`.
    shared_response response;
    /// Set for `forward`.
    process_id owner;
};

/// Claims on the idempotency keys of the key ranges that this process owns. A claim records that
/// the operation of a key was started, and its outcome and response when it has ended.
///
/// Guarantees: A key gets the verdict `execute` at most once, and never after it was rejected as
/// `not_run`, so that both `run` and `not_run` are final even if a copy of the call arrives late.
/// A claim is not removed before its key range has expired, since until then a key without a claim
/// counts as never executed.
/// After `seal`, and for ranges that were taken over from another process, no key gets the verdict
/// `execute`.
class claim_table
{
public:
    /// \param invariants, counters must outlive the table.
    claim_table(claim_settings settings, process_id self, invariant_set &invariants,
                counter_set &counters);

    /// Mints a key range that belongs to `initialOwner`, whose clock currently reads `ownerClock`.
    /// \return the token of the range; an empty string if no secret is configured.
    std::string mintRange(const process_id &initialOwner, duration ownerClock,
                          std::uint64_t rangeNumber);

    /// Decides how a call with an idempotency key is handled. If the key is new, records a claim as
    /// running; the call must then be executed and `finishOperation` called.
    /// \param now reading of this process's clock, which the mint times of its own ranges refer to.
    /// \param call identifies the call if it has to wait for another call of the same operation.
    claim_result beginOperation(instant now, const call_request &request,
                                std::uint64_t requestDigest, call_id call);

    /// Records the end of an operation for which `beginOperation` returned `execute`.
    /// \return the calls that waited for it and get the same response.
    std::vector<call_id> finishOperation(const std::string &key, call_outcome outcome,
                                         const shared_response &response);

    /// Removes a waiting call that ended before the operation did.
    void removeWaiter(const std::string &key, call_id call);

    /// Removes claims and handover records whose lifetime has passed.
    void expire(instant now);

    /// Rejects new operations from now on. This cannot be undone.
    void seal() { m_sealed = true; }
    bool isSealed() const { return m_sealed; }

    std::size_t size() const { return m_claims.size(); }

    /// Initial owners of the key ranges that this process owns. Includes this process until its
    /// handover.
    std::vector<process_id> initialOwnersOfOwnedRanges() const;

    /// Returns the claims in the ranges of `initialOwner`, in chunks for a handover. A claim whose
    /// operation is still in progress is exported with the outcome `unknown`. This does not happen
    /// in a handover, which starts only after all operations have ended.
    std::vector<handover_chunk> exportClaims(const process_id &initialOwner) const;

    /// Builds the commit message for the handover of the ranges of `initialOwner`.
    handover_commit makeCommit(instant now, const process_id &initialOwner,
                               std::uint32_t chunkCount) const;

    /// Makes `successor` the new owner of the ranges of `initialOwner`. Must be called before the
    /// commit is sent, since the successor may own them as soon as it receives the commit.
    void transferOwnership(instant now, const process_id &initialOwner,
                           const process_id &successor);

    /// Takes over the ranges and claims of `commit.from`, which `sender` owned until now.
    /// \return false if this table is sealed or does not have enough room; nothing is taken over
    /// then. True without a change if this process already owns the ranges.
    bool adopt(instant now, const process_id &sender, const handover_commit &commit,
               const std::vector<claim_record> &claims);

    /// True if this process owns the key ranges whose initial owner is `process`.
    bool ownsRangesOf(const process_id &process) const { return m_ownedRanges.contains(process); }

    /// Records which process took over the key ranges of a process that left.
    void recordHandover(instant now, const handover_record &record);

    /// Handovers that have not expired, to be sent to other gateways.
    std::vector<handover_record> handovers(instant now) const;

    nlohmann::json dump() const;

private:
    struct claim
    {
        std::uint64_t requestDigest = 0;
        call_outcome outcome = call_outcome::unknown;
        bool running = false;
        shared_response response;
        std::vector<call_id> waiters;
        process_id initialOwner;
        /// Time at which the claim may be removed. The entry of its key in `m_keysByExpiry` has the
        /// same time.
        instant expiry;
    };

    /// Clock offset and lifetimes of the key ranges of one initial owner.
    struct range_timing
    {
        /// Clock that the mint times refer to, minus the clock of this process.
        duration clockOffset {0};
        duration acceptPeriod {0};
        duration replayPeriod {0};
    };

    struct successor_entry
    {
        process_id process;
        instant handedOverAt;
    };

    claim_result beginOwnedKeyOperation(instant now, const operation_key &key,
                                        const std::string &keyText, const range_timing &timing,
                                        std::uint64_t requestDigest, call_id call,
                                        const std::string &requestId);
    claim_result handleDuplicate(claim &existing, std::uint64_t requestDigest, call_id call,
                                 const std::string &requestId);
    void insert(instant expiry, const std::string &key, claim record);
    void storeResponse(claim &record, const shared_response &response);
    instant expiryOf(const key_range &range, const range_timing &timing) const;

    claim_settings m_settings;
    process_id m_self;
    invariant_set &m_invariants;
    counter_set &m_counters;
    bool m_sealed = false;
    std::size_t m_runningCount = 0;
    /// Key ranges with a mint time before this one accept no new operations. Raised when the table
    /// is full.
    duration m_minAcceptedMintTime {0};
    std::uint64_t m_storedBytes = 0;
    std::unordered_map<std::string, claim> m_claims;
    /// Keys of all claims, ordered by `claim::expiry`.
    std::set<std::pair<instant, std::string>> m_keysByExpiry;
    /// Clock offset and lifetimes of the key ranges that this process owns, by their initial owner.
    std::map<process_id, range_timing> m_ownedRanges;
    /// Successor of each process that left, including processes whose ranges this process never
    /// owned.
    std::map<process_id, successor_entry> m_successors;
};

} // namespace almondnotch
