#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/routing_fixture.h"

using namespace almondnotch;

namespace {

const std::vector<published_worker> threeWorkers {
    workerEntry("b-1", "books"), workerEntry("b-2", "books"), workerEntry("b-3", "books")};

/// Sends a booking whose worker breaks the connection and then refuses others.
void crashOne(routing_fixture &world, const std::string &target)
{
    world.call("POST", target);
    const start_attempt attempt = world.takeOne<start_attempt>();
    world.deadWorkers.insert(attempt.workerName);
    world.end(attempt, attempt_end::broken);
    BOOST_TEST(world.takeOne<send_response>().response->status == 502);
    world.advance(milliseconds(100));
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine_suite)

// Guards against a request that is sent again and again and crashes one worker after the other, and
// against innocent requests that are refused with it.
BOOST_AUTO_TEST_CASE(aRequestThatCrashedTwoWorkersIsRefused)
{
    routing_fixture world;
    world.becomeReady(threeWorkers);
    crashOne(world, "/book/poison");
    crashOne(world, "/book/poison");
    world.call("POST", "/book/poison");
    BOOST_TEST(world.take<start_attempt>().empty());
    BOOST_TEST(world.takeOne<send_response>().response->status == 503);
    world.call("POST", "/book/innocent");
    BOOST_TEST(world.takeOne<start_attempt>().workerName == "b-3");

    // The time of quarantine ends.
    world.deadWorkers.clear();
    world.advance(seconds(31));
    world.call("POST", "/book/poison");
    BOOST_TEST(world.take<start_attempt>().size() == 1U);
}

// Guards against a quarantine for connections that break while their workers go on.
BOOST_AUTO_TEST_CASE(brokenConnectionsToLivingWorkersAreNoCrashes)
{
    routing_fixture world;
    world.becomeReady(threeWorkers);
    for (int i = 0; i < 4; ++i) {
        world.call("POST", "/book/unlucky");
        const std::vector<start_attempt> sent = world.take<start_attempt>();
        BOOST_REQUIRE(sent.size() == 1U);
        world.end(sent.front(), attempt_end::broken);
        world.take<send_response>();
        world.advance(seconds(4));
    }
}

// Guards against a request that crashes two workers at each gateway that its caller tries.
BOOST_AUTO_TEST_CASE(crashesThatOthersSawCount)
{
    routing_fixture first;
    first.becomeReady(threeWorkers);
    fleet_digest greeting;
    greeting.self.process = {"vm-2", 1};
    greeting.self.failureDomain = "near";
    greeting.self.entryAddress = "10.0.1.2:80";
    greeting.self.peerAddress = "10.0.1.2:90";
    first.handle(peer_message_received {greeting.self.process, greeting});
    crashOne(first, "/book/poison");
    crashOne(first, "/book/poison");
    first.take<send_peer_message>();
    first.advance(seconds(3));
    std::vector<crash_record> crashes;
    for (const send_peer_message &sent : first.take<send_peer_message>()) {
        if (const fleet_digest *digest = std::get_if<fleet_digest>(&sent.message))
            crashes = digest->crashes;
    }
    BOOST_TEST(crashes.size() == 2U);

    routing_fixture second;
    second.becomeReady(threeWorkers);
    greeting.crashes = crashes;
    second.handle(peer_message_received {greeting.self.process, greeting});
    second.call("POST", "/book/poison");
    BOOST_TEST(second.take<start_attempt>().empty());
    BOOST_TEST(second.takeOne<send_response>().response->status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
