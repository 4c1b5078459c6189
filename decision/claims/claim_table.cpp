#include "decision/claims/claim_table.h"

#include <algorithm>

#include "core/mechanisms.h"

namespace almondnotch {

namespace {

/// Safety margin on the lifetime of claims. A key is rejected as expired once its accept and replay
/// periods have passed; its claim is removed only this much later. The margin covers the drift
/// between the clocks of two machines over the lifetime of a key range that was handed over.
constexpr duration expiryMargin = seconds(10);

/// Maximum number of calls that may wait for one operation in progress.
constexpr std::size_t waitersPerClaimMax = 16;

/// Maximum number of recorded successors: one for each process that handed over its key ranges
/// within the sum of accept period, replay period and `expiryMargin`. Older records are removed.
constexpr std::size_t successorsMax = 4096;

/// Maximum payload of one handover chunk in bytes. It leaves room for the envelope within the size
/// limit of peer messages.
constexpr std::size_t chunkBytesMax = 1000000;

claim_result makeRejection(int status, std::string_view type, std::string_view title,
                           call_outcome outcome, std::string_view detail,
                           const std::string &requestId,
                           std::optional<seconds> retryAfter = std::nullopt)
{
    problem cause;
    cause.status = status;
    cause.type = std::string(type);
    cause.title = std::string(title);
    cause.outcome = outcome;
    cause.step = "claim";
    cause.detail = std::string(detail);
    cause.requestId = requestId;
    cause.retryAfter = retryAfter;
    claim_result decision;
    decision.response = makeProblemResponse(cause);
    return decision;
}

std::size_t storedSize(const shared_response &response)
{
    if (!response)
        return 0;
    std::size_t bytes = response->body.size();
    for (const header_field &field : response->headers)
        bytes += field.name.size() + field.value.size();
    return bytes;
}

} // namespace

claim_table::claim_table(claim_settings settings, process_id self, invariant_set &invariants,
                         counter_set &counters)
    : m_settings(std::move(settings)), m_self(std::move(self)), m_invariants(invariants),
      m_counters(counters)
{
    m_ownedRanges[m_self] = {duration {0}, m_settings.acceptPeriod, m_settings.replayPeriod};
}

std::string claim_table::mintRange(const process_id &initialOwner, duration ownerClock,
                                   std::uint64_t rangeNumber)
{
    if (m_settings.tokenSecrets.empty())
        return {};
    m_counters.add("key_ranges_minted_total");
    const key_range range {initialOwner, milliseconds(toMilliseconds(ownerClock)), rangeNumber};
    return formatKeyRange(range, m_settings.tokenSecrets.front());
}

claim_result claim_table::beginOperation(instant now, const call_request &request,
                                         std::uint64_t requestDigest, call_id call)
{
    const result<operation_key> key
        = parseOperationKey(request.idempotencyKey, m_settings.tokenSecrets);
    if (!key && key.error().code == error_code::authentication_failed) {
        m_counters.add("claims_refused_total{reason=\"mac\"}");
        // The secret may have been rotated out since the operation ran, so the outcome cannot be
        // `not_run`.
        return makeRejection(403, "key-not-authentic", "Idempotency key is not authentic",
                             call_outcome::unknown, key.error().message, request.requestId);
    }
    if (!key) {
        m_counters.add("claims_refused_total{reason=\"format\"}");
        return makeRejection(400, "invalid-idempotency-key", "Idempotency key is malformed",
                             call_outcome::not_run, key.error().message, request.requestId);
    }

    const auto owned = m_ownedRanges.find(key->range.initialOwner);
    if (owned != m_ownedRanges.end())
        return beginOwnedKeyOperation(now, *key, request.idempotencyKey, owned->second,
                                      requestDigest, call, request.requestId);

    claim_result decision;
    decision.verdict = claim_verdict::forward;
    decision.owner = key->range.initialOwner;
    // A chain of handovers has no cycle, since a process hands over its ranges only once, when it
    // leaves, and takes over no ranges afterwards. The bound only guards against wrong records from
    // peers.
    for (std::size_t hops = 0; hops < successorsMax; ++hops) {
        const auto successor = m_successors.find(decision.owner);
        if (successor == m_successors.end())
            break;
        decision.owner = successor->second.process;
    }
    return decision;
}

instant claim_table::expiryOf(const key_range &range, const range_timing &timing) const
{
    return instant(range.mintedAt - timing.clockOffset) + timing.acceptPeriod + timing.replayPeriod
           + expiryMargin;
}

claim_result claim_table::beginOwnedKeyOperation(instant now, const operation_key &key,
                                                 const std::string &keyText,
                                                 const range_timing &timing,
                                                 std::uint64_t requestDigest, call_id call,
                                                 const std::string &requestId)
{
    const auto found = m_claims.find(keyText);
    if (found != m_claims.end() && isMechanismEnabled("claim_table"))
        return handleDuplicate(found->second, requestDigest, call, requestId);

    const duration age = now.sinceOrigin() + timing.clockOffset - key.range.mintedAt;
    if (age >= timing.acceptPeriod + timing.replayPeriod && isMechanismEnabled("claim_expiry")) {
        m_counters.add("claims_refused_total{reason=\"expired\"}");
        return makeRejection(
            410, "key-range-expired", "Key range has expired", call_outcome::unknown,
            "the operations of this key range are no longer recorded; the operation may have run "
            "before",
            requestId);
    }
    // Rejected numbers stay rejected: `age` and `m_minAcceptedMintTime` only increase, and no
    // process accepts new numbers of a range after the owner's table was sealed or the range was
    // handed over.
    if (age >= timing.acceptPeriod || key.range.mintedAt < m_minAcceptedMintTime
        || (m_sealed && isMechanismEnabled("claim_seal"))) {
        m_counters.add("claims_refused_total{reason=\"range_closed\"}");
        return makeRejection(409, "key-range-closed", "Key range accepts no new operations",
                             call_outcome::not_run, "request a new key range with an entry request",
                             requestId);
    }
    if (m_claims.size() >= m_settings.claimsMax) {
        // The table has no room to record that this number was rejected, so all key ranges minted
        // so far are closed.
        m_minAcceptedMintTime = now.sinceOrigin() + milliseconds(1);
        m_counters.add("claims_refused_total{reason=\"table_full\"}");
        return makeRejection(
            503, "claim-table-full", "Too many operations are remembered", call_outcome::not_run,
            "the gateway records at most " + std::to_string(m_settings.claimsMax)
                + " operations with idempotency keys; request a new key range with an "
                  "entry request",
            requestId, seconds(5));
    }

    m_invariants.check("no_claim_after_seal", !m_sealed, keyText);
    claim record;
    record.requestDigest = requestDigest;
    record.running = true;
    record.initialOwner = key.range.initialOwner;
    insert(expiryOf(key.range, timing), keyText, std::move(record));
    ++m_runningCount;
    m_counters.add("claims_total");
    claim_result decision;
    decision.verdict = claim_verdict::execute;
    return decision;
}

claim_result claim_table::handleDuplicate(claim &existing, std::uint64_t requestDigest,
                                          call_id call, const std::string &requestId)
{
    if (existing.requestDigest != requestDigest) {
        m_counters.add("claims_refused_total{reason=\"other_request\"}");
        return makeRejection(
            422, "key-reused", "Idempotency key belongs to another request", call_outcome::not_run,
            "method, target or body differ from the first request with this key", requestId);
    }
    if (existing.running) {
        if (existing.waiters.size() >= waitersPerClaimMax) {
            m_counters.add("claims_refused_total{reason=\"waiting_full\"}");
            return makeRejection(503, "too-many-repeats", "Too many repeats of one operation",
                                 call_outcome::unknown, "the operation is still running", requestId,
                                 seconds(1));
        }
        existing.waiters.push_back(call);
        m_counters.add("claims_waited_total");
        claim_result decision;
        decision.verdict = claim_verdict::wait;
        return decision;
    }
    m_counters.add("claims_replayed_total");
    if (existing.outcome != call_outcome::unknown && existing.response) {
        claim_result decision;
        decision.verdict = claim_verdict::replay;
        decision.response = existing.response;
        return decision;
    }
    if (existing.outcome == call_outcome::run)
        return makeRejection(409, "response-not-kept", "Operation ran; its response is not kept",
                             call_outcome::run,
                             "the response exceeded the size limit for one stored response or for "
                             "all stored responses together",
                             requestId);
    if (existing.outcome == call_outcome::not_run)
        return makeRejection(409, "operation-refused-before", "Operation was refused before",
                             call_outcome::not_run,
                             "use a number of the key range that has not been used", requestId);
    return makeRejection(
        502, "outcome-unknown", "Outcome of the operation is unknown", call_outcome::unknown,
        "an earlier attempt may have run the operation; it is not run again", requestId);
}

void claim_table::insert(instant expiry, const std::string &key, claim record)
{
    m_keysByExpiry.emplace(expiry, key);
    record.expiry = expiry;
    m_claims.emplace(key, std::move(record));
    m_invariants.check("claims_within_bound", m_claims.size() <= m_settings.claimsMax);
}

void claim_table::storeResponse(claim &record, const shared_response &response)
{
    const std::size_t bytes = storedSize(response);
    if (bytes > m_settings.storedResponseBytesMax
        || m_storedBytes + bytes > m_settings.storedBytesMax) {
        m_counters.add("claims_response_not_kept_total");
        return;
    }
    record.response = response;
    m_storedBytes += bytes;
    m_invariants.check("stored_responses_within_bound", m_storedBytes <= m_settings.storedBytesMax);
}

std::vector<call_id> claim_table::finishOperation(const std::string &key, call_outcome outcome,
                                                  const shared_response &response)
{
    const auto found = m_claims.find(key);
    if (found == m_claims.end() || !found->second.running) {
        m_invariants.check("claim_finished_once", false, key);
        return {};
    }
    claim &record = found->second;
    record.running = false;
    record.outcome = outcome;
    --m_runningCount;
    std::vector<call_id> waiters = std::move(record.waiters);
    record.waiters.clear();
    // `not_run` is final: a delayed copy of the call must not run after its caller was informed
    // that the call did not run. To try again, the caller chooses a new number.
    if (outcome != call_outcome::unknown)
        storeResponse(record, response);
    return waiters;
}

void claim_table::removeWaiter(const std::string &key, call_id call)
{
    const auto found = m_claims.find(key);
    if (found != m_claims.end())
        std::erase(found->second.waiters, call);
}

void claim_table::expire(instant now)
{
    const duration lifetime = m_settings.acceptPeriod + m_settings.replayPeriod + expiryMargin;
    std::erase_if(m_successors,
                  [now, lifetime](const std::pair<const process_id, successor_entry> &entry) {
                      return now - entry.second.handedOverAt >= lifetime;
                  });
    while (!m_keysByExpiry.empty() && m_keysByExpiry.begin()->first <= now) {
        const auto first = m_keysByExpiry.begin();
        const auto found = m_claims.find(first->second);
        if (found != m_claims.end() && found->second.running) {
            // The claim of an operation in progress is kept until the operation ends. Its expiry is
            // checked again 1 s later.
            const std::string key = first->second;
            m_keysByExpiry.erase(first);
            found->second.expiry = now + seconds(1);
            m_keysByExpiry.emplace(found->second.expiry, key);
            continue;
        }
        if (found != m_claims.end()) {
            m_storedBytes -= storedSize(found->second.response);
            m_claims.erase(found);
        }
        m_keysByExpiry.erase(first);
    }
}

std::vector<process_id> claim_table::initialOwnersOfOwnedRanges() const
{
    std::vector<process_id> owned;
    for (const std::pair<const process_id, range_timing> &entry : m_ownedRanges)
        owned.push_back(entry.first);
    return owned;
}

std::vector<handover_chunk> claim_table::exportClaims(const process_id &initialOwner) const
{
    std::vector<handover_chunk> chunks;
    std::size_t bytes = 0;
    for (const std::pair<const std::string, claim> &entry : m_claims) {
        if (entry.second.initialOwner != initialOwner)
            continue;
        const std::size_t size = entry.first.size() + storedSize(entry.second.response) + 64;
        if (chunks.empty() || chunks.back().claims.size() >= m_settings.chunkClaimsMax
            || bytes + size > chunkBytesMax) {
            handover_chunk chunk;
            chunk.from = initialOwner;
            chunk.sequence = static_cast<std::uint32_t>(chunks.size());
            chunks.push_back(std::move(chunk));
            bytes = 0;
        }
        bytes += size;
        chunks.back().claims.push_back(
            {entry.first, entry.second.requestDigest, entry.second.outcome, entry.second.response});
    }
    return chunks;
}

handover_commit claim_table::makeCommit(instant now, const process_id &initialOwner,
                                        std::uint32_t chunkCount) const
{
    handover_commit commit;
    commit.from = initialOwner;
    commit.chunkCount = chunkCount;
    const auto found = m_ownedRanges.find(initialOwner);
    if (found == m_ownedRanges.end())
        return commit;
    commit.clock = now.sinceOrigin() + found->second.clockOffset;
    commit.acceptPeriod = found->second.acceptPeriod;
    commit.replayPeriod = found->second.replayPeriod;
    return commit;
}

void claim_table::transferOwnership(instant now, const process_id &initialOwner,
                                    const process_id &successor)
{
    m_invariants.check("handover_only_when_sealed", m_sealed, toString(initialOwner));
    m_ownedRanges.erase(initialOwner);
    // Adopted ranges get no new handover record: the record of their initial owner already leads to
    // this process, directly or through other processes. The record of this process continues the
    // chain, so that every process has one successor.
    if (initialOwner == m_self)
        recordHandover(now, {m_self, successor, duration {0}});
}

bool claim_table::adopt(instant now, const process_id &sender, const handover_commit &commit,
                        const std::vector<claim_record> &claims)
{
    if (m_sealed || m_claims.size() + claims.size() > m_settings.claimsMax)
        return false;
    if (m_ownedRanges.contains(commit.from))
        return true;
    // An accept period of 0 rejects new operations, so that only duplicate calls are answered: the
    // sealed table of the previous owner rejected unused numbers of these ranges as `not_run`, and
    // an operation that was rejected as `not_run` must never run.
    const range_timing timing {commit.clock - now.sinceOrigin(), duration {0},
                               commit.acceptPeriod + commit.replayPeriod};
    for (const claim_record &claimRecord : claims) {
        const result<operation_key> key
            = parseOperationKey(claimRecord.key, m_settings.tokenSecrets);
        if (!key || key->range.initialOwner != commit.from || m_claims.contains(claimRecord.key))
            continue;
        claim adopted;
        adopted.requestDigest = claimRecord.requestDigest;
        adopted.outcome = claimRecord.outcome;
        adopted.initialOwner = commit.from;
        if (claimRecord.outcome != call_outcome::unknown && claimRecord.response)
            storeResponse(adopted, claimRecord.response);
        insert(expiryOf(key->range, timing), claimRecord.key, std::move(adopted));
    }
    m_ownedRanges[commit.from] = timing;
    // Every process has one handover record, created by the handover of its own ranges. For ranges
    // that the sender had adopted, `beginOperation` follows the records from their initial owner to
    // the sender and from there to this process.
    if (commit.from == sender)
        recordHandover(now, {sender, m_self, duration {0}});
    m_counters.add("claims_adopted_total", claims.size());
    return true;
}

void claim_table::recordHandover(instant now, const handover_record &record)
{
    if (record.from == record.to || (record.from == m_self && !m_sealed)
        || record.age >= m_settings.acceptPeriod + m_settings.replayPeriod + expiryMargin)
        return;
    const auto found = m_successors.find(record.from);
    if (found != m_successors.end()) {
        m_invariants.check("one_successor_per_process", found->second.process == record.to,
                           toString(record.from) + "'s key ranges were handed over to both "
                               + toString(found->second.process) + " and " + toString(record.to));
        return;
    }
    if (m_successors.size() >= successorsMax) {
        m_counters.add("handovers_refused_total");
        return;
    }
    m_successors.emplace(record.from, successor_entry {record.to, now - record.age});
}

std::vector<handover_record> claim_table::handovers(instant now) const
{
    std::vector<handover_record> records;
    for (const std::pair<const process_id, successor_entry> &entry : m_successors)
        records.push_back({entry.first, entry.second.process, now - entry.second.handedOverAt});
    return records;
}

nlohmann::json claim_table::dump() const
{
    nlohmann::json owned = nlohmann::json::array();
    for (const std::pair<const process_id, range_timing> &entry : m_ownedRanges)
        owned.push_back(toString(entry.first));
    nlohmann::json successors = nlohmann::json::object();
    for (const std::pair<const process_id, successor_entry> &entry : m_successors)
        successors[toString(entry.first)] = toString(entry.second.process);
    return {{"claims", m_claims.size()},
            {"claims_max", m_settings.claimsMax},
            {"running", m_runningCount},
            {"stored_bytes", m_storedBytes},
            {"stored_bytes_max", m_settings.storedBytesMax},
            {"sealed", m_sealed},
            {"owned_processes", owned},
            {"successors", successors}};
}

} // namespace almondnotch
