#include "decision/routing/peer_group.h"

#include <algorithm>
#include <utility>

namespace almondnotch {

namespace {

/// Maximum number of members that each digest includes round-robin, in addition to those with
/// recent changes.
constexpr std::size_t roundRobinMembersPerDigest = 4;
/// With fewer known gateways than this, each exchange also contacts a random seed.
constexpr std::size_t seedContactThreshold = 4;
/// Probability that a gateway contacted in an exchange is chosen from the other failure domains, if
/// gateways both in this one and in others are known. Low because cross-domain traffic is
/// expensive.
constexpr double crossDomainContactProbability = 0.2;
/// Factor on the exchange interval if new gateways were discovered since the previous exchange.
constexpr double growthIntervalFactor = 0.25;
/// Number of gateways in other failure domains that a leaving gateway notifies directly; these
/// spread the notification by gossip.
constexpr std::size_t crossDomainLeaveNotifications = 3;
/// With fewer serving gateways than this in the caller's failure domain, the addresses of those in
/// other failure domains are returned as well.
constexpr std::size_t localAddressesMin = 2;

membership_settings membershipSettings(const peer_group_settings &settings)
{
    membership_settings out;
    out.suspectAfter = settings.suspectAfter;
    out.goneAfter = settings.goneAfter;
    out.unknownMemberAgeMax = settings.suspectAfter + settings.goneAfter;
    return out;
}

member_update selfUpdate(const peer_group_settings &settings)
{
    member_update self;
    self.process = settings.self;
    self.failureDomain = settings.failureDomain;
    self.entryAddress = settings.entryAddress;
    self.peerAddress = settings.peerAddress;
    self.capacity = settings.capacity;
    return self;
}

} // namespace

peer_group::peer_group(peer_group_settings settings, random_source &random, counter_set &counters)
    : m_settings(std::move(settings)), m_random(random), m_counters(counters),
      m_members(membershipSettings(m_settings), selfUpdate(m_settings), counters)
{ }

void peer_group::start(instant now)
{
    m_startedAt = now;
    m_nextExchangeAt = now;
}

fleet_digest peer_group::makeDigest(instant now, const gossip_payload &payload, bool replyRequested)
{
    fleet_digest digest;
    digest.self = m_members.self();
    digest.replyRequested = replyRequested;
    digest.members = m_members.takeGossipUpdates(now, digestMembersMax, roundRobinMembersPerDigest);
    digest.drains = payload.drains;
    digest.crashes = payload.crashes;
    digest.drains.resize(std::min(digest.drains.size(), digestRecordsMax));
    digest.crashes.resize(std::min(digest.crashes.size(), digestRecordsMax));
    return digest;
}

void peer_group::send(instant now, const std::string &address, const gossip_payload &payload,
                      bool replyRequested, action_list &actions)
{
    if (replyRequested)
        m_members.markUnanswered(now, address);
    m_counters.add("peer_digests_sent_total");
    actions.push_back(
        send_peer_message {address, m_nextMessageId++, makeDigest(now, payload, replyRequested)});
}

/// Removes and returns an address selected at random.
std::string peer_group::removeRandom(std::vector<std::string> &addresses)
{
    const std::size_t index = m_random.below(addresses.size());
    std::string taken = std::move(addresses[index]);
    addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(index));
    return taken;
}

peer_group::peer_addresses peer_group::contactAddresses() const
{
    peer_addresses out;
    for (const member_record *record : m_members.contactableMembers()) {
        const bool isLocal = record->update.failureDomain == m_settings.failureDomain;
        (isLocal ? out.local : out.remote).push_back(record->update.peerAddress);
    }
    return out;
}

std::vector<std::string> peer_group::chooseExchangeTargets()
{
    peer_addresses known = contactAddresses();
    const std::size_t knownCount = known.local.size() + known.remote.size();
    std::vector<std::string> chosen;
    while (chosen.size() < std::min<std::size_t>(m_settings.fanout, knownCount)) {
        const bool isRemote
            = known.local.empty()
              || (!known.remote.empty() && m_random.uniform() < crossDomainContactProbability);
        chosen.push_back(removeRandom(isRemote ? known.remote : known.local));
    }
    // A gateway that knows few others may be in the minority of a partition that has healed.
    if (knownCount < seedContactThreshold && !m_settings.seeds.empty()) {
        const std::string &seed = m_settings.seeds[m_random.below(m_settings.seeds.size())];
        if (seed != m_settings.peerAddress
            && std::find(chosen.begin(), chosen.end(), seed) == chosen.end())
            chosen.push_back(seed);
    }
    return chosen;
}

