#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/random_source.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/fleet/membership.h"
#include "decision/peer_messages.h"
#include "decision/routing/items/reader_group.h"
#include "decision/routing/workers/request_limit_share.h"

namespace almondnotch {

struct peer_group_settings
{
    process_id self;
    std::string failureDomain;
    std::string entryAddress;
    std::string peerAddress;
    /// CPU capacity available to this VM, in hundredths of a core; 0 if unknown.
    std::uint32_t capacity = 0;
    /// Peer addresses that are contacted while few other gateways are known.
    std::vector<std::string> seeds;
    /// Number of random gateways contacted in each exchange.
    unsigned fanout = 2;
    duration exchangeInterval {milliseconds(500)};
    /// Time without contact after which a gateway is suspected to have failed.
    duration suspectAfter {milliseconds(1500)};
    /// Time under suspicion after which a gateway is declared gone. A leaving gateway is declared
    /// gone after this time without contact.
    duration goneAfter {seconds(4)};
    /// Minimum number of gateways that is assumed during `discoveryTime`.
    unsigned assumedGatewayCount = 16;
    /// Time within which a new process expects to have learned of all other gateways.
    duration discoveryTime {seconds(3)};
};

/// Data of other components that is sent along with the gossip digests.
struct gossip_payload
{
    std::vector<worker_drain> drains;
    std::vector<crash_record> crashes;
};

/// Gossip among the gateways. Discovers them through seeds, exchanges membership, worker drains and
/// crash records with a few random gateways per interval, and detects failed gateways.
class peer_group
{
public:
    /// \param random, counters must outlive the group.
    peer_group(peer_group_settings settings, random_source &random, counter_set &counters);

    void start(instant now);
    /// If an exchange is due, checks the timeouts of the members and sends digests with `payload`
    /// to a few gateways.
    void timerExpired(instant now, const gossip_payload &payload, action_list &actions);
    /// Merges the member updates of a received digest, and replies with a digest that carries
    /// `payload` if the sender asks for a reply. Drains and crash records are left to the caller of
    /// this function.
    void digestArrived(instant now, const fleet_digest &digest, const gossip_payload &payload,
                       action_list &actions);
    /// Immediately notifies the gateways of this gateway's failure domain, and a few others, that
    /// this gateway is leaving.
    void beginLeaving(instant now, action_list &actions);
    void pauseDetected(instant now);
    /// Sends a message to all known gateways of this gateway's failure domain.
    void broadcastToFailureDomain(const peer_message &message, action_list &actions);

    /// Serving gateways of this gateway's failure domain, including itself unless it is leaving.
    std::vector<reader_candidate> readerCandidates() const;

    /// Number of gateways that share the budgets: this one and all others that may still run, that
    /// is, also suspect and leaving ones. Until `discoveryTime` has passed, at least
    /// `assumedGatewayCount`.
    unsigned gatewayCount(instant now) const;
    /// Raises `assumedGatewayCount` to `count` if it is lower. A safe value is the number of
    /// workers, since a fleet has fewer gateways than that.
    void raiseAssumedGatewayCount(unsigned count);
    /// True if the settings name another gateway to contact.
    bool hasOtherSeeds() const;
    /// This gateway and all others that may still run, among which the request limits of workers
    /// are divided.
    gateway_group gatewayGroup(instant now) const;
    /// Entry addresses of the serving gateways of `failureDomain`. If there are fewer than two,
    /// they are followed by those of the serving gateways of other failure domains.
    /// \param includeSelf whether to include this gateway's own address.
    std::vector<std::string> entryAddresses(const std::string &failureDomain,
                                            bool includeSelf) const;

    instant nextWake() const { return m_nextExchangeAt; }
    nlohmann::json dump(instant now) const { return m_members.dump(now); }

private:
    /// Peer addresses of the known gateways, in this failure domain and in others.
    struct peer_addresses
    {
        std::vector<std::string> local;
        std::vector<std::string> remote;
    };

    fleet_digest makeDigest(instant now, const gossip_payload &payload, bool replyRequested);
    void send(instant now, const std::string &address, const gossip_payload &payload,
              bool replyRequested, action_list &actions);
    unsigned gatewayCountMin(instant now) const;
    std::string removeRandom(std::vector<std::string> &addresses);
    peer_addresses contactAddresses() const;
    std::vector<std::string> chooseExchangeTargets();

    peer_group_settings m_settings;
    random_source &m_random;
    counter_set &m_counters;
    membership m_members;
    instant m_startedAt;
    instant m_nextExchangeAt;
    /// Number of other gateways known at the time of the last exchange.
    std::size_t m_membersAtLastExchange = 0;
    std::uint64_t m_nextMessageId = 1;
};

} // namespace almondnotch
