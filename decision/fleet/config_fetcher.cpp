#include "decision/fleet/config_fetcher.h"

#include <utility>
#include <vector>

#include "decision/fleet/membership.h"

namespace almondnotch {

namespace {

/// Time without a response from a peer after which a source is selected again: another peer that
/// advertised the set, otherwise the platform once the manifest is known, otherwise the same peer.
/// A random duration of up to half of this time is added after each request. A part of 1 MB takes
/// about 10 ms at 1 Gbit/s, and several requests must fit into the 2 s within which a configuration
/// change has to reach all gateways.
constexpr duration peerTimeout = milliseconds(300);
/// Time without a part from the platform after which a peer that advertised the set is selected as
/// the source, if there is one.
constexpr duration platformTimeout = seconds(1);
/// Maximum number of consecutive retries without a received value. When a further retry is due, the
/// fetch is abandoned.
constexpr unsigned retriesMax = 10;

} // namespace

config_fetcher::config_fetcher(config_store &store, platform_reader &reader, random_source &random,
                               counter_set &counters)
    : m_store(store), m_reader(reader), m_random(random), m_counters(counters)
{ }

void config_fetcher::peerAdvertised(instant now, const std::string &peerAddress,
                                    std::uint64_t version, const std::string &manifestSha256)
{
    if (m_advertisements.size() < membersMax || m_advertisements.contains(peerAddress))
        m_advertisements.insert_or_assign(peerAddress, advertisement {version, manifestSha256});
    if (m_fetchesFromPlatform && version == m_version && manifestSha256 == m_manifestSha256) {
        // A peer answers immediately, while reads of the platform wait for the rate limit.
        m_fetchesFromPlatform = false;
        m_peerAddress = peerAddress;
        m_isRequestOutstanding = false;
        m_reader.setWantedParts({});
        return;
    }
    if (version <= m_version || !m_store.shouldFetch(version, manifestSha256))
        return;
    m_version = version;
    m_manifestSha256 = manifestSha256;
    m_hasManifest = manifestSha256 == m_store.pendingManifestSha256();
    m_fetchesFromPlatform = false;
    m_peerAddress = peerAddress;
    m_requestedParts.clear();
    m_isRequestOutstanding = false;
    m_retryAt = now;
    m_retries = 0;
}

void config_fetcher::forgetPeer(const std::string &peerAddress)
{
    m_advertisements.erase(peerAddress);
}

void config_fetcher::peerFailed(instant now, const std::string &peerAddress)
{
    forgetPeer(peerAddress);
    if (m_version != 0 && !m_fetchesFromPlatform && m_peerAddress == peerAddress)
        m_retryAt = now;
}

void config_fetcher::startFromPlatform(instant now)
{
    if (m_version > m_store.pendingVersion())
        return;
    if (m_version == m_store.pendingVersion() && m_manifestSha256 == m_store.pendingManifestSha256()
        && m_hasManifest)
        return;
    m_version = m_store.pendingVersion();
    m_manifestSha256 = m_store.pendingManifestSha256();
    m_hasManifest = true;
    m_fetchesFromPlatform = true;
    m_requestedParts.clear();
    m_isRequestOutstanding = false;
    m_retryAt = now + platformTimeout;
    m_retries = 0;
    m_reader.setWantedParts(m_store.missingParts());
}

bool config_fetcher::expectsManifest(std::uint64_t version, const std::string &manifestSha256) const
{
    return m_version != 0 && !m_hasManifest && version == m_version
           && manifestSha256 == m_manifestSha256;
}

void config_fetcher::valueReceived(instant now, const std::string &key)
{
    if (m_version == 0)
        return;
    m_retries = 0;
    if (key == "manifest") {
        m_hasManifest = true;
        m_isRequestOutstanding = false;
    }
    m_requestedParts.erase(key);
    if (m_fetchesFromPlatform) {
        m_retryAt = now + platformTimeout;
        m_reader.setWantedParts(m_store.missingParts());
    } else {
        m_retryAt = now + peerTimeout;
        if (m_requestedParts.empty())
            m_isRequestOutstanding = false;
    }
}

void config_fetcher::stopIfResolved()
{
    const bool isStillNeeded = m_hasManifest ? m_store.pendingManifestSha256() == m_manifestSha256
                                             : m_store.shouldFetch(m_version, m_manifestSha256);
    if (m_version != 0 && !isStillNeeded)
        stop();
}

void config_fetcher::stop()
{
    m_version = 0;
    m_manifestSha256.clear();
    m_requestedParts.clear();
    m_reader.setWantedParts({});
}

std::optional<std::string> config_fetcher::pickPeer(const std::string &excluded)
{
    std::vector<const std::string *> peers;
    for (const std::pair<const std::string, advertisement> &entry : m_advertisements)
        if (entry.second.version == m_version && entry.second.manifestSha256 == m_manifestSha256
            && entry.first != excluded)
            peers.push_back(&entry.first);
    if (peers.empty())
        return std::nullopt;
    return *peers[m_random.below(peers.size())];
}

bool config_fetcher::switchSource(instant now)
{
    const std::optional<std::string> peer = pickPeer(m_fetchesFromPlatform ? "" : m_peerAddress);
    if (peer) {
        m_fetchesFromPlatform = false;
        m_peerAddress = *peer;
        m_reader.setWantedParts({});
        return true;
    }
    if (!m_hasManifest)
        return true;
    m_fetchesFromPlatform = true;
    m_reader.setWantedParts(m_store.missingParts());
    m_retryAt = now + platformTimeout;
    return false;
}

void config_fetcher::abandon()
{
    m_counters.add("config_fetch_abandoned_total");
    m_store.dropPending();
    m_reader.resetManifestVersion();
    stop();
}

std::optional<config_fetcher::peer_request> config_fetcher::nextRequest(instant now)
{
    if (m_version == 0)
        return std::nullopt;
    if (m_fetchesFromPlatform || m_isRequestOutstanding) {
        if (now < m_retryAt)
            return std::nullopt;
        if (++m_retries > retriesMax) {
            abandon();
            return std::nullopt;
        }
        if (!switchSource(now))
            return std::nullopt;
    }
    peer_request out {m_peerAddress, {m_version, m_manifestSha256, {}}};
    m_requestedParts.clear();
    if (m_hasManifest) {
        for (const std::string &hash : m_store.missingParts()) {
            if (m_requestedParts.size() == configRequestPartsMax)
                break;
            m_requestedParts.insert(hash);
            out.request.partSha256.push_back(hash);
        }
    }
    m_isRequestOutstanding = true;
    m_retryAt = now + peerTimeout + duration(m_random.below(peerTimeout.count() / 2));
    return out;
}

instant config_fetcher::nextWake() const
{
    if (m_version == 0)
        return instant::never();
    return m_fetchesFromPlatform || m_isRequestOutstanding ? m_retryAt : instant();
}

nlohmann::json config_fetcher::dump() const
{
    return {{"version", m_version},
            {"manifest_held", m_hasManifest},
            {"source", m_version == 0          ? ""
                       : m_fetchesFromPlatform ? "platform"
                                               : m_peerAddress},
            {"requested", m_requestedParts.size()},
            {"requested_max", configRequestPartsMax},
            {"attempts", m_retries},
            {"attempts_max", retriesMax}};
}

} // namespace almondnotch
