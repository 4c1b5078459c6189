#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "servers/peer_link/register_services.h"
#include "tests/servers/silent_relay.h"
#include "tests/servers/transport_fixture.h"

namespace almondnotch {

namespace {

/// Maximum time until messages arrive again after all connections have gone silent, so that the
/// gateways are in contact before the time limits of changes hold again.
constexpr duration contactTime = seconds(3);

peer_link_settings linkSettings(const std::string &vm)
{
    peer_link_settings out;
    out.listenAddress = "127.0.0.1:0";
    out.self = {vm, 1};
    out.keys = {{"a", "secret of the key"}};
    return out;
}

/// A peer link that sends to another one through relays.
struct peer_silence_fixture : transport_fixture
{
    peer_silence_fixture()
        : receiver(registerPeerLink(serviceManager, linkSettings("receiver")).value()),
          sender(addSender()), relay(receiver->address())
    { }

    peer_link *addSender()
    {
        std::unique_ptr<peer_link> added = std::make_unique<peer_link>(linkSettings("sender"));
        peer_link *const borrowed = added.get();
        BOOST_REQUIRE(
            serviceManager.add("second_peer_link", start_level::transports, std::move(added)));
        BOOST_REQUIRE(serviceManager.start());
        return borrowed;
    }

    std::size_t deliveredCount() const
    {
        return sink->eventsOfType<peer_message_received>().size();
    }

    void send(const std::string &address)
    {
        sender->sendPeerMessage({address, ++lastMessageId, config_data {}});
    }

    bool hasFailed(std::uint64_t messageId) const
    {
        const std::vector<peer_send_failed> failed = sink->eventsOfType<peer_send_failed>();
        return std::any_of(failed.begin(), failed.end(), [messageId](const peer_send_failed &send) {
            return send.messageId == messageId;
        });
    }

    /// Sends a message. \return true if it arrives within the time limit.
    bool isDelivered(const std::string &address, duration limit = milliseconds(500))
    {
        const std::size_t before = deliveredCount();
        send(address);
        return runUntil([&]() { return deliveredCount() > before; }, limit);
    }

    peer_link *receiver;
    peer_link *sender;
    silent_relay relay;
    std::uint64_t lastMessageId = 0;
};

} // namespace

// Guards against messages that are sent on a connection that has gone silent, as long as it stays
// open, although a new one would work.
BOOST_FIXTURE_TEST_CASE(a_silent_connection_is_replaced, peer_silence_fixture)
{
    BOOST_REQUIRE(isDelivered(relay.address()));
    relay.silence();
    runFor(milliseconds(20));
    timer_watcher sending(*loop, [this]() { send(relay.address()); });
    sending.startRepeating(milliseconds(500));
    const std::size_t before = deliveredCount();
    BOOST_TEST(runUntil([&]() { return deliveredCount() > before; }, contactTime));
    sending.stop();
}

// Guards against a message that is lost on each of the other connections that went silent at the
// same time, although one of them has shown it.
BOOST_FIXTURE_TEST_CASE(other_connections_of_the_same_age_are_replaced, peer_silence_fixture)
{
    silent_relay other(receiver->address());
    BOOST_REQUIRE(isDelivered(relay.address()));
    BOOST_REQUIRE(isDelivered(other.address()));
    relay.silence();
    other.silence();
    runFor(milliseconds(20));
    const std::size_t before = deliveredCount();
    send(relay.address());
    BOOST_REQUIRE(runUntil([this]() { return hasFailed(lastMessageId); }));
    BOOST_TEST(deliveredCount() == before);
    BOOST_TEST(isDelivered(other.address()));
    BOOST_TEST(isDelivered(relay.address()));
    BOOST_TEST(other.acceptedCount() == 2U);
    // A peer that has answered since keeps its connection.
    BOOST_TEST(isDelivered(other.address()));
    BOOST_TEST(other.acceptedCount() == 2U);
}

} // namespace almondnotch
