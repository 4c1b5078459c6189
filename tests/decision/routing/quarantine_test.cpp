#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/routing_fixture.h"

using namespace almondnotch;

namespace {

const std::vector<published_worker> threeWorkers {
    workerEntry("b-1", "books"), workerEntry("b-2", "books"), workerEntry("b-3", "books")};

/// Sends a booking that crashes its worker: the connection breaks, and later probes of the worker
/// fail.
void crashWorker(routing_fixture &fixture, const std::string &target)
{
    fixture.call("POST", target);
    const start_attempt attempt = fixture.takeOne<start_attempt>();
    fixture.unreachableWorkers.insert(attempt.workerName);
    fixture.endAttempt(attempt, attempt_end::broken);
    BOOST_TEST(fixture.takeOne<send_response>().response->status == 502);
    fixture.advance(milliseconds(100));
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine_suite)

// Guards against a request that callers repeat and that crashes one worker after another, and
// against rejecting other requests together with it.
BOOST_AUTO_TEST_CASE(aRequestThatCrashedTwoWorkersIsRejected)
{
    routing_fixture fixture;
    fixture.becomeReady(threeWorkers);
    crashWorker(fixture, "/book/poison");
    crashWorker(fixture, "/book/poison");
    fixture.call("POST", "/book/poison");
    BOOST_TEST(fixture.take<start_attempt>().empty());
    BOOST_TEST(fixture.takeOne<send_response>().response->status == 503);
    fixture.call("POST", "/book/other");
    BOOST_TEST(fixture.takeOne<start_attempt>().workerName == "b-3");

    // The quarantine expires.
    fixture.unreachableWorkers.clear();
    fixture.advance(seconds(31));
    fixture.call("POST", "/book/poison");
    BOOST_TEST(fixture.take<start_attempt>().size() == 1U);
}

// Guards against quarantining a request whose connections broke although its workers did not crash.
BOOST_AUTO_TEST_CASE(brokenConnectionsToRunningWorkersAreNotCrashes)
{
    routing_fixture fixture;
    fixture.becomeReady(threeWorkers);
    for (int i = 0; i < 4; ++i) {
        fixture.call("POST", "/book/1");
        const std::vector<start_attempt> sent = fixture.take<start_attempt>();
        BOOST_REQUIRE(sent.size() == 1U);
        fixture.endAttempt(sent.front(), attempt_end::broken);
        fixture.take<send_response>();
        fixture.advance(seconds(4));
    }
}

// Guards against a request that crashes two workers through each gateway to which its caller sends
// it.
BOOST_AUTO_TEST_CASE(crashesSeenByOtherGatewaysCount)
{
    routing_fixture first;
    first.becomeReady(threeWorkers);
    fleet_digest digestOfOther;
    digestOfOther.self.process = {"vm-2", 1};
    digestOfOther.self.failureDomain = "near";
    digestOfOther.self.entryAddress = "10.0.1.2:80";
    digestOfOther.self.peerAddress = "10.0.1.2:90";
    first.handle(peer_message_received {digestOfOther.self.process, digestOfOther});
    crashWorker(first, "/book/poison");
    crashWorker(first, "/book/poison");
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
    digestOfOther.crashes = crashes;
    second.handle(peer_message_received {digestOfOther.self.process, digestOfOther});
    second.call("POST", "/book/poison");
    BOOST_TEST(second.take<start_attempt>().empty());
    BOOST_TEST(second.takeOne<send_response>().response->status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
