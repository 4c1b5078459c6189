#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/model.h"
#include "config/parser.h"
#include "core/counters.h"
#include "core/invariants.h"
#include "decision/actions.h"

namespace almondnotch {

/// Maximum total size of all parts of a configuration set, in bytes.
constexpr std::uint64_t configSetBytesMax = 64ULL * 1000 * 1000;
/// Maximum number of faults that are stored for a rejected set.
constexpr std::size_t configFaultsMax = 100;
/// Maximum number of rejected manifests that are recorded, and of conflicting manifests that are
/// logged.
constexpr std::size_t configRejectionsMax = 16;

/// Result of offering a manifest or a part to the store.
enum class offer_outcome {
    /// The set is complete and valid and became the active one.
    activated,
    /// The set is complete and valid, but its version is below the minimum for activation.
    staged,
    /// Parts of the set are missing.
    pending,
    /// The set is already active or staged; nothing changed.
    duplicate,
    /// The set was rejected by this offer, or its manifest was rejected before.
    rejected,
    /// The version is below that of the active, staged or pending set.
    stale,
    /// The store already has a set with this version and another manifest hash.
    conflicting,
    /// The pending set does not contain this part or already has it, or there is no pending set.
    unexpected_part,
};

/// Holds the active configuration set and assembles the next one.
///
/// Guarantees: the active version never decreases; a set becomes active only if it is complete and
/// valid. Memory is bounded by three sets (active, staged, pending) of at most `configSetBytesMax`,
/// which share the parts that they have in common.
class config_store
{
public:
    using shared_text = std::shared_ptr<const std::string>;

    /// \param invariants, counters must outlive the store.
    config_store(invariant_set &invariants, counter_set &counters);

    /// Offers a manifest. If the outcome is `pending`, `missingParts()` returns the parts to fetch.
    offer_outcome offerManifest(std::string text, action_list &actions);

    /// Offers a part of the pending set; its hash and size are checked.
    offer_outcome offerPart(const std::string &sha256, std::string text, action_list &actions);

    /// Sets the minimum version for activation: a complete set below it is staged instead. Raising
    /// the minimum does not affect the active set. \return true if this activated the staged set.
    bool setMinimumVersion(std::uint64_t version, action_list &actions);

    /// Records that a peer or the platform has a manifest with the version of a stored set but
    /// another hash: counts each occurrence and logs each hash once, for at most
    /// `configRejectionsMax` hashes.
    void recordConflict(std::uint64_t version, const std::string &manifestHash,
                        action_list &actions);

    /// Discards the pending set. Used if its parts cannot be fetched.
    void dropPending();

    /// Active configuration; null until one has been activated.
    const shared_config &config() const { return m_active.config; }
    /// Valid set whose version is below the minimum for activation; null if there is none.
    const shared_config &stagedConfig() const { return m_staged.config; }

    /// Version of the active set; 0 if there is none.
    std::uint64_t version() const { return m_active.manifest.version; }
    const std::string &manifestSha256() const { return m_active.manifestHash; }

    /// True if a set with this version and manifest hash should be fetched: it is newer than the
    /// active set, not older than the staged and the pending set, not itself staged, and was not
    /// rejected.
    bool shouldFetch(std::uint64_t version, const std::string &manifestHash) const;

    std::uint64_t pendingVersion() const { return m_pending.manifest.version; }
    const std::string &pendingManifestSha256() const { return m_pending.manifestHash; }
    /// Hashes of those parts of the pending set that have not arrived.
    const std::set<std::string> &missingParts() const { return m_missingParts; }

    /// Text of the active set's manifest, to be sent to peers; null if there is no active set.
    shared_text manifestText() const { return m_active.serializedManifest; }
    /// Text of the active set's part with this SHA-256, to be sent to peers; null if the set has no
    /// such part.
    shared_text part(const std::string &sha256) const;

    nlohmann::json dump() const;

private:
    /// A configuration set and those of its parts that have arrived. `config` is set once the set
    /// is complete and valid.
    struct stored_set
    {
        config_manifest manifest;
        std::string manifestHash;
        shared_text serializedManifest;
        std::map<std::string, shared_text> parts;
        shared_config config;
    };

    struct rejection
    {
        std::uint64_t version = 0;
        std::string manifestHash;
        /// The first `configFaultsMax` faults.
        std::vector<std::string> faults;
        std::size_t faultCount = 0;
    };

    bool wasRejected(const std::string &manifestHash) const;
    offer_outcome reject(std::uint64_t version, const std::string &manifestHash,
                         const std::vector<std::string> &faults, action_list &actions);
    /// Validates the pending set, of which no part is missing, and activates, stages or rejects it.
    offer_outcome validatePending(action_list &actions);
    /// \return false if the version is not above that of the active set.
    bool activate(stored_set set, action_list &actions);
    shared_text findPart(const std::string &sha256) const;

    invariant_set &m_invariants;
    counter_set &m_counters;
    stored_set m_active;
    stored_set m_staged;
    stored_set m_pending;
    std::set<std::string> m_missingParts;
    std::uint64_t m_minimumVersion = 0;
    std::deque<rejection> m_rejections;
    /// Hashes of the conflicting manifests that have been logged.
    std::set<std::string> m_loggedConflicts;
};

} // namespace almondnotch
