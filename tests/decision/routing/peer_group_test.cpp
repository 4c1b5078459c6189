#include <map>
#include <string>

#include <boost/test/unit_test.hpp>

#include "decision/routing/peer_group.h"

namespace almondnotch {

namespace {

constexpr unsigned localGatewayCount = 8;
constexpr unsigned remoteGatewayCount = 24;

/// Gossip of a gateway that knows 8 gateways of its own failure domain ("local") and 24 of another
/// one ("remote").
struct peer_group_fixture
{
    peer_group_fixture()
    {
        for (unsigned i = 0; i < localGatewayCount + remoteGatewayCount; ++i)
            receiveDigest(i);
        group.start(now);
    }

    static std::string addressOf(unsigned index)
    {
        return "10.0.1." + std::to_string(index) + ":9";
    }
    static bool isLocal(unsigned index) { return index < localGatewayCount; }

    void receiveDigest(unsigned index)
    {
        fleet_digest digest;
        digest.self.process = {"vm-" + std::to_string(index), 1};
        digest.self.failureDomain = isLocal(index) ? "near" : "far";
        digest.self.entryAddress = "10.0.2." + std::to_string(index) + ":80";
        digest.self.peerAddress = addressOf(index);
        action_list ignored;
        group.digestArrived(now, digest, {}, ignored);
    }

    static peer_group_settings makeSettings()
    {
        peer_group_settings settings;
        settings.self = {"vm-self", 1};
        settings.failureDomain = "near";
        settings.peerAddress = "10.0.0.1:9";
        settings.fanout = 1;
        return settings;
    }

    counter_set counters;
    random_source random {7};
    instant now {seconds(50)};
    peer_group group {makeSettings(), random, counters};
};

/// Number of messages sent to each peer address.
std::map<std::string, unsigned> countMessages(const action_list &actions)
{
    std::map<std::string, unsigned> out;
    for (const action &one : actions) {
        if (const send_peer_message *sent = std::get_if<send_peer_message>(&one))
            ++out[sent->peerAddress];
    }
    return out;
}

unsigned countRemoteMessages(const std::map<std::string, unsigned> &counts)
{
    unsigned out = 0;
    for (unsigned i = localGatewayCount; i < localGatewayCount + remoteGatewayCount; ++i) {
        const auto found = counts.find(peer_group_fixture::addressOf(i));
        out += found == counts.end() ? 0 : found->second;
    }
    return out;
}

} // namespace

// Guards against gossip that sends most digests across failure domains, which is expensive, and
// against gossip that no longer reaches the other failure domains.
BOOST_FIXTURE_TEST_CASE(mostDigestsStayInTheFailureDomain, peer_group_fixture)
{
    constexpr unsigned rounds = 1000;
    action_list actions;
    for (unsigned round = 0; round < rounds; ++round) {
        now = group.nextWake();
        for (unsigned i = 0; i < localGatewayCount + remoteGatewayCount; ++i)
            receiveDigest(i);
        group.timerExpired(now, {}, actions);
    }
    const std::map<std::string, unsigned> counts = countMessages(actions);
    BOOST_TEST(counts.size() == localGatewayCount + remoteGatewayCount);
    const unsigned remoteMessages = countRemoteMessages(counts);
    BOOST_TEST(remoteMessages >= rounds / 10);
    BOOST_TEST(remoteMessages <= rounds * 3 / 10);
}

// Guards against directing callers to a leaving gateway because gateways of its failure domain have
// not been notified.
BOOST_FIXTURE_TEST_CASE(leavingGatewayNotifiesItsWholeFailureDomain, peer_group_fixture)
{
    action_list actions;
    group.beginLeaving(now, actions);
    const std::map<std::string, unsigned> counts = countMessages(actions);
    for (unsigned i = 0; i < localGatewayCount; ++i)
        BOOST_TEST(counts.contains(addressOf(i)));
    const unsigned remoteMessages = countRemoteMessages(counts);
    BOOST_TEST(remoteMessages >= 1U);
    BOOST_TEST(remoteMessages < remoteGatewayCount);
}

} // namespace almondnotch
