#include "decision/fleet/config_store.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"
#include "core/mechanisms.h"

namespace almondnotch {

namespace {

void appendLog(action_list &actions, log_level level, std::string logMessage,
               std::vector<header_field> fields)
{
    actions.emplace_back(write_log {level, "config", std::move(logMessage), std::move(fields)});
}

/// Returns the faults of a manifest whose syntax is valid; empty if there are none.
std::vector<std::string> validateManifest(const config_manifest &manifest)
{
    std::vector<std::string> faults;
    if (manifest.version == 0)
        faults.emplace_back("manifest: expected a version of at least 1, found 0");
    if (manifest.parts.size() > configPartsMax)
        faults.push_back("manifest: expected at most " + std::to_string(configPartsMax)
                         + " parts, found " + std::to_string(manifest.parts.size()));
    std::uint64_t total = 0;
    std::map<std::string, std::uint64_t> sizes;
    for (const manifest_part &part : manifest.parts) {
        if (part.bytes > configValueBytesMax) {
            faults.push_back("part " + part.name + ": expected at most "
                             + std::to_string(configValueBytesMax) + " bytes, found "
                             + std::to_string(part.bytes));
            continue;
        }
        total += part.bytes;
        if (sizes.try_emplace(part.sha256, part.bytes).first->second != part.bytes)
            faults.push_back("part " + part.name
                             + ": expected one size for each hash, found two for " + part.sha256);
    }
    if (total > configSetBytesMax)
        faults.push_back("manifest: expected at most " + std::to_string(configSetBytesMax)
                         + " bytes in all parts, found " + std::to_string(total));
    return faults;
}

} // namespace

config_store::config_store(invariant_set &invariants, counter_set &counters)
    : m_invariants(invariants), m_counters(counters)
{ }

offer_outcome config_store::offerManifest(std::string text, action_list &actions)
{
    const std::string manifestHash = sha256Hex(text);
    if (manifestHash == m_active.manifestHash || manifestHash == m_staged.manifestHash)
        return offer_outcome::duplicate;
    if (manifestHash == m_pending.manifestHash)
        return offer_outcome::pending;
    if (wasRejected(manifestHash))
        return offer_outcome::rejected;
    if (text.size() > configValueBytesMax)
        return reject(0, manifestHash,
                      {"manifest: expected at most " + std::to_string(configValueBytesMax)
                       + " bytes, found " + std::to_string(text.size())},
                      actions);
    result<config_manifest> manifest = parseManifest(text);
    if (!manifest)
        return reject(0, manifestHash, {toString(manifest.error())}, actions);
    if (manifest->version < version() && manifest->version != 0
        && isMechanismEnabled("config_refuses_older")) {
        m_counters.add("config_refused_total{reason=\"older\"}");
        return offer_outcome::stale;
    }
    for (const stored_set *stored : {&m_active, &m_staged, &m_pending}) {
        if (!stored->manifestHash.empty() && stored->manifest.version == manifest->version) {
            recordConflict(manifest->version, manifestHash, actions);
            return offer_outcome::conflicting;
        }
    }
    const std::vector<std::string> faults = validateManifest(*manifest);
    if (!faults.empty())
        return reject(manifest->version, manifestHash, faults, actions);
    // Not an error: the gateways that read the platform see versions at different times.
    if (manifest->version < std::max(m_staged.manifest.version, m_pending.manifest.version))
        return offer_outcome::stale;

    stored_set next;
    std::set<std::string> missing;
    for (const manifest_part &part : manifest->parts) {
        const shared_text stored = findPart(part.sha256);
        if (stored == nullptr) {
            missing.insert(part.sha256);
        } else if (stored->size() != part.bytes) {
            return reject(manifest->version, manifestHash,
                          {"part " + part.name + ": expected " + std::to_string(part.bytes)
                           + " bytes, found " + std::to_string(stored->size())},
                          actions);
        } else {
            next.parts[part.sha256] = stored;
        }
    }
    next.manifest = std::move(*manifest);
    next.manifestHash = manifestHash;
    next.serializedManifest = std::make_shared<const std::string>(std::move(text));
    m_pending = std::move(next);
    m_missingParts = std::move(missing);
    return m_missingParts.empty() ? validatePending(actions) : offer_outcome::pending;
}

offer_outcome config_store::offerPart(const std::string &sha256, std::string text,
                                      action_list &actions)
{
    const auto found = m_missingParts.find(sha256);
    if (found == m_missingParts.end())
        return offer_outcome::unexpected_part;
    const auto position
        = std::find_if(m_pending.manifest.parts.begin(), m_pending.manifest.parts.end(),
                       [&](const manifest_part &part) { return part.sha256 == sha256; });
    const std::string partLabel = "part " + position->name;
    if (sha256Hex(text) != sha256) {
        // A corrupted copy does not make the set faulty: another source may have the correct part.
        m_counters.add("config_parts_refused_total{reason=\"hash\"}");
        return offer_outcome::pending;
    }
    if (text.size() != position->bytes)
        return reject(m_pending.manifest.version, m_pending.manifestHash,
                      {partLabel + ": expected " + std::to_string(position->bytes)
                       + " bytes, found " + std::to_string(text.size())},
                      actions);
    m_pending.parts[sha256] = std::make_shared<const std::string>(std::move(text));
    m_missingParts.erase(found);
    return m_missingParts.empty() ? validatePending(actions) : offer_outcome::pending;
}

bool config_store::setMinimumVersion(std::uint64_t version, action_list &actions)
{
    m_minimumVersion = version;
    if (m_staged.config == nullptr || m_staged.manifest.version < m_minimumVersion)
        return false;
    return activate(std::exchange(m_staged, {}), actions);
}

void config_store::recordConflict(std::uint64_t version, const std::string &manifestHash,
                                  action_list &actions)
{
    m_counters.add("config_refused_total{reason=\"conflicting\"}");
    // The bound prevents a peer that keeps sending new hashes from filling the memory and the log.
    if (m_loggedConflicts.size() >= configRejectionsMax
        || !m_loggedConflicts.insert(manifestHash).second)
        return;
    appendLog(actions, log_level::error,
              "two manifests have the same version but different hashes; ignored the new one",
              {{"version", std::to_string(version)}, {"sha256", manifestHash}});
}

void config_store::dropPending()
{
    if (m_pending.manifestHash.empty())
        return;
    m_counters.add("config_pending_dropped_total");
    m_pending = {};
    m_missingParts.clear();
}

bool config_store::shouldFetch(std::uint64_t version, const std::string &manifestHash) const
{
    return version > this->version()
           && version >= std::max(m_staged.manifest.version, m_pending.manifest.version)
           && manifestHash != m_staged.manifestHash && !wasRejected(manifestHash);
}

config_store::shared_text config_store::part(const std::string &sha256) const
{
    const auto found = m_active.parts.find(sha256);
    return found == m_active.parts.end() ? nullptr : found->second;
}

bool config_store::wasRejected(const std::string &manifestHash) const
{
    return std::any_of(m_rejections.begin(), m_rejections.end(),
                       [&](const rejection &entry) { return entry.manifestHash == manifestHash; });
}

offer_outcome config_store::reject(std::uint64_t version, const std::string &manifestHash,
                                   const std::vector<std::string> &faults, action_list &actions)
{
    m_counters.add("config_refused_total{reason=\"faulty\"}");
    appendLog(actions, log_level::error, "rejected a faulty configuration set",
              {{"version", std::to_string(version)},
               {"sha256", manifestHash},
               {"faults", std::to_string(faults.size())},
               {"first", faults.front()}});
    rejection entry {version, manifestHash, faults, faults.size()};
    if (entry.faults.size() > configFaultsMax)
        entry.faults.resize(configFaultsMax);
    if (m_rejections.size() == configRejectionsMax)
        m_rejections.pop_front();
    m_rejections.push_back(std::move(entry));
    if (manifestHash == m_pending.manifestHash) {
        m_pending = {};
        m_missingParts.clear();
    }
    return offer_outcome::rejected;
}

offer_outcome config_store::validatePending(action_list &actions)
{
    std::vector<config_text> texts;
    texts.reserve(m_pending.manifest.parts.size());
    for (const manifest_part &part : m_pending.manifest.parts)
        texts.push_back({part.name, *m_pending.parts.at(part.sha256)});
    tl::expected<config_objects, std::vector<config_fault>> objects = parseConfig(texts);
    if (!objects) {
        std::vector<std::string> faults;
        for (const config_fault &fault : objects.error())
            faults.push_back(toString(fault));
        if (faults.empty())
            faults.emplace_back("the parser rejected the set but reported no fault");
        return reject(m_pending.manifest.version, std::string(m_pending.manifestHash), faults,
                      actions);
    }
    stored_set set = std::exchange(m_pending, {});
    set.config
        = config_set::create(set.manifest.version, set.manifestHash, std::move(objects.value()));
    if (set.manifest.version < m_minimumVersion) {
        m_staged = std::move(set);
        return offer_outcome::staged;
    }
    return activate(std::move(set), actions) ? offer_outcome::activated : offer_outcome::stale;
}

bool config_store::activate(stored_set set, action_list &actions)
{
    if (!m_invariants.check("config_version_never_falls", set.manifest.version > version(),
                            "active version " + std::to_string(version()) + ", new version "
                                + std::to_string(set.manifest.version)))
        return false;
    appendLog(actions, log_level::info, "activated a configuration set",
              {{"version", std::to_string(set.manifest.version)},
               {"before", std::to_string(version())},
               {"sha256", set.manifestHash},
               {"parts", std::to_string(set.manifest.parts.size())}});
    m_active = std::move(set);
    if (m_staged.manifest.version <= version())
        m_staged = {};
    m_counters.add("config_accepted_total");
    m_counters.set("config_version", static_cast<double>(version()));
    return true;
}

config_store::shared_text config_store::findPart(const std::string &sha256) const
{
    for (const stored_set *stored : {&m_active, &m_staged, &m_pending}) {
        const auto found = stored->parts.find(sha256);
        if (found != stored->parts.end())
            return found->second;
    }
    return nullptr;
}

nlohmann::json config_store::dump() const
{
    nlohmann::json rejections = nlohmann::json::array();
    for (const rejection &entry : m_rejections)
        rejections.push_back({{"version", entry.version},
                              {"manifest_sha256", entry.manifestHash},
                              {"fault_count", entry.faultCount},
                              {"faults", entry.faults}});
    return {{"version", version()},
            {"manifest_sha256", m_active.manifestHash},
            {"parts", m_active.parts.size()},
            {"parts_max", configPartsMax},
            {"set_bytes_max", configSetBytesMax},
            {"staged_version", m_staged.manifest.version},
            {"pending",
             {{"version", m_pending.manifest.version},
              {"manifest_sha256", m_pending.manifestHash},
              {"parts", m_pending.manifest.parts.size()},
              {"missing", m_missingParts.size()}}},
            {"refused", rejections},
            {"refused_max", configRejectionsMax},
            {"faults_max", configFaultsMax}};
}

} // namespace almondnotch
