#include "decision/fleet/config_fetch.h"

#include <utility>
#include <vector>

#include "decision/fleet/membership.h"

namespace almondnotch {

namespace {

/// Time without any requested value after which another peer is asked. A part of 1 MB takes about
/// 10 ms at 1 Gbit/s, and several tries must fit into the 2 s in which a change shall spread.
constexpr duration peerTimeout = milliseconds(300);
constexpr duration platformTimeout = seconds(1);
constexpr unsigned attemptsMax = 10;

} // namespace

config_fetch::config_fetch(config_store &store, platform_reader &reader, random_source &random,
                           counter_set &counters)
    : m_store(store), m_reader(reader), m_random(random), m_counters(counters)
{ }

void config_fetch::advertised(instant now, const std::string &peerAddress, std::uint64_t version,
                              const std::string &sha256)
{
    if (m_advertised.size() < membersMax || m_advertised.contains(peerAddress))
        m_advertised.insert_or_assign(peerAddress, advertisement {version, sha256});
    if (m_fromPlatform && version == m_version && sha256 == m_sha256) {
        // A peer answers at once, while reads of the platform wait for the budget.
        m_fromPlatform = false;
        m_peerAddress = peerAddress;
        m_requestSent = false;
        m_reader.wantParts({});
        return;
    }
    if (version <= m_version || !m_store.wants(version, sha256))
        return;
    m_version = version;
    m_sha256 = sha256;
    m_manifestHeld = sha256 == m_store.pendingSha256();
    m_fromPlatform = false;
    m_peerAddress = peerAddress;
    m_requested.clear();
    m_requestSent = false;
    m_retryAt = now;
    m_attempts = 0;
}

void config_fetch::forgetPeer(const std::string &peerAddress)
{
    m_advertised.erase(peerAddress);
}

void config_fetch::peerFailed(instant now, const std::string &peerAddress)
{
    forgetPeer(peerAddress);
    if (m_version != 0 && !m_fromPlatform && m_peerAddress == peerAddress)
        m_retryAt = now;
}

void config_fetch::startFromPlatform(instant now)
{
    if (m_version > m_store.pendingVersion())
        return;
    if (m_version == m_store.pendingVersion() && m_sha256 == m_store.pendingSha256()
        && m_manifestHeld)
        return;
    m_version = m_store.pendingVersion();
    m_sha256 = m_store.pendingSha256();
    m_manifestHeld = true;
    m_fromPlatform = true;
    m_requested.clear();
    m_requestSent = false;
    m_retryAt = now + platformTimeout;
    m_attempts = 0;
    m_reader.wantParts(m_store.missing());
}

bool config_fetch::expectsManifest(std::uint64_t version, const std::string &sha256) const
{
    return m_version != 0 && !m_manifestHeld && version == m_version && sha256 == m_sha256;
}

void config_fetch::arrived(instant now, const std::string &key)
{
    if (m_version == 0)
        return;
    m_attempts = 0;
    if (key == "manifest") {
        m_manifestHeld = true;
        m_requestSent = false;
    }
    m_requested.erase(key);
    if (m_fromPlatform) {
        m_retryAt = now + platformTimeout;
        m_reader.wantParts(m_store.missing());
    } else {
        m_retryAt = now + peerTimeout;
        if (m_requested.empty())
            m_requestSent = false;
    }
}

void config_fetch::settle()
{
    const bool open
        = m_manifestHeld ? m_store.pendingSha256() == m_sha256 : m_store.wants(m_version, m_sha256);
    if (m_version != 0 && !open)
        finish();
}

void config_fetch::finish()
{
    m_version = 0;
    m_sha256.clear();
    m_requested.clear();
    m_reader.wantParts({});
}

std::optional<std::string> config_fetch::pickPeer(const std::string &except)
{
    std::vector<const std::string *> peers;
    for (const std::pair<const std::string, advertisement> &entry : m_advertised)
        if (entry.second.version == m_version && entry.second.sha256 == m_sha256
            && entry.first != except)
            peers.push_back(&entry.first);
    if (peers.empty())
        return std::nullopt;
    return *peers[m_random.below(peers.size())];
}

bool config_fetch::changeSource(instant now)
{
    const std::optional<std::string> peer = pickPeer(m_fromPlatform ? "" : m_peerAddress);
    if (peer) {
        m_fromPlatform = false;
        m_peerAddress = *peer;
        m_reader.wantParts({});
        return true;
    }
    if (!m_manifestHeld)
        return true;
    m_fromPlatform = true;
    m_reader.wantParts(m_store.missing());
    m_retryAt = now + platformTimeout;
    return false;
}

void config_fetch::giveUp()
{
    m_counters.add("config_fetch_abandoned_total");
    m_store.dropPending();
    m_reader.forgetManifest();
    finish();
}

std::optional<config_fetch::peer_request> config_fetch::next(instant now)
{
    if (m_version == 0)
        return std::nullopt;
    if (m_fromPlatform || m_requestSent) {
        if (now < m_retryAt)
            return std::nullopt;
        if (++m_attempts > attemptsMax) {
            giveUp();
            return std::nullopt;
        }
        if (!changeSource(now))
            return std::nullopt;
    }
    peer_request out {m_peerAddress, {m_version, m_sha256, {}}};
    m_requested.clear();
    if (m_manifestHeld) {
        for (const std::string &hash : m_store.missing()) {
            if (m_requested.size() == configRequestPartsMax)
                break;
            m_requested.insert(hash);
            out.request.partSha256.push_back(hash);
        }
    }
    m_requestSent = true;
    m_retryAt = now + peerTimeout + duration(m_random.below(peerTimeout.count() / 2));
    return out;
}

instant config_fetch::nextWake() const
{
    if (m_version == 0)
        return instant::never();
    return m_fromPlatform || m_requestSent ? m_retryAt : instant();
}

nlohmann::json config_fetch::dump() const
{
    return {{"version", m_version},
            {"manifest_held", m_manifestHeld},
            {"source", m_version == 0   ? ""
                       : m_fromPlatform ? "platform"
                                        : m_peerAddress},
            {"requested", m_requested.size()},
            {"requested_max", configRequestPartsMax},
            {"attempts", m_attempts},
            {"attempts_max", attemptsMax}};
}

} // namespace almondnotch
