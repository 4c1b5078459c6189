#include "decision/routing/peer_group.h"

#include <algorithm>
#include <utility>

namespace almondnotch {

namespace {

/// Members that one digest tells at most, of which some by turns.
constexpr std::size_t turnsPerDigest = 4;
/// Known gateways below which the seeds are asked as well.
constexpr std::size_t membersWithoutSeeds = 4;
/// Share of the exchanges that go to other failure domains, since bytes between them are dear.
constexpr double distantContactShare = 0.2;
/// Part of the interval after which the next exchange follows one that found new gateways.
constexpr double growingIntervalPart = 0.25;
/// Gateways of other failure domains that a leaving gateway tells at once; they tell the others.
constexpr std::size_t distantToldOfLeaving = 3;
/// Gateways of the caller's failure domain below which those of others are named as well.
constexpr std::size_t nearAddressesMin = 2;

membership_settings membershipSettings(const peer_group_settings &settings)
{
    membership_settings out;
    out.suspectAfter = settings.suspectAfter;
    out.goneAfter = settings.goneAfter;
    out.hearsayAgeMax = settings.suspectAfter + settings.goneAfter;
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
    m_nextExchange = now;
}

fleet_digest peer_group::makeDigest(instant now, const peer_facts &facts, bool replyWanted)
{
    fleet_digest digest;
    digest.self = m_members.self();
    digest.replyWanted = replyWanted;
    digest.members = m_members.news(now, digestMembersMax, turnsPerDigest);
    digest.drains = facts.drains;
    digest.crashes = facts.crashes;
    digest.drains.resize(std::min(digest.drains.size(), digestFactsMax));
    digest.crashes.resize(std::min(digest.crashes.size(), digestFactsMax));
    return digest;
}

void peer_group::send(instant now, const std::string &address, const peer_facts &facts,
                      bool replyWanted, action_list &actions)
{
    if (replyWanted)
        m_members.contactTried(now, address);
    m_counters.add("peer_digests_sent_total");
    actions.push_back(
        send_peer_message {address, m_nextMessage++, makeDigest(now, facts, replyWanted)});
}

/// Removes and returns a random address.
std::string peer_group::takeRandom(std::vector<std::string> &addresses)
{
    const std::size_t index = m_random.below(addresses.size());
    std::string taken = std::move(addresses[index]);
    addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(index));
    return taken;
}

peer_group::contact_lists peer_group::contacts() const
{
    contact_lists out;
    for (const member_record *record : m_members.contactable()) {
        const bool isNear = record->update.failureDomain == m_settings.failureDomain;
        (isNear ? out.nearby : out.distant).push_back(record->update.peerAddress);
    }
    return out;
}

std::vector<std::string> peer_group::chooseContacts()
{
    contact_lists known = contacts();
    const std::size_t knownCount = known.nearby.size() + known.distant.size();
    std::vector<std::string> chosen;
    while (chosen.size() < std::min<std::size_t>(m_settings.fanout, knownCount)) {
        const bool isDistant
            = known.nearby.empty()
              || (!known.distant.empty() && m_random.uniform() < distantContactShare);
        chosen.push_back(takeRandom(isDistant ? known.distant : known.nearby));
    }
    // A gateway that knows few others may be on the small side of a partition that has healed.
    if (knownCount < membersWithoutSeeds && !m_settings.seeds.empty()) {
        const std::string &seed = m_settings.seeds[m_random.below(m_settings.seeds.size())];
        if (seed != m_settings.peerAddress
            && std::find(chosen.begin(), chosen.end(), seed) == chosen.end())
            chosen.push_back(seed);
    }
    return chosen;
}

void peer_group::timerExpired(instant now, const peer_facts &facts, action_list &actions)
{
    if (now < m_nextExchange)
        return;
    m_members.expire(now);
    for (const std::string &address : chooseContacts())
        send(now, address, facts, true, actions);
    // A group that is still being found is worth more messages.
    const bool isGrowing = m_members.records().size() > m_knownAtExchange;
    m_knownAtExchange = m_members.records().size();
    const double factor = isGrowing ? growingIntervalPart : 1;
    m_nextExchange
        = now + scaled(m_settings.exchangeInterval, factor * (0.8 + 0.4 * m_random.uniform()));
}

void peer_group::digestArrived(instant now, const fleet_digest &digest, const peer_facts &facts,
                               action_list &actions)
{
    for (const member_update &update : digest.members)
        m_members.merge(now, update);
    m_members.heardFrom(now, digest.self);
    if (digest.replyWanted)
        send(now, digest.self.peerAddress, facts, false, actions);
}

void peer_group::beginLeaving(instant now, action_list &actions)
{
    m_members.beginLeaving();
    contact_lists known = contacts();
    while (known.distant.size() > distantToldOfLeaving)
        takeRandom(known.distant);
    known.nearby.insert(known.nearby.end(), known.distant.begin(), known.distant.end());
    for (const std::string &address : known.nearby)
        send(now, address, {}, false, actions);
}

void peer_group::tellFailureDomain(const peer_message &message, action_list &actions)
{
    for (const std::string &address : contacts().nearby)
        actions.push_back(send_peer_message {address, m_nextMessage++, message});
}

std::vector<reader_candidate> peer_group::readerCandidates() const
{
    std::vector<reader_candidate> out;
    const member_update &self = m_members.self();
    if (self.state == gateway_state::alive)
        out.push_back({self.process.vm, self.capacity});
    for (const member_record *record : m_members.contactable()) {
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
    const unsigned known = 1 + static_cast<unsigned>(m_members.contactable().size());
    if (now - m_startedAt < m_settings.discovery)
        return std::max(known, m_settings.gatewaysAssumed);
    return known;
}

std::vector<std::string> peer_group::entryAddresses(const std::string &failureDomain,
                                                    bool selfServes) const
{
    std::vector<std::string> nearby;
    std::vector<std::string> distant;
    if (selfServes)
        (m_settings.failureDomain == failureDomain ? nearby : distant)
            .push_back(m_settings.entryAddress);
    for (const member_record *record : m_members.contactable()) {
        if (record->update.state != gateway_state::alive)
            continue;
        (record->update.failureDomain == failureDomain ? nearby : distant)
            .push_back(record->update.entryAddress);
    }
    if (nearby.size() < nearAddressesMin)
        nearby.insert(nearby.end(), distant.begin(), distant.end());
    return nearby;
}

} // namespace almondnotch
