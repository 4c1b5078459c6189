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

/// What to do with a call that carries an idempotency key.
enum class claim_verdict {
    /// The key was new: run the call and report its end with `finish`.
    execute,
    /// The same operation is running: its response arrives with `finish` of the first call.
    wait,
    /// The operation ended before: send `response`.
    replay,
    /// Another process owns the key: forward the call to `owner`.
    forward,
    /// Refused: send `response`.
    refuse,
};

struct claim_result
{
    claim_verdict verdict = claim_verdict::refuse;
    shared_response response;
    process_id owner;
};

/// Operations of the key ranges that this process owns.
///
/// Guarantees: a key is given `execute` at most once in its life, and never after it was refused
/// as `not_run`, so that both `run` and `not_run` are final even if a copy of the call arrives
/// late; a claim is kept for as long as its absence would be taken as proof that it never ran;
/// after `seal`, and for ranges that were taken over, no key is given `execute`.
class claim_table
{
public:
    /// \param invariants, counters outlive the table.
    claim_table(claim_settings settings, process_id self, invariant_set &invariants,
                counter_set &counters);

    /// Text of a new key range of `home`, whose clock reads `ownerClock` now.
    std::string mintRange(const process_id &initialOwner, duration ownerClock,
                          std::uint64_t rangeNumber);

    /// \param now this process's clock, on which its own ranges are minted.
    claim_result begin(instant now, const call_request &request, std::uint64_t requestDigest,
                       call_id call);

    /// Records the end of a run that `begin` allowed.
    /// \return the calls that waited for it.
    std::vector<call_id> finish(const std::string &key, call_outcome outcome,
                                const shared_response &response);

    /// A waiting call ended by itself.
    void removeWaiter(const std::string &key, call_id call);

    /// Forgets claims whose lifetime is over.
    void expire(instant now);

    /// No new claim from now on. Never undone.
    void seal() { m_sealed = true; }
    bool isSealed() const { return m_sealed; }

    std::size_t size() const { return m_claims.size(); }

    /// Processes whose ranges this one owns, itself included unless handed over.
    std::vector<process_id> ownedProcesses() const;

    /// Claims of one owned process in chunks for a handover. Running ones become `unknown`.
    std::vector<handover_chunk> exportClaims(const process_id &owner) const;

    /// The commit message for an owned process as of now.
    handover_commit makeCommit(instant now, const process_id &owner, std::uint32_t chunks) const;

    /// A commit for `owner` may have been sent to `successor`: from now on it is the owner.
    void transferOwnership(instant now, const process_id &owner, const process_id &successor);

    /// Takes over ranges and claims of `commit.from`, which `sender` owned until now.
    /// \return false if this table is sealed or has no room; nothing was taken over then.
    bool adopt(instant now, const process_id &sender, const handover_commit &commit,
               const std::vector<claim_record> &claims);

    bool owns(const process_id &process) const { return m_owned.contains(process); }

    /// Learns who took over an ended process's ranges.
    void recordHandover(instant now, const handover_record &record);

    /// Handovers that still matter, for the exchange with other gateways.
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
        process_id owner;
        /// Key of the entry in the expiry index.
        instant expiry;
    };

    /// Clock and lifetimes of one process's ranges.
    struct owned_ranges
    {
        /// Added to this process's clock to get the clock of the ranges.
        duration clockOffset {0};
        duration acceptPeriod {0};
        duration replayPeriod {0};
    };

    struct successor_entry
    {
        process_id process;
        instant since;
    };

    claim_result beginOwnedKey(instant now, const operation_key &key, const std::string &text,
                               const owned_ranges &ranges, std::uint64_t requestDigest,
                               call_id call, const std::string &requestId);
    claim_result handleDuplicate(claim &existing, std::uint64_t requestDigest, call_id call,
                                 const std::string &requestId);
    void insert(instant expiry, const std::string &key, claim record);
    void storeResponse(claim &record, const shared_response &response);
    instant expiryOf(const key_range &range, const owned_ranges &ranges) const;

    claim_settings m_settings;
    process_id m_self;
    invariant_set &m_invariants;
    counter_set &m_counters;
    bool m_sealed = false;
    std::size_t m_running = 0;
    /// Ranges minted before this reading of the clock accept no new numbers.
    duration m_minAcceptedMintTime {0};
    std::uint64_t m_storedBytes = 0;
    std::unordered_map<std::string, claim> m_claims;
    std::set<std::pair<instant, std::string>> m_expiry;
    std::map<process_id, owned_ranges> m_owned;
    /// Who took over; also for processes that this one never owned.
    std::map<process_id, successor_entry> m_successors;
};

} // namespace almondnotch