void peer_group::timerExpired(instant now, const gossip_payload &payload, action_list &actions)
{
    if (now < m_nextExchangeAt)
        return;
    m_members.checkTimeouts(now);
    for (const std::string &address : chooseExchangeTargets())
        send(now, address, payload, true, actions);
    // Exchanges are more frequent while the group is being discovered.
    const bool isGrowing = m_members.records().size() > m_membersAtLastExchange;
    m_membersAtLastExchange = m_members.records().size();
    const double factor = isGrowing ? growthIntervalFactor : 1;
    m_nextExchangeAt
        = now + scaled(m_settings.exchangeInterval, factor * (0.8 + 0.4 * m_random.uniform()));
}

void peer_group::digestArrived(instant now, const fleet_digest &digest,
                               const gossip_payload &payload, action_list &actions)
{
    for (const member_update &update : digest.members)
        m_members.merge(now, update);
    m_members.mergeDirect(now, digest.self);
    if (digest.replyRequested)
        send(now, digest.self.peerAddress, payload, false, actions);
}

void peer_group::beginLeaving(instant now, action_list &actions)
{
    m_members.beginLeaving();
    peer_addresses known = contactAddresses();
    while (known.remote.size() > crossDomainLeaveNotifications)
        removeRandom(known.remote);
    known.local.insert(known.local.end(), known.remote.begin(), known.remote.end());
    for (const std::string &address : known.local)
        send(now, address, {}, false, actions);
}

void peer_group::broadcastToFailureDomain(const peer_message &message, action_list &actions)
{
    for (const std::string &address : contactAddresses().local)
        actions.push_back(send_peer_message {address, m_nextMessageId++, message});
}

std::vector<reader_candidate> peer_group::readerCandidates() const
{
    std::vector<reader_candidate> out;
    const member_update &self = m_members.self();
    if (self.state == gateway_state::alive)
        out.push_back({self.process.vm, self.capacity});
    for (const member_record *record : m_members.contactableMembers()) {
        const member_update &other = record->update;
        if (other.state == gateway_state::alive && other.failureDomain == m_settings.failureDomain)
            out.push_back({other.process.vm, other.capacity});
    }
    return out;
}

void peer_group::pauseDetected(instant now)
{
    m_members.pauseDetected(now);
}

unsigned peer_group::gatewayCount(instant now) const
{
    const unsigned known = 1 + static_cast<unsigned>(m_members.contactableMembers().size());
    return std::max(known, gatewayCountMin(now));
}

void peer_group::raiseAssumedGatewayCount(unsigned count)
{
    m_settings.assumedGatewayCount = std::max(m_settings.assumedGatewayCount, count);
}

bool peer_group::hasOtherSeeds() const
{
    return std::any_of(m_settings.seeds.begin(), m_settings.seeds.end(),
                       [this](const std::string &seed) { return seed != m_settings.peerAddress; });
}

/// Number of gateways to assume at least.
unsigned peer_group::gatewayCountMin(instant now) const
{
    return now - m_startedAt < m_settings.discoveryTime ? m_settings.assumedGatewayCount : 1;
}

gateway_group peer_group::gatewayGroup(instant now) const
{
    gateway_group out {m_settings.self.vm, {}, gatewayCountMin(now)};
    out.gateways.push_back({m_settings.self.vm, m_settings.failureDomain});
    for (const member_record *record : m_members.contactableMembers())
        out.gateways.push_back({record->update.process.vm, record->update.failureDomain});
    return out;
}

std::vector<std::string> peer_group::entryAddresses(const std::string &failureDomain,
                                                    bool includeSelf) const
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    if (includeSelf)
        (m_settings.failureDomain == failureDomain ? local : remote)
            .push_back(m_settings.entryAddress);
    for (const member_record *record : m_members.contactableMembers()) {
        if (record->update.state != gateway_state::alive)
            continue;
        (record->update.failureDomain == failureDomain ? local : remote)
            .push_back(record->update.entryAddress);
    }
    if (local.size() < localAddressesMin)
        local.insert(local.end(), remote.begin(), remote.end());
    return local;
}

} // namespace almondnotch
