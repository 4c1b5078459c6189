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

/// Most bytes of all parts of one configuration set.
constexpr std::uint64_t configSetBytesMax = 64ULL * 1000 * 1000;
/// Most faults of a refused set that are kept.
constexpr std::size_t configFaultsMax = 100;
/// Most refused manifests that are remembered.
constexpr std::size_t configRejectionsMax = 16;

/// What became of an offered manifest or part.
enum class offer_outcome {
    /// The set went into force with this offer.
    activated,
    /// The set is whole and valid but below the lowest version that may go into force.
    staged,
    /// Parts are missing.
    pending,
    /// Held already; nothing changed.
    duplicate,
    /// The set was refused now, or its manifest was refused before.
    rejected,
    /// The version is below the one in force or the one being assembled.
    stale,
    /// The version is held with another manifest hash.
    conflicting,
    /// The part is not missing from the pending set.
    unexpected_part,
};

/// The configuration in force and the set that is being assembled to follow it.
///
/// Guarantees: the version in force only grows; a set goes into force whole and checked or not at
/// all. Bounds: three sets (in force, staged, pending) of at most `configSetBytesMax`, which share
/// the parts that they have in common.
class config_store
{
public:
    using shared_text = std::shared_ptr<const std::string>;

    /// \param invariants, counters outlive the store.
    config_store(invariant_set &invariants, counter_set &counters);

    /// Takes a manifest. Its missing parts are in `missing()` if the outcome is `pending`.
    offer_outcome offerManifest(std::string text, action_list &actions);

    /// Takes a part of the pending set after a check of its size and hash.
    offer_outcome offerPart(const std::string &sha256, std::string text, action_list &actions);

    /// Sets below `version` are staged and do not go into force. Raising the floor later does not
    /// affect the set in force. \return true if this put the staged set into force.
    bool setMinimumVersion(std::uint64_t version, action_list &actions);

    /// Counts, and logs once for each hash, that a peer holds a version with another manifest.
    void recordConflict(std::uint64_t version, const std::string &sha256, action_list &actions);

    /// Gives up the set that is being assembled, since its parts cannot be had.
    void dropPending();

    /// Configuration in force; null until one was accepted.
    const shared_config &config() const { return m_active.config; }
    /// A checked set that waits for a lower floor; null if there is none.
    const shared_config &stagedConfig() const { return m_staged.config; }

    /// Version in force; 0 if there is none.
    std::uint64_t version() const { return m_active.manifest.version; }
    const std::string &manifestSha256() const { return m_active.sha256; }

    /// True if a set with this version and hash would be assembled.
    bool shouldFetch(std::uint64_t version, const std::string &sha256) const;

    std::uint64_t pendingVersion() const { return m_pending.manifest.version; }
    const std::string &pendingSha256() const { return m_pending.sha256; }
    /// Hashes of the parts that the pending set lacks.
    const std::set<std::string> &missing() const { return m_missing; }

    /// Values of the set in force, for peers; null if not held.
    shared_text manifestText() const { return m_active.text; }
    shared_text part(const std::string &sha256) const;

    nlohmann::json dump() const;

private:
    struct stored_set
    {
        config_manifest manifest;
        std::string sha256;
        shared_text text;
        std::map<std::string, shared_text> parts;
        shared_config config;
    };

    struct rejection
    {
        std::uint64_t version = 0;
        std::string sha256;
        /// The first `configFaultsMax`.
        std::vector<std::string> faults;
        std::size_t faultCount = 0;
    };

    bool wasRejected(const std::string &sha256) const;
    offer_outcome reject(std::uint64_t version, const std::string &sha256,
                         const std::vector<std::string> &faults, action_list &actions);
    offer_outcome validatePending(action_list &actions);
    bool activate(stored_set set, action_list &actions);
    shared_text findPart(const std::string &sha256) const;

    invariant_set &m_invariants;
    counter_set &m_counters;
    stored_set m_active;
    stored_set m_staged;
    stored_set m_pending;
    std::set<std::string> m_missing;
    std::uint64_t m_minimumVersion = 0;
    std::deque<rejection> m_rejections;
    std::set<std::string> m_loggedConflicts;
};

} // namespace almondnotch
