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

} // namespace

// Guards against messages that are sent on a connection that has gone silent, as long as it stays
// open, although a new one would work.
BOOST_FIXTURE_TEST_CASE(a_silent_connection_is_replaced, transport_fixture)
{
    peer_link *receiver = registerPeerLink(serviceManager, linkSettings("receiver")).value();
    std::unique_ptr<peer_link> second = std::make_unique<peer_link>(linkSettings("sender"));
    peer_link *sender = second.get();
    BOOST_REQUIRE(
        serviceManager.add("second_peer_link", start_level::transports, std::move(second)));
    BOOST_REQUIRE(serviceManager.start());
    silent_relay relay(receiver->address());
    std::uint64_t messageId = 0;
    const auto send = [&]() {
        sender->sendPeerMessage({relay.address(), ++messageId, config_data {}});
    };
    const auto deliveredCount
        = [&]() { return sink->eventsOfType<peer_message_received>().size(); };
    send();
    BOOST_REQUIRE(runUntil([&]() { return deliveredCount() == 1; }));
    relay.silence();
    runFor(milliseconds(20));
    timer_watcher sending(*loop, send);
    sending.startRepeating(milliseconds(500));
    BOOST_TEST(runUntil([&]() { return deliveredCount() > 1; }, contactTime));
    sending.stop();
}

} // namespace almondnotch
